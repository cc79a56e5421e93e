"""The events that stand-ins record for the auditor: one named tuple per event.

Times are Unix seconds of one clock. No record contains anything that an ingress reports about itself.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TextIO, Union


class Asked(NamedTuple):
    """The front has sent a request. `op` is the same for all attempts of one operation; `budget` is in seconds."""

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
    """An attempt has ended. Status 0: the connection ended without an answer; -1: the front stopped waiting."""

    at: float
    id: str
    status: int
    retry_after: float = 0.0
    body: str = ""


class Withdrawn(NamedTuple):
    """An ingress did not accept a request: its idle connection had been closed, and a new one was refused."""

    at: float
    id: str
    ingress: str


class Began(NamedTuple):
    """A match server has received a request. `work`: seconds that it takes on one warm core."""

    at: float
    id: str
    server: str
    key: str
    work: float
    turned_away: bool = False


class Ran(NamedTuple):
    """The effect of a request has happened at a match server; a repetition dropped by its key has none."""

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
    """Discovery has sent a server's status to an ingress."""

    at: float
    server: str
    status: str


class Added(NamedTuple):
    """The counter has added an amount to the total of a name."""

    at: float
    name: str
    amount: float
    total: float


class Crashed(NamedTuple):
    """A fault script killed an ingress, which may lose its requests and its state in memory.

    `dying`: the process was signalled but not yet seen to have ended; a second record follows when it is.
    """

    at: float
    ingress: str
    dying: bool = False


Record = Union[Asked, Answered, Withdrawn, Began, Ran, Up, Told, Added, Crashed]
KINDS: dict[str, Any] = {k.__name__: k for k in (Asked, Answered, Withdrawn, Began, Ran, Up, Told, Added, Crashed)}


class Records:
    """All records of a run, in memory and, with a sink, as one JSON line each."""

    def __init__(self, sink: TextIO | None = None) -> None:
        self.all: list[Record] = []
        self.sink = sink

    def add(self, record: Record) -> None:
        """Append a record, and write it to the sink if there is one."""
        self.all.append(record)
        if self.sink is not None:
            self.sink.write(json.dumps([type(record).__name__, *record]) + "\n")

    def of_kind(self, kind: type[Any]) -> Iterator[Any]:
        """Return the records of one kind."""
        return (r for r in self.all if type(r) is kind)


def read_records(lines: Iterable[str], name: str = "records") -> list[Record]:
    """Parse records from JSON lines. Raises ValueError that names the first invalid line."""
    out: list[Record] = []
    for number, line in enumerate(lines, 1):
        try:
            kind, *values = json.loads(line)
            out.append(KINDS[kind](*values))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise ValueError(f"{name}:{number}: expected a record, got {line.strip()[:80]!r}") from error
    return out
