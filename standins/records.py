"""What stand-ins write down, for the auditor: one small tuple an event, on one clock.

Times are Unix seconds. Records are judged without any statement of the ingress's own.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TextIO, Union


class Asked(NamedTuple):
    """A front has written a request's last byte. `op` is the same for all attempts at one thing to do."""

    at: float
    id: str
    op: str
    ingress: str
    member: int
    plan: str
    cls: str
    units: float
    budget: float
    again: bool = False


class Answered(NamedTuple):
    """A whole answer has come; status 0: the connection ended without one, -1: the front stopped waiting."""

    at: float
    id: str
    status: int
    retry_after: float = 0.0
    body: str = ""


class Withdrawn(NamedTuple):
    """A request was never taken: its idle connection had been ended, and no new one came up."""

    at: float
    id: str
    ingress: str


class Began(NamedTuple):
    """A request's last byte has come to a match server. `work`: seconds of one warm core it asks for."""

    at: float
    id: str
    server: str
    key: str
    work: float
    turned_away: bool = False


class Ran(NamedTuple):
    """A request's effect has happened at a match server; a repeat that was dropped has none."""

    at: float
    id: str
    server: str
    key: str


class Up(NamedTuple):
    """A match server has started. Its capacity grows from `cold` to 1 of `cores` within `cold_s` seconds."""

    at: float
    server: str
    cores: float
    cold: float
    cold_s: float


class Told(NamedTuple):
    """Discovery has written a server's status to an ingress."""

    at: float
    server: str
    status: str


class Added(NamedTuple):
    """The counter has added to a name."""

    at: float
    name: str
    amount: float
    total: float


class Crashed(NamedTuple):
    """A fault script ended an ingress: `ingress` may lose what it held.

    `dying`: it was signalled, and its end was not seen yet; a second record follows as soon as it is.
    """

    at: float
    ingress: str
    dying: bool = False


Record = Union[Asked, Answered, Withdrawn, Began, Ran, Up, Told, Added, Crashed]
KINDS: dict[str, Any] = {k.__name__: k for k in (Asked, Answered, Withdrawn, Began, Ran, Up, Told, Added, Crashed)}


class Records:
    """All records of a run, in memory and, where a file is given, a JSON line each."""

    def __init__(self, sink: TextIO | None = None) -> None:
        self.all: list[Record] = []
        self.sink = sink

    def add(self, record: Record) -> None:
        """Append a record, and write it where there is a file."""
        self.all.append(record)
        if self.sink is not None:
            self.sink.write(json.dumps([type(record).__name__, *record]) + "\n")

    def of(self, kind: type[Any]) -> Iterator[Any]:
        """Return the records of one kind."""
        return (r for r in self.all if type(r) is kind)


def read_records(lines: Iterable[str], name: str = "records") -> list[Record]:
    """Return the records of JSON lines. Raises ValueError with the line that is none."""
    out: list[Record] = []
    for number, line in enumerate(lines, 1):
        try:
            kind, *values = json.loads(line)
            out.append(KINDS[kind](*values))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise ValueError(f"{name}:{number}: expected a record, got {line.strip()[:80]!r}") from error
    return out
