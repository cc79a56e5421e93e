"""Hosts many gateways on the simulator's wire: wire words to interface types and back, nothing else."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterator
from typing import Any, NoReturn, TextIO

from roadspur import interface as io
from roadspur.control import Gateway

OUTCOMES = {"success": io.Outcome.OK, "failure": io.Outcome.ERROR, "overloaded": io.Outcome.FULL,
            "timed_out": io.Outcome.TIMEOUT, "unreachable": io.Outcome.CONNECT_FAILED,
            "broken": io.Outcome.RESET, "withdrawn": io.Outcome.CANCELLED, "void": io.Outcome.MOOT}
PHASES = {"Running": io.Phase.RUNNING, "Stopping": io.Phase.STOPPING, "Deleted": io.Phase.DELETED}
FORMS = {"INCREMENTAL": io.ListKind.CHANGE, "FULL": io.ListKind.WHOLE, "SAVED": io.ListKind.SAVED,
         "FAILED": io.ListKind.FAILED}
EFFECTS = {"retryable": io.Effect.SAFE, "dedup": io.Effect.KEYED, "fragile": io.Effect.UNSAFE}
GROUPS = {"all": io.Group.ALL, "zone": io.Group.ZONE, "cell": io.Group.CELL}


class WireError(Exception):
    """A line that is not wire: which message, which field, what was expected."""


def _bad(message: str, field: str, expected: str, got: object) -> NoReturn:
    raise WireError(f"{message}: {field}: expected {expected}, got {got!r}")


def _number(message: str, field: str, text: str, low: float = -math.inf) -> float:
    try:
        value = float(text)
    except ValueError:
        _bad(message, field, "a number", text)
    if not math.isfinite(value) or value < low:
        _bad(message, field, f"a finite number{'' if low == -math.inf else f' of {low:g} or more'}", text)
    return value


def _optional(message: str, field: str, text: str, low: float = 0.0) -> float:
    return 0.0 if text == "-" else _number(message, field, text, low)


def _whole(message: str, field: str, text: str, low: int = 0) -> int:
    try:
        value = int(text)
    except ValueError:
        _bad(message, field, "a whole number", text)
    if value < low:
        _bad(message, field, f"a whole number of {low} or more", text)
    return value


def _choice(message: str, field: str, text: str, choices: dict[str, Any]) -> Any:
    if text not in choices:
        _bad(message, field, "one of " + ", ".join(choices), text)
    return choices[text]


def _flag(message: str, field: str, text: str) -> bool:
    return bool(_choice(message, field, text, {"1": True, "0": False}))


def _count(message: str, parts: list[str], wanted: int) -> None:
    if len(parts) != wanted:
        _bad(message, "fields", f"{wanted - 1} fields", len(parts) - 1)


class _Pairs:
    """The settings as sent: path=value, read by path; keys not asked for are passed over."""

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            key, sep, value = part.partition("=")
            if not sep:
                _bad("BORN", "profileData", "path=value", part)
            self.values[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            _bad("BORN", key, "a value (the setting is required)", None)
        return value

    def number(self, key: str, default: str | None = None) -> float:
        return _number("BORN", key, self.text(key, default))

    def whole(self, key: str, default: str | None = None) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        return bool(_choice("BORN", key, self.text(key, "false").lower(),
                            {"true": True, "false": False, "1": True, "0": False}))


def read_settings(parts: list[str]) -> tuple[io.Settings, tuple[str, ...]]:
    """The settings, and the names of the values of a load report."""
    p = _Pairs(parts)
    classes = tuple(
        io.ClassSettings(
            name=p.text(c + "name"),
            effect=_choice("BORN", c + "semantics", p.text(c + "semantics"), EFFECTS),
            objective=p.number(c + "objective"), deadline=p.number(c + "hardLimit"),
            worth=p.number(c + "credit", "1"), late_worth=p.number(c + "lateWorth", "0"),
            group=_choice("BORN", c + "group", p.text(c + "group", "all"), GROUPS),
            window=p.number(c + "window", "0"))
        for c in (f"classes.{i}." for i in range(p.whole("classes.count"))))
    plans = tuple(
        io.PlanSettings(
            name=p.text(q + "name"), rate=p.number(q + "rate"), burst=p.number(q + "storeSize"),
            price=p.number(q + "pays", "1"), over_worth=p.number(q + "beyondEarns", "0"),
            over_cost=p.number(q + "beyondCosts", "0"), max_open=p.whole(q + "maxOut", "0"),
            ceiling_rate=p.number(q + "capRate", "0"), ceiling_burst=p.number(q + "neverOverDepth", "0"),
            ceiling_slack=p.number(q + "capSlack", "0"))
        for q in (f"plans.{i}." for i in range(p.whole("plans.count"))))
    how = p.text("loadReport.how", "silent")
    settings = io.Settings(
        classes=classes, plans=plans, instances=p.whole("balancers"), me=p.whole("me"),
        zone=p.text("zone", ""), step=p.number("step", "0"), counter=p.flag("extra.counter"),
        counter_timeout=p.number("extra.counterTimeout", "0.05"),
        counter_price=p.number("extra.counterPrice", "0"), max_units=p.number("extra.maxUnits", "1"),
        settles=p.flag("extra.truedUp"), max_attempts=p.whole("limits.maxAttempts", "1"),
        retry_after=p.flag("limits.retryAfter"), max_retry_after=p.number("limits.maxRetryAfter", "0"),
        may_probe=p.flag("limits.mayProbe"), may_cancel=p.flag("limits.cancel"), peers=p.flag("limits.peers"),
        peer_in_per_s=p.number("extra.peerInPerS", "0"), second_copies=p.flag("limits.secondCopies"),
        list_on_request=p.text("discovery", "pushed") == "on_request",
        ask_every=p.number("invariants.askEvery", "10"), load_in_answers=how == "piggyback",
        load_in_probes=how in ("piggyback", "pull"), drain_grace=p.number("invariants.drainGrace", "0"),
        fall_multiple=p.number("invariants.fallMultiple", "1"),
        fall_after=p.number("invariants.tipAfter", "1"),
        start_capacity=p.number("invariants.startCapacity", "1"), cold_time=p.number("invariants.cold", "0"),
        connect_timeout=p.number("limits.connectTimeout", "0"),
        late_fail_price=p.number("prices.lateFail", "0"), waste_price=p.number("prices.waste", "0"),
        cross_zone_price=p.number("prices.crossZone", "0"), probe_price=p.number("prices.probe", "0"))
    fields = p.text("loadReport.fields", "")
    return settings, tuple(f for f in fields.split(",") if f and f != "-")


def _load(message: str, text: str, fields: tuple[str, ...]) -> dict[str, float]:
    if text == "-" or text == "":
        return {}
    values = text.split(",")
    if len(values) != len(fields):
        _bad(message, "gauge", f"{len(fields)} values", text)
    return {f: _number(message, f"gauge.{f}", v) for f, v in zip(fields, values, strict=True) if v != "-"}


def read_row(line: str) -> io.BackendEntry:
    """One line of the list of servers."""
    parts = line.split(" ")
    if parts[0] != "ROW":
        _bad("UPDATE", "rows", "a ROW line", parts[0])
    _count("ROW", parts, 8)
    return io.BackendEntry(
        backend=parts[4], phase=_choice("ROW", "stageState", parts[3], PHASES),
        weight=1.0 if parts[1] == "-" else _number("ROW", "share", parts[1], 0.0),
        kind="" if parts[2] == "-" else parts[2],
        cell=0 if parts[5] == "-" else _whole("ROW", "unitGroup", parts[5]),
        born=_optional("ROW", "born", parts[6], -math.inf), zone="" if parts[7] == "-" else parts[7])


def read_event(parts: list[str], fields: tuple[str, ...], rows: Iterator[str]) -> io.Event:
    """One event of a running instance; the rows of a list are taken from `rows`."""
    m = parts[0]
    if m == "WORK_ITEM":
        _count(m, parts, 11)
        bits = 0 if parts[10] == "-" else _whole(m, "bits", parts[10])
        return io.Request(
            id=parts[2], class_name=parts[3], plan=parts[4], customer=_whole(m, "apiKey", parts[5]),
            expires_in=_number(m, "expiresIn", parts[6]), units=_number(m, "units", parts[7], 0.0),
            width=1 if parts[8] == "-" else _whole(m, "width", parts[8]),
            first=0 if parts[9] == "-" else _whole(m, "base", parts[9]),
            is_repeat=bool(bits & 2), is_write=bool(bits & 4))
    if m == "RETURNED":
        _count(m, parts, 11)
        return io.AttemptEnded(
            request=parts[2], attempt=_whole(m, "n", parts[3]), backend=parts[4],
            outcome=_choice(m, "reason", parts[5], OUTCOMES),
            elapsed=_optional(m, "waitTime", parts[6]), done=_flag(m, "doneFlag", parts[7]),
            metered=0 if parts[8] == "-" else _whole(m, "metered", parts[8]),
            true_units=_optional(m, "trueUnits", parts[9]), load=_load(m, parts[10], fields))
    if m == "TALLIED":
        _count(m, parts, 6)
        return io.CounterReply(
            elapsed=_optional(m, "waitTime", parts[2]), name=_whole(m, "name", parts[3]),
            outcome=_choice(m, "reason", parts[4], OUTCOMES),
            total=_optional(m, "nowAt", parts[5], -math.inf))
    if m == "FIRED":
        _count(m, parts, 3)
        return io.TimerFired(_whole(m, "ctx", parts[2]))
    if m == "EXPIRED":
        _count(m, parts, 3)
        return io.ClientGone(parts[2])
    if m == "UPDATE":
        _count(m, parts, 5)
        n = _whole(m, "rows", parts[4])
        entries: list[io.BackendEntry] = []
        for _ in range(n):
            line = next(rows, None)
            if line is None:
                _bad(m, "rows", f"{n} ROW lines", len(entries))
            entries.append(read_row(line))
        version = 0 if parts[3] == "-" else _whole(m, "stamp", parts[3])
        return io.ListUpdate(_choice(m, "form", parts[2], FORMS), version, tuple(entries))
    if m == "UNDER_WAY":
        _count(m, parts, 6)
        return io.AttemptStarted(request=parts[2], elapsed=_optional(m, "waitTime", parts[3]),
                                 backend=parts[4], attempt=_whole(m, "n", parts[5]))
    if m == "PROBE_DONE":
        _count(m, parts, 6)
        return io.ProbeEnded(backend=parts[2], outcome=_choice(m, "reason", parts[3], OUTCOMES),
                             elapsed=_optional(m, "waitTime", parts[4]), load=_load(m, parts[5], fields))
    if m == "HEARD":
        _count(m, parts, 4)
        try:
            payload = b"" if parts[3] == "-" else bytes.fromhex(parts[3])
        except ValueError:
            _bad(m, "msg", "hex digits", parts[3])
        return io.PeerMessage(_whole(m, "originPeer", parts[2]), payload)
    _bad("batch", "message", "a known message", m)


def _num(value: float) -> str:
    return str(int(value)) if value == int(value) else f"{value:.6f}"


def write_action(me: int, a: io.Action) -> str:
    """The wire's line for one action."""
    if isinstance(a, io.Attempt):
        patience = "" if a.timeout is None else f" {a.timeout:.6f}"
        return f"SUBMIT_TO {me} {a.request} {a.backend}{patience or ' 0'}"
    if isinstance(a, io.CounterAdd):
        return f"COUNT {me} {a.lifetime:.6f} {a.name} {_num(a.amount)}"
    if isinstance(a, io.Refuse):
        return f"DECLINE {me} {a.request} {_num(a.retry_in)}"
    if isinstance(a, io.Fail):
        return f"FINISH_ERROR {me} {a.request}"
    if isinstance(a, io.SetTimer):
        return f"DEFER {me} {a.delay:.6f} {a.token}"
    if isinstance(a, io.CancelAttempt):
        return f"DROP_ATTEMPT {me} {a.request} {a.attempt}"
    if isinstance(a, io.Probe):
        return f"TOUCH {me} {a.backend}"
    if isinstance(a, io.CloseIdle):
        return f"CLOSE_IDLE {me} {a.backend}"
    if isinstance(a, io.Tell):
        return f"MEMO_TO {me} {'*' if a.peer is None else a.peer} {a.payload.hex() or '-'}"
    if isinstance(a, io.Subscribe):
        return f"FOLLOW {me} {int(a.on)}"
    if isinstance(a, io.FetchList):
        return f"GET_LIST {me}"
    return f"EMIT {me} {' '.join(a.text.split())}"


class Host:
    """All instances of one process; they share nothing but this dispatch."""

    def __init__(self, make: Callable[[io.Settings, int, float], Any] = Gateway) -> None:
        self.make = make
        self.gateways: dict[int, tuple[Any, tuple[str, ...], dict[str, Any], dict[str, Any]]] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """Answer one batch, from its CLOCK line to the line before END."""
        head = lines[0].split(" ")
        if head[0] != "CLOCK":
            _bad("batch", "first line", "CLOCK", head[0])
        _count("CLOCK", head, 2)
        now = _number("CLOCK", "clock", head[1])
        out: list[str] = []
        rest = iter(lines[1:])
        for line in rest:
            parts = line.split(" ")
            m = parts[0]
            if len(parts) < 2:
                _bad("batch", "message", "a message for an instance", line)
            me = _whole(m, "ingress", parts[1])
            if m == "CRASH_NOW":
                _count(m, parts, 2)
                self.gateways.pop(me, None)
                continue
            if m == "BORN":
                if len(parts) < 3:
                    _bad(m, "fields", "ingress, seed and profileData", len(parts) - 1)
                settings, fields = read_settings(parts[3:])
                seed = _whole(m, "seed", parts[2], -(2 ** 63))
                classes = {c.name: c for c in settings.classes}
                plans = {q.name: q for q in settings.plans}
                self.gateways[me] = (self.make(settings, seed, now), fields, classes, plans)
                continue
            known = self.gateways.get(me)
            event = read_event(parts, known[1] if known else (), rest)
            if known is None:
                _bad(m, "ingress", "an instance that is running", me)
            if isinstance(event, io.Request):
                _choice(m, "service", event.class_name, known[2])
                _choice(m, "plan", event.plan, known[3])
            try:
                out.extend(write_action(me, a) for a in known[0].handle(now, event))
            except Exception as fault:  # the wire's own declaration of failure, with its text
                text = " ".join(f"{type(fault).__name__}: {fault}".split())
                out.append(f"EXCEPTION {me} {text}")
        return out


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the end of input."""
    host = Host()
    lines: list[str] = []
    for line in source:
        text = line.rstrip("\r\n")
        if text != "END":
            if text or lines:
                lines.append(text)
            continue
        if not lines:
            _bad("batch", "first line", "CLOCK", "END")
        reply = host.batch(lines)
        lines = []
        sink.write("\n".join([*reply, "DONE\n"]))
        sink.flush()
    if lines:
        _bad("batch", "last line", "END", "end of input")


def main() -> int:
    """Serve standard input; a bad line ends in one plain line and a non-zero exit."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, ValueError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
