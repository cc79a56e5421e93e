"""Messages between proxies."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message
from thistleusher.transport.messages.subscription import StateUpdate


class RingHeartbeat(Message, tag="ring-beat", frozen=True):
    """A datagram of the heartbeat ring: the sender, and the numbers of its copies of both states."""

    sender: str
    control_number: int
    registry_number: int


class HandOver(Message, tag="hand-over", frozen=True):
    """A watcher's transfer of both states to a proxy that has lagged behind."""

    sender: str
    control: StateUpdate
    registry: StateUpdate


class HandOverAccepted(Message, tag="hand-over-taken", frozen=True):
    """The transferred states have been applied."""
