"""State of a leadership: contact with voters and replicas, and the change that is being replicated."""

from __future__ import annotations

from dataclasses import dataclass, field

from thistleusher.control.interface import Change
from thistleusher.control.state_copy import Undo
from thistleusher.control.timing import LEASE_S, NEVER
from thistleusher.transport.messages import Items, Position, ViewRecord


@dataclass(slots=True)
class PendingChange:
    """The change that is being replicated: the disks that have it, and the items that it replaced in memory."""

    change: Change
    base: Position
    position: Position
    items: Items
    undo: Undo
    begun_at: float
    sent_at: float
    on_own_disk: bool = False
    on_replicas: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LaggingReplica:
    """A replica whose copy differs from the leader's: the copy's position, and since when it has differed."""

    position: Position
    differs_since: float


@dataclass(slots=True)
class Leadership:
    """The leadership of one epoch, from the election until the leader steps down or starts the next epoch."""

    view: ViewRecord
    begun_at: float
    acked: dict[str, float]  # voter -> sending time of the latest heartbeat that it has answered
    last_heard: dict[str, float]  # voter -> when it was last heard
    heard_since: dict[str, float]  # voter -> since when it has been heard without a gap of more than LEASE_S
    voters_since: float  # since when the voters have been unchanged
    pending: PendingChange | None = None
    own_write_since: float | None = None  # since when the leader's own disk has been writing a change
    lagging: dict[str, LaggingReplica] = field(default_factory=dict)

    def expires_at(self) -> float:
        """Return the end of the lease.

        The lease starts when the leader sends the heartbeats that a majority answers, not when the answers arrive.
        Voters guard the leader for longer than the lease, and from a later moment.
        """
        acked = sorted((self.acked.get(voter, NEVER) for voter in self.view.voters), reverse=True)
        return acked[self.view.majority - 1] + LEASE_S

    def record_heard(self, voter: str, now: float) -> None:
        """Record that a voter has answered."""
        if now - self.last_heard.get(voter, NEVER) > LEASE_S or voter not in self.heard_since:
            self.heard_since[voter] = now
        self.last_heard[voter] = now
