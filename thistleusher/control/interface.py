"""Inputs and outputs of the control process, and the calls that the runtime may make.

The runtime (`program`, or the simulation) owns sockets, clock and disk. It passes every input to
`service.ControlService` with the time of its steady clock, in seconds, and executes the returned outputs in order:

- `tick(now)`: at least ten times a second;
- `receive(now, name, message)`: a message arrived from a control process of the core or from a client;
- `connected(now, address)`: a new connection to a control process of the core was established;
- `disconnected(name)`: a client's connection has ended;
- `submit(now, make)`: an operator has made a call; its single `Answer` has the id that `submit` returns;
- `write_completed(now, token, ok)`: a `Write` is on disk, or has failed;
- `stop(now)`: the process is to stop; it may exit once `ControlNode.can_stop` is true;
- `ControlNode.add_seeds(addresses)`: the settings file was read again.

Besides these the runtime may read `next_call_id`, `ControlNode.known_peers()` (the machines to connect to) and
`ControlNode.holds_lease(now)`, which it must check again before it sends an answer that relies on the lease. Registries
use `leases.LeaseHolder`. No other code outside this package calls it, except for tests and simulations, which also read
the node's state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistleusher.common.events import Event
from thistleusher.control.founding_view import FOUNDING_EPOCH, FOUNDING_POSITION, founding_view
from thistleusher.transport.messages import AnyMessage, Items, Position, ViewRecord
from thistleusher.transport.state_updates import State

# Records on disk.


class Records(NamedTuple):
    """Records to be written in one atomic transaction. A field that is None leaves the stored record unchanged.

    With `complete`, `items` replace all items on disk, otherwise they are added or overwrite items of the same name.
    `position` and `floor` belong to the items.
    """

    promised: int | None = None
    view: ViewRecord | None = None
    position: Position | None = None
    floor: int = 0
    items: Items | None = None
    complete: bool = False
    leases: Mapping[str, tuple[str, int]] | None = None  # singleton role -> machine, term (`leases.LeaseGrantor`)


@dataclass(slots=True)
class StoredState:
    """The contents of the disk, as read at the start of a process. The defaults describe an empty disk."""

    promised: int = 0
    view: ViewRecord | None = None
    position: Position = Position(-1, 0, 0)
    floor: int = 0
    items: Items = field(default_factory=dict)
    leases: dict[str, tuple[str, int]] = field(default_factory=dict)

    def add_founding_view(self, seeds: Iterable[str]) -> None:
        """Add what a founder's record implies; `seeds` are those of the first start."""
        if self.view is None:
            self.view = founding_view(seeds)
        if self.position.epoch < FOUNDING_EPOCH:
            self.position = FOUNDING_POSITION


# Calls. The leader answers them.


class Change(NamedTuple):
    """A call that changes items.

    `is_redundant` returns whether the committed state makes the change unnecessary, so that it is acknowledged at once.
    `items` returns the items that the change sets (None removes an item).
    """

    call_id: int
    is_redundant: Callable[[State], bool]
    items: Callable[[State], dict[str, Any]]
    description: str
    deadline: float = 0.0


class DeferredChange(NamedTuple):
    """An order that only a leader parses, because only a leader may reject it permanently.

    `change` converts the order into a change of the committed state, or raises the ServiceError that rejects it.
    """

    call_id: int
    change: Callable[[State], Change]
    deadline: float = 0.0


class Read(NamedTuple):
    """A call that a leader with a valid lease answers from the committed state."""

    call_id: int
    answer: Callable[[State], Any]
    deadline: float = 0.0


Call = Change | DeferredChange | Read


# Outputs.


class Send(NamedTuple):
    """Send a message to the control process at an address."""

    destination: str
    message: AnyMessage


class SendToClient(NamedTuple):
    """Send a message to a connected client (proxy or registry), by its name."""

    name: str
    message: AnyMessage


class Write(NamedTuple):
    """Write and sync records to disk, then call `write_completed` with `token`."""

    token: int
    records: Records


class Answer(NamedTuple):
    """Answer a call: None acknowledges a change; otherwise a document, or a ServiceError. Each call has one answer."""

    call_id: int
    answer: Any


class Publish(NamedTuple):
    """Publish the committed state to all subscribers. The node does not modify this copy."""

    state: State


class PublishChange(NamedTuple):
    """Publish a committed change: the next one after the state or change that was published last."""

    number: int
    items: Items


class LogEvent(NamedTuple):
    """Log an event."""

    event: Event
    fields: tuple[object, ...]


Output = Send | Write | Answer | Publish | PublishChange | LogEvent
ServiceOutput = Output | SendToClient
