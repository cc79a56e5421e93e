"""Which incarnation of each ingress is current.

An incarnation is named by the millisecond in which it started. Of two incarnations of one ingress only the later one
is listened to, so nothing that an earlier one gave is taken in after its successor has learned what had been taken.

Assumed: an ingress's own clock does not go back between its incarnations. Where it does, the new incarnation is
listened to once the later-named one has been silent for `FORGET_AFTER_S`. Cost: constant a message.
"""

from __future__ import annotations

from enum import Enum

FORGET_AFTER_S = 10.0  # of silence, after which an incarnation gives way to one that is named earlier
MS_PER_S = 1000


class Sender(Enum):
    """What a message's sender is to the receiver."""

    CURRENT = "current"
    NEW = "new"
    SUPERSEDED = "superseded"  # not to be listened to


class Incarnations:
    """The incarnations of all ingresses as known to one of them. Times in seconds of the one clock."""

    def __init__(self, started_at: float) -> None:
        """Know nobody but this ingress, whose incarnation has started at `started_at`."""
        self.own = max(1, int(started_at * MS_PER_S))
        self.current: dict[int, int] = {}  # by peer
        self.last_message_at: dict[int, float] = {}
        self.restarted = set[int]()  # peers of which another incarnation than the current one was known
        self.shut_down = set[int]()  # peers whose current incarnation has announced its end

    def observe(self, now: float, peer: int, incarnation: int) -> Sender:
        """Take in that a message of a peer's incarnation has come."""
        known = self.current.get(peer)
        if known is not None and incarnation < known and now - self.last_message_at[peer] < FORGET_AFTER_S:
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
