"""Messages between the holder of a singleton role and the voters that grant its lease.

The term of a lease is its fencing token: each holder has a higher term than its predecessors.
"""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class LeaseRequest(Message, tag="lease-request", frozen=True):
    """A request for the lease of a role, or for its renewal; `sent`: send time on the holder's clock."""

    singleton_role: str
    holder: str
    term: int
    sent: float


class LeaseGranted(Message, tag="lease-granted", frozen=True):
    """One voter grants the lease under a term; the lease's duration starts at `sent` of the request."""

    singleton_role: str
    term: int
    sent: float


class LeaseRejected(Message, tag="lease-taken", frozen=True):
    """The lease is refused: the highest term seen, and whether the lease is free under a higher term."""

    singleton_role: str
    term: int
    free: bool


class LeaseReleased(Message, tag="lease-released", frozen=True):
    """The holder releases the lease of a term."""

    singleton_role: str
    holder: str
    term: int
