"""What the control state's machine gives back, is asked, and remembers of its office and its attempts.

Times are seconds on the machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadspur.common.events import Event
from roadspur.control.views import View
from roadspur.transport.news import State

BEAT_S = 0.12
LEASE_S = 0.6      # of a primary, from when it asked
GUARD_S = 0.8      # of a voter, from when it heard
GROW_S = 2.0       # for which a machine without a vote must have been heard before it gets one
SHRINK_S = 20.0    # without a word, after which a voter is taken out of the electorate
LEAST = 3          # voters that are always left
FOUND_S = 1.2      # in which all founders come
AGAIN_S = 0.25     # between repeats of what has no answer yet
TURN_S = 0.15     # by which the backup asks later than the old primary
RETURN_S = 0.1     # after its start, in which a primary that comes back finds its voters
YIELD_S = 0.4      # to twice that: left to another who was promised a vote, by one who may have the office too
TRY_S = 1.0        # after which an attempt at the office is given up
DISK_S = 0.6       # that a write of the primary may take before it leaves the office
BACKUP_S = 0.7     # without a word from the backup, or without its answer to a change, before another takes its place
HOLD_S = 0.8       # that a call waits for somebody to hold the office
PART_S = 0.5       # without a beat, after which a primary is no address to send a caller to
SHUN_S = 5.0       # in which a backup that failed is not chosen again while there is another

Outputs = list["Output"]


class Send(NamedTuple):
    """A message to the control machine at an address."""

    to: str
    table: dict[str, Any]


class Write(NamedTuple):
    """Records to be on disk together, synced; `Control.written` is told of `token`."""

    token: int
    records: dict[str, Any]


class Answer(NamedTuple):
    """The one answer to a call: None for kept, a document, or a Failure."""

    call: Any
    answer: Any


class Publish(NamedTuple):
    """The state as it is in force, to be told to all that follow it."""

    state: State


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = Send | Write | Answer | Publish | Note


class Change(NamedTuple):
    """A call that alters items. `settled`: whether the state makes it needless; `items`: what it sets."""

    call: Any
    settled: Callable[[State], bool]
    items: Callable[[State], dict[str, Any]]
    what: str
    until: float = 0.0


class Read(NamedTuple):
    """A call that is answered from the state, by a holder of the office."""

    call: Any
    answer: Callable[[State], Any]
    until: float = 0.0


@dataclass(slots=True)
class Pending:
    """A change that is being kept."""

    state: State
    change: Change
    since: float
    asked: float
    number: int
    here: bool = False
    there: set[str] = field(default_factory=set)  # backups that have it on disk


@dataclass(slots=True)
class Office:
    """What a primary has to do with."""

    view: View
    heard: dict[str, float]  # when each voter was asked what it has answered
    since: float
    backups_heard: dict[str, float]
    pending: Pending | None = None
    disk_since: float | None = None

    def until(self) -> float:
        """To when the lease stands."""
        asked = sorted((self.heard.get(v, -1e9) for v in self.view.electorate), reverse=True)
        return asked[self.view.majority - 1] + LEASE_S


@dataclass(slots=True)
class Attempt:
    """An attempt at the office of one epoch: 'ask' for promises, 'sync' the backup, 'record' the view."""

    epoch: int
    view: View  # the newest known, to be followed by the next
    since: float
    asked: float
    stage: str = "ask"
    said: dict[str, View | None] = field(default_factory=dict)
    next: View | None = None
    tried: set[str] = field(default_factory=set)
    synced: set[str] = field(default_factory=set)
    wanted: Mapping[str, str] | None = None  # another electorate than that of `view`
