"""Inputs and outputs of the control process, and what the runtime may call.

The runtime (`program`, or the simulation) owns sockets, clock and disk. It hands every input to
`service.ControlService` with the time of its steady clock, in seconds, and carries out the outputs that come back, in
their order:

- `tick(now)`: ten times a second or more;
- `receive(now, name, message)`: a message from a control process of the core or from a client;
- `connected(now, address)`: a connection to a control process of the core was set up anew;
- `disconnected(name)`: a client's connection has ended;
- `submit(now, make)`: a call of an operator; its one `Answer` bears the id that `submit` returns;
- `write_completed(now, token, ok)`: a `Write` is on disk, or failed;
- `stop(now)`: the process is to stop; it may once `ControlNode.can_stop` is true;
- `ControlNode.add_seeds(addresses)`: the settings file was read again.

Beside these it may read `next_call_id`, `ControlNode.known_peers()`, whom to connect to, and
`ControlNode.holds_lease(now)`, which it must ask again before an answer that relies on the lease leaves. Registries use
`leases.LeaseHolder`. Nothing else of this package is called from outside, except by tests and simulations, which also
read the node's state.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistleusher.common.events import Event
from thistleusher.transport.messages import AnyMessage, Items, Position, ViewRecord
from thistleusher.transport.state_updates import State

# Records on disk.


class Records(NamedTuple):
    """Records to be written in one transaction, all of them or none. None: stays as it is.

    `items` with `complete` replace all items on disk; without, they are added to them. `position` and `floor` go with
    the items.
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
    """All that a disk holds, as read at the start of a process. The defaults are those of an empty disk."""

    promised: int = 0
    view: ViewRecord | None = None
    position: Position = Position(-1, 0, 0)
    floor: int = 0
    items: Items = field(default_factory=dict)
    leases: dict[str, tuple[str, int]] = field(default_factory=dict)


# Calls, which are answered by the leader.


class Change(NamedTuple):
    """A call that changes items.

    `is_redundant` returns whether a state in force makes the change needless, so that it is acknowledged at once;
    `items` returns what it sets (None removes an item).
    """

    call_id: int
    is_redundant: Callable[[State], bool]
    items: Callable[[State], dict[str, Any]]
    description: str
    deadline: float = 0.0


class DeferredChange(NamedTuple):
    """An order that only a leader parses, as only a leader may reject it for good.

    `change` turns it into a change of the state in force, or raises the ServiceError that it is rejected by.
    """

    call_id: int
    change: Callable[[State], Change]
    deadline: float = 0.0


class Read(NamedTuple):
    """A call that a leader with a valid lease answers from the state."""

    call_id: int
    answer: Callable[[State], Any]
    deadline: float = 0.0


Call = Change | DeferredChange | Read


# Outputs.


class Send(NamedTuple):
    """Send a message to the control process on a machine."""

    to: str
    message: AnyMessage


class SendToClient(NamedTuple):
    """Send a message to a connected client (proxy or registry), by its name."""

    name: str
    message: AnyMessage


class Write(NamedTuple):
    """Write records to disk, synced; then call `write_completed` with `token`."""

    token: int
    records: Records


class Answer(NamedTuple):
    """Answer a call, once: None for an acknowledged change, a document, or a ServiceError."""

    call_id: int
    answer: Any


class Publish(NamedTuple):
    """Publish the state in force to all subscribers. It is a copy that the node doesn't change."""

    state: State


class PublishChange(NamedTuple):
    """Publish a change that is in force: the next one after the state or change that was published last."""

    number: int
    items: Items


class LogEvent(NamedTuple):
    """Log an event."""

    event: Event
    fields: tuple[object, ...]


Output = Send | Write | Answer | Publish | PublishChange | LogEvent
ServiceOutput = Output | SendToClient
