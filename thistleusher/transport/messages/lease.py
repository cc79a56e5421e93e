"""Between the holder of a singleton role and the voters that grant its lease.

The term of a lease is its fencing token: terms of successive holders rise.
"""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class LeaseRequest(Message, tag="lease-request", frozen=True):
    """Ask for the lease of a role, or renew it; `sent`: when, on the holder's clock."""

    singleton_role: str
    holder: str
    term: int
    sent: float


class LeaseGranted(Message, tag="lease-granted", frozen=True):
    """One voter grants the lease under a term, for the lease's length counted from `sent`."""

    singleton_role: str
    term: int
    sent: float


class LeaseRejected(Message, tag="lease-taken", frozen=True):
    """Not granted: the highest term seen, and whether the lease is free under a higher one."""

    singleton_role: str
    term: int
    free: bool


class LeaseReleased(Message, tag="lease-released", frozen=True):
    """The holder gives the lease of a term up."""

    singleton_role: str
    holder: str
    term: int
