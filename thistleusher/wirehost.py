"""Hosts many gateways on the simulator's wire: wire words to interface types and back, nothing else."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from thistleusher.assembly import make_gateway
from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.events import BackendEntry, Event, ListKind, Outcome, Phase
from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import (
    InvalidSettingError,
    bad,
    read_choice,
    read_flag,
    read_number,
    read_optional,
    read_settings,
    read_whole,
)

OUTCOMES = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.CONNECT_FAILED,
    "broken": Outcome.RESET,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.MOOT,
}
PHASES = {"Running": Phase.RUNNING, "Stopping": Phase.STOPPING, "Deleted": Phase.DELETED}
FORMS = {
    "INCREMENTAL": ListKind.CHANGE,
    "FULL": ListKind.WHOLE,
    "SAVED": ListKind.SAVED,
    "FAILED": ListKind.FAILED,
}


def _count(message: str, parts: list[str], wanted: int) -> None:
    if len(parts) != wanted:
        bad(message, "fields", f"{wanted - 1} fields", len(parts) - 1)


def _load(message: str, text: str, fields: tuple[str, ...]) -> dict[str, float]:
    if text == "-" or text == "":
        return {}
    values = text.split(",")
    if len(values) != len(fields):
        bad(message, "gauge", f"{len(fields)} values", text)
    return {f: read_number(message, f"gauge.{f}", v) for f, v in zip(fields, values, strict=True) if v != "-"}


def read_row(line: str) -> BackendEntry:
    """One line of the list of servers."""
    parts = line.split(" ")
    if parts[0] != "ROW":
        bad("UPDATE", "rows", "a ROW line", parts[0])
    _count("ROW", parts, 8)
    return BackendEntry(
        backend=parts[4],
        phase=read_choice("ROW", "stageState", parts[3], PHASES),
        weight=1.0 if parts[1] == "-" else read_number("ROW", "share", parts[1], 0.0),
        kind="" if parts[2] == "-" else parts[2],
        cell=0 if parts[5] == "-" else read_whole("ROW", "unitGroup", parts[5]),
        born=read_optional("ROW", "born", parts[6], -math.inf),
        zone="" if parts[7] == "-" else parts[7],
    )


def read_event(parts: list[str], fields: tuple[str, ...], rows: Iterator[str]) -> Event:
    """One event of a running instance; the rows of a list are taken from `rows`."""
    m = parts[0]
    if m == "WORK_ITEM":
        _count(m, parts, 11)
        bits = 0 if parts[10] == "-" else read_whole(m, "bits", parts[10])
        return events.Request(
            id=parts[2],
            class_name=parts[3],
            plan=parts[4],
            customer=read_whole(m, "apiKey", parts[5]),
            expires_in=read_number(m, "expiresIn", parts[6]),
            units=read_number(m, "units", parts[7], 0.0),
            width=1 if parts[8] == "-" else read_whole(m, "width", parts[8]),
            first=0 if parts[9] == "-" else read_whole(m, "base", parts[9]),
            is_repeat=bool(bits & 2),
            is_write=bool(bits & 4),
        )
    if m == "RETURNED":
        _count(m, parts, 11)
        return events.AttemptEnded(
            request=parts[2],
            attempt=read_whole(m, "n", parts[3]),
            backend=parts[4],
            outcome=read_choice(m, "reason", parts[5], OUTCOMES),
            elapsed=read_optional(m, "waitTime", parts[6]),
            done=read_flag(m, "doneFlag", parts[7]),
            metered=0 if parts[8] == "-" else read_whole(m, "metered", parts[8]),
            true_units=read_optional(m, "trueUnits", parts[9]),
            load=_load(m, parts[10], fields),
        )
    if m == "TALLIED":
        _count(m, parts, 6)
        return events.CounterReply(
            elapsed=read_optional(m, "waitTime", parts[2]),
            name=read_whole(m, "name", parts[3]),
            outcome=read_choice(m, "reason", parts[4], OUTCOMES),
            total=read_optional(m, "nowAt", parts[5], -math.inf),
        )
    if m == "FIRED":
        _count(m, parts, 3)
        return events.TimerFired(read_whole(m, "ctx", parts[2]))
    if m == "EXPIRED":
        _count(m, parts, 3)
        return events.ClientGone(parts[2])
    if m == "UPDATE":
        _count(m, parts, 5)
        n = read_whole(m, "rows", parts[4])
        entries: list[BackendEntry] = []
        for _ in range(n):
            line = next(rows, None)
            if line is None:
                bad(m, "rows", f"{n} ROW lines", len(entries))
            entries.append(read_row(line))
        version = 0 if parts[3] == "-" else read_whole(m, "stamp", parts[3])
        return events.ListUpdate(read_choice(m, "form", parts[2], FORMS), version, tuple(entries))
    if m == "UNDER_WAY":
        _count(m, parts, 6)
        return events.AttemptStarted(
            request=parts[2],
            elapsed=read_optional(m, "waitTime", parts[3]),
            backend=parts[4],
            attempt=read_whole(m, "n", parts[5]),
        )
    if m == "PROBE_DONE":
        _count(m, parts, 6)
        return events.ProbeEnded(
            backend=parts[2],
            outcome=read_choice(m, "reason", parts[3], OUTCOMES),
            elapsed=read_optional(m, "waitTime", parts[4]),
            load=_load(m, parts[5], fields),
        )
    if m == "HEARD":
        _count(m, parts, 4)
        try:
            payload = b"" if parts[3] == "-" else bytes.fromhex(parts[3])
        except ValueError:
            bad(m, "msg", "hex digits", parts[3])
        return events.PeerMessage(read_whole(m, "originPeer", parts[2]), payload)
    bad("batch", "message", "a known message", m)


def _num(value: float) -> str:
    return str(int(value)) if value == int(value) else f"{value:.6f}"


def write_action(me: int, a: Action) -> str:
    """The wire's line for one action."""
    if isinstance(a, actions.Attempt):
        patience = "" if a.timeout is None else f" {a.timeout:.6f}"
        return f"SUBMIT_TO {me} {a.request} {a.backend}{patience or ' 0'}"
    if isinstance(a, actions.CounterAdd):
        return f"COUNT {me} {a.lifetime:.6f} {a.name} {_num(a.amount)}"
    if isinstance(a, actions.Refuse):
        return f"DECLINE {me} {a.request} {_num(a.retry_in)}"
    if isinstance(a, actions.Fail):
        return f"FINISH_ERROR {me} {a.request}"
    if isinstance(a, actions.SetTimer):
        return f"DEFER {me} {a.delay:.6f} {a.token}"
    if isinstance(a, actions.CancelAttempt):
        return f"DROP_ATTEMPT {me} {a.request} {a.attempt}"
    if isinstance(a, actions.Probe):
        return f"TOUCH {me} {a.backend}"
    if isinstance(a, actions.CloseIdle):
        return f"CLOSE_IDLE {me} {a.backend}"
    if isinstance(a, actions.SendToPeer):
        return f"MEMO_TO {me} {'*' if a.peer is None else a.peer} {a.payload.hex() or '-'}"
    if isinstance(a, actions.Subscribe):
        return f"FOLLOW {me} {int(a.on)}"
    if isinstance(a, actions.FetchList):
        return f"GET_LIST {me}"
    return f"EMIT {me} {' '.join(a.text.split())}"


class Host:
    """All instances of one process; they share nothing but this dispatch."""

    def __init__(self, make: Callable[[Settings, int, float], Any] = make_gateway) -> None:
        self.make = make
        self.gateways: dict[int, tuple[Any, tuple[str, ...], dict[str, Any], dict[str, Any]]] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """Answer one batch, from its CLOCK line to the line before END."""
        head = lines[0].split(" ")
        if head[0] != "CLOCK":
            bad("batch", "first line", "CLOCK", head[0])
        _count("CLOCK", head, 2)
        now = read_number("CLOCK", "clock", head[1])
        out: list[str] = []
        rest = iter(lines[1:])
        for line in rest:
            parts = line.split(" ")
            m = parts[0]
            if len(parts) < 2:
                bad("batch", "message", "a message for an instance", line)
            me = read_whole(m, "ingress", parts[1])
            if m == "CRASH_NOW":
                _count(m, parts, 2)
                self.gateways.pop(me, None)
                continue
            if m == "BORN":
                if len(parts) < 3:
                    bad(m, "fields", "ingress, seed and profileData", len(parts) - 1)
                settings, fields = read_settings(parts[3:])
                seed = read_whole(m, "seed", parts[2], -(2**63))
                classes = {c.name: c for c in settings.classes}
                plans = {q.name: q for q in settings.plans}
                self.gateways[me] = (self.make(settings, seed, now), fields, classes, plans)
                continue
            known = self.gateways.get(me)
            event = read_event(parts, known[1] if known else (), rest)
            if known is None:
                bad(m, "ingress", "an instance that is running", me)
            if isinstance(event, events.Request):
                read_choice(m, "service", event.class_name, known[2])
                read_choice(m, "plan", event.plan, known[3])
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
            bad("batch", "first line", "CLOCK", "END")
        reply = host.batch(lines)
        lines = []
        sink.write("\n".join([*reply, "DONE\n"]))
        sink.flush()
    if lines:
        bad("batch", "last line", "END", "end of input")


def main() -> int:
    """Serve standard input; a bad line ends in one plain line and a non-zero exit."""
    try:
        serve(sys.stdin, sys.stdout)
    except (InvalidSettingError, ValueError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
