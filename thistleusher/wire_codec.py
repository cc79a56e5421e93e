"""Codec of the simulator's wire protocol: decodes lines of text to events and encodes actions as lines.

The protocol's names of messages and fields are used in this module and in `wirehost` only.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.events import BackendEntry, Event, ListKind, Outcome, Phase
from thistleusher.core.text_fields import (
    invalid,
    read_choice,
    read_flag,
    read_number,
    read_optional,
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
LIST_KINDS = {
    "INCREMENTAL": ListKind.CHANGE,
    "FULL": ListKind.WHOLE,
    "SAVED": ListKind.SAVED,
    "FAILED": ListKind.FAILED,
}
ABSENT = "-"
REPEAT_BIT = 2  # flag in a request's field `bits`: the request is a repetition
WRITE_BIT = 4  # flag in a request's field `bits`: the request is a write


@dataclass(slots=True)
class Message:
    """One message: its name and fields in `parts`.

    `load_fields` are the names of the values in a load report. `rows` yields the lines that follow the message.
    """

    parts: list[str]
    load_fields: tuple[str, ...]
    rows: Iterator[str]

    def whole(self, field: str, at: int, absent: int | None = None) -> int:
        """Return a whole number, or `absent` if this is given and the field is missing."""
        if absent is not None and self.parts[at] == ABSENT:
            return absent
        return read_whole(self.parts[0], field, self.parts[at])

    def number(self, field: str, at: int, low: float = -math.inf) -> float:
        """Return a number of at least `low`."""
        return read_number(self.parts[0], field, self.parts[at], low)

    def optional(self, field: str, at: int, low: float = 0.0) -> float:
        """Return a number of at least `low`, or 0 if the field is missing."""
        return read_optional(self.parts[0], field, self.parts[at], low)

    def outcome(self, at: int) -> Outcome:
        """Return the outcome of an attempt, a probe or a counter call."""
        return read_choice(self.parts[0], "reason", self.parts[at], OUTCOMES)

    def load(self, at: int) -> dict[str, float]:
        """Return the present values of a load report by name."""
        text = self.parts[at]
        if text in (ABSENT, ""):
            return {}
        values = text.split(",")
        if len(values) != len(self.load_fields):
            invalid(self.parts[0], "gauge", f"{len(self.load_fields)} values", text)
        pairs = zip(self.load_fields, values, strict=True)
        return {name: read_number(self.parts[0], f"gauge.{name}", v) for name, v in pairs if v != ABSENT}


def check_count(message: str, parts: list[str], wanted: int) -> None:
    """Raise InvalidSettingError unless a message has `wanted` parts, including its name."""
    if len(parts) != wanted:
        invalid(message, "fields", f"{wanted - 1} fields", len(parts) - 1)


def read_row(line: str) -> BackendEntry:
    """Decode one line of a backend list."""
    parts = line.split(" ")
    if parts[0] != "ROW":
        invalid("UPDATE", "rows", "a ROW line", parts[0])
    check_count("ROW", parts, 8)
    return BackendEntry(
        backend=parts[4],
        phase=read_choice("ROW", "stageState", parts[3], PHASES),
        weight=1.0 if parts[1] == ABSENT else read_number("ROW", "share", parts[1], 0.0),
        kind="" if parts[2] == ABSENT else parts[2],
        cell=0 if parts[5] == ABSENT else read_whole("ROW", "unitGroup", parts[5]),
        born=read_optional("ROW", "born", parts[6], -math.inf),
        zone="" if parts[7] == ABSENT else parts[7],
    )


def _read_request(m: Message) -> Event:
    bits = m.whole("bits", 10, absent=0)
    return events.Request(
        id=m.parts[2],
        class_name=m.parts[3],
        plan=m.parts[4],
        customer=m.whole("apiKey", 5),
        expires_in=m.number("expiresIn", 6),
        units=m.number("units", 7, 0.0),
        width=m.whole("width", 8, absent=1),
        first=m.whole("base", 9, absent=0),
        is_repeat=bool(bits & REPEAT_BIT),
        is_write=bool(bits & WRITE_BIT),
    )


def _read_attempt_ended(m: Message) -> Event:
    return events.AttemptEnded(
        request=m.parts[2],
        attempt=m.whole("n", 3),
        backend=m.parts[4],
        outcome=m.outcome(5),
        elapsed=m.optional("waitTime", 6),
        done=read_flag(m.parts[0], "doneFlag", m.parts[7]),
        metered=m.whole("metered", 8, absent=0),
        true_units=m.optional("trueUnits", 9),
        load=m.load(10),
    )


def _read_counter_reply(m: Message) -> Event:
    return events.CounterReply(
        elapsed=m.optional("waitTime", 2),
        name=m.whole("name", 3),
        outcome=m.outcome(4),
        total=m.optional("nowAt", 5, -math.inf),
    )


def _read_timer_fired(m: Message) -> Event:
    return events.TimerFired(m.whole("ctx", 2))


def _read_client_gone(m: Message) -> Event:
    return events.ClientGone(m.parts[2])


def _read_list_update(m: Message) -> Event:
    count = m.whole("rows", 4)
    entries: list[BackendEntry] = []
    for _ in range(count):
        line = next(m.rows, None)
        if line is None:
            invalid(m.parts[0], "rows", f"{count} ROW lines", len(entries))
        entries.append(read_row(line))
    version = m.whole("stamp", 3, absent=0)
    kind = read_choice(m.parts[0], "form", m.parts[2], LIST_KINDS)
    return events.ListUpdate(kind, version, tuple(entries))


def _read_attempt_started(m: Message) -> Event:
    return events.AttemptStarted(
        request=m.parts[2],
        elapsed=m.optional("waitTime", 3),
        backend=m.parts[4],
        attempt=m.whole("n", 5),
    )


def _read_probe_ended(m: Message) -> Event:
    return events.ProbeEnded(
        backend=m.parts[2],
        outcome=m.outcome(3),
        elapsed=m.optional("waitTime", 4),
        load=m.load(5),
    )


def _read_peer_message(m: Message) -> Event:
    try:
        payload = b"" if m.parts[3] == ABSENT else bytes.fromhex(m.parts[3])
    except ValueError:
        invalid(m.parts[0], "msg", "hex digits", m.parts[3])
    return events.PeerMessage(m.whole("originPeer", 2), payload)


# For each message: the number of its parts, including its name, and the function that decodes it.
READERS: dict[str, tuple[int, Callable[[Message], Event]]] = {
    "WORK_ITEM": (11, _read_request),
    "RETURNED": (11, _read_attempt_ended),
    "TALLIED": (6, _read_counter_reply),
    "FIRED": (3, _read_timer_fired),
    "EXPIRED": (3, _read_client_gone),
    "UPDATE": (5, _read_list_update),
    "UNDER_WAY": (6, _read_attempt_started),
    "PROBE_DONE": (6, _read_probe_ended),
    "HEARD": (4, _read_peer_message),
}


def read_event(parts: list[str], load_fields: tuple[str, ...], rows: Iterator[str]) -> Event:
    """Decode one event of a running instance; the rows of a list are read from `rows`."""
    name = parts[0]
    if name not in READERS:
        invalid("batch", "message", "a known message", name)
    count, reader = READERS[name]
    check_count(name, parts, count)
    return reader(Message(parts, load_fields, rows))


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else f"{value:.6f}"


def _write_attempt(me: int, action: actions.Attempt) -> str:
    timeout = "0" if action.timeout is None else f"{action.timeout:.6f}"
    return f"SUBMIT_TO {me} {action.request} {action.backend} {timeout}"


def _write_peer_message(me: int, action: actions.SendToPeer) -> str:
    to = "*" if action.peer is None else action.peer
    return f"MEMO_TO {me} {to} {action.payload.hex() or ABSENT}"


WRITERS: dict[type, Callable[[int, Any], str]] = {
    actions.Attempt: _write_attempt,
    actions.CounterAdd: lambda me, a: f"COUNT {me} {a.lifetime:.6f} {a.name} {_number(a.amount)}",
    actions.Refuse: lambda me, a: f"DECLINE {me} {a.request} {_number(a.retry_in)}",
    actions.Fail: lambda me, a: f"FINISH_ERROR {me} {a.request}",
    actions.SetTimer: lambda me, a: f"DEFER {me} {a.delay:.6f} {a.token}",
    actions.CancelAttempt: lambda me, a: f"DROP_ATTEMPT {me} {a.request} {a.attempt}",
    actions.Probe: lambda me, a: f"TOUCH {me} {a.backend}",
    actions.CloseIdle: lambda me, a: f"CLOSE_IDLE {me} {a.backend}",
    actions.SendToPeer: _write_peer_message,
    actions.Subscribe: lambda me, a: f"FOLLOW {me} {int(a.on)}",
    actions.FetchList: lambda me, _: f"GET_LIST {me}",
    actions.Log: lambda me, a: f"EMIT {me} {' '.join(a.text.split())}",
}


def write_action(me: int, action: Action) -> str:
    """Encode one action of an instance as a line."""
    return WRITERS[type(action)](me, action)
