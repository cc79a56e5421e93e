"""Tracks the current incarnation of each ingress.

An incarnation is numbered by the millisecond in which it started. Messages are accepted only from the latest known
incarnation of an ingress, so no transfer by an earlier incarnation is accepted after the later one has learned what
had been received.

Assumes that an ingress's own clock does not go back between its incarnations. If it does, messages of the new
incarnation are accepted once the higher-numbered one has sent none for `INCARNATION_TIMEOUT_S`. Cost: constant per
message.
"""

from __future__ import annotations

from enum import Enum

INCARNATION_TIMEOUT_S = 10.0  # after this time without a message, a lower-numbered incarnation may become current
MS_PER_S = 1000


class Sender(Enum):
    """How the incarnation that sent a message relates to the one known to the receiver."""

    CURRENT = "current"
    NEW = "new"
    SUPERSEDED = "superseded"  # its messages are ignored


class Incarnations:
    """The incarnations of all ingresses as known to one of them. Times are in seconds of the shared clock."""

    def __init__(self, started_at: float) -> None:
        """Start without known peers; this ingress's own incarnation started at `started_at`."""
        self.own = max(1, int(started_at * MS_PER_S))
        self.current: dict[int, int] = {}  # by peer
        self.last_message_at: dict[int, float] = {}  # by peer
        self.restarted = set[int]()  # peers with an incarnation known besides the current one
        self.shut_down = set[int]()  # peers whose current incarnation has announced its shutdown

    def observe(self, now: float, peer: int, incarnation: int) -> Sender:
        """Record a message from an incarnation of a peer; return how it relates to the known one."""
        known = self.current.get(peer)
        if known is not None and incarnation < known and now - self.last_message_at[peer] < INCARNATION_TIMEOUT_S:
            self.restarted.add(peer)
            return Sender.SUPERSEDED
        self.last_message_at[peer] = now
        if incarnation == known:
            return Sender.CURRENT
        self.current[peer] = incarnation
        self.shut_down.discard(peer)
        if known is not None:
            self.restarted.add(peer)
        return Sender.NEW
