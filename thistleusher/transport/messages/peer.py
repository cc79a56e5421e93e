"""Between proxies."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message
from thistleusher.transport.messages.subscription import StateUpdate


class RingHeartbeat(Message, tag="ring-beat", frozen=True):
    """A datagram of the heartbeat ring: the sender, and the numbers of the two states that it has."""

    sender: str
    control_number: int
    registry_number: int


class HandOver(Message, tag="hand-over", frozen=True):
    """A watcher's copy of both states, for a proxy that has lacked them for a while."""

    sender: str
    control: StateUpdate
    registry: StateUpdate


class HandOverAccepted(Message, tag="hand-over-taken", frozen=True):
    """The copy was applied."""
