"""What the control node takes and gives: calls in; messages, writes, answers, news and log events out.

Times are seconds on the machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistleusher.common.events import Event
from thistleusher.transport.messages import AnyMessage, Items, Position, ViewRecord
from thistleusher.transport.state_updates import State


class Send(NamedTuple):
    """A message to the control process on a machine."""

    to: str
    message: AnyMessage


class SendToClient(NamedTuple):
    """A message to a follower that is connected, by its name."""

    name: str
    message: AnyMessage


class Records(NamedTuple):
    """What is to be on disk together, all of it or nothing. None: stays as it is.

    `items` with `whole` take the place of all items on disk; without, they are added to them. `position` and `floor`
    go with the items.
    """

    promised: int | None = None
    view: ViewRecord | None = None
    position: Position | None = None
    floor: int = 0
    items: Items | None = None
    complete: bool = False
    leases: Mapping[str, tuple[str, int]] | None = None  # duty -> machine, term (`leases.Grantor`)


class Write(NamedTuple):
    """Records for the disk, synced; `ControlNode.written` is told of `token`."""

    token: int
    records: Records


class Answer(NamedTuple):
    """The one answer to a call: None for kept, a document, or a Failure."""

    call_id: int
    answer: Any


class Publish(NamedTuple):
    """The state as it is in force, to be told to all that follow it: a copy that the node does not change."""

    state: State


class PublishChange(NamedTuple):
    """A change is in force: the next one after the state or change that was published last."""

    number: int
    items: Items


class LogEvent(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = Send | Write | Answer | Publish | PublishChange | LogEvent
ServiceOutput = Output | SendToClient


class Change(NamedTuple):
    """A call that alters items.

    `settled`: whether the state makes it needless, and it is acknowledged at once; `items`: what it sets (None:
    removes).
    """

    call_id: int
    is_redundant: Callable[[State], bool]
    items: Callable[[State], dict[str, Any]]
    description: str
    deadline: float = 0.0


class DeferredChange(NamedTuple):
    """An order that only a leader reads: whoever does not lead refuses nothing for good.

    `change` makes it a change of the state in force, or raises the Failure that it is refused by.
    """

    call_id: int
    change: Callable[[State], Change]
    deadline: float = 0.0


class Read(NamedTuple):
    """A call that is answered from the state, by a leader whose lease stands."""

    call_id: int
    answer: Callable[[State], Any]
    deadline: float = 0.0


Call = Change | DeferredChange | Read


@dataclass(slots=True)
class StoredState:
    """All that a disk holds, as read at the start of a process; an empty disk gives the defaults."""

    promised: int = 0
    view: ViewRecord | None = None
    position: Position = Position(-1, 0, 0)
    floor: int = 0
    items: Items = field(default_factory=dict)
    leases: dict[str, tuple[str, int]] = field(default_factory=dict)
