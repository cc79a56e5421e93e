"""Owners: of each set that is too wide for updates, the ingress that keeps its customer's account.

A customer whose set has a hundred ingresses comes to each about once a minute: none of them knows anything of it, an
update would have to go to all, and a share would be less than a request. So one ingress of the set, the same for all,
is asked before a request is forwarded; it charges the customer's count for it, or admits it by what it knows: all that
the customer uses comes through it. After combining (Yew, Tzeng, Lawrie 1987) at an owner found by hashing (Karger et
al. 1997).

Guaranteed: an owner that left `MAX_MISSES` queries in a row without any message is skipped for `SKIP_S`: the next one
in the order takes its place, and begins with a full bucket. So each change of owners can admit a burst more, and none
is lost. Cost: constant a request.
"""

from __future__ import annotations

CANDIDATES = 3  # ingresses of a set that may be its owner, in their order
MAX_MISSES = 2  # queries in a row without a reply, after which another owner is asked
SKIP_S = 1.0  # for so long
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Fibonacci hashing: 2^64 over the golden ratio
HASH_MASK = 0xFFFFFFFFFFFFFFFF
HASH_SHIFT = 32


class Owners:
    """Owners as seen from one ingress of the fleet. Times in seconds of one clock."""

    def __init__(self, instances: int, me: int) -> None:
        """Skip nobody."""
        self.instances = instances
        self.me = me
        self.missed: dict[int, int] = {}  # queries in a row that a peer left without any message
        self.skipped_until: dict[int, float] = {}  # by peer

    def owner_of(self, now: float, key: int, first: int, width: int) -> int | None:
        """Return the owner of a customer's account; None where none of its candidates answers."""
        start = (key * HASH_MULTIPLIER & HASH_MASK) >> HASH_SHIFT
        for n in range(min(CANDIDATES, width)):
            offset = (start + n * (1 + width // CANDIDATES)) % width
            peer = (first + offset) % self.instances
            if peer == self.me or self.skipped_until.get(peer, 0.0) <= now:
                return peer
        return None

    def record_message(self, peer: int) -> None:
        """Note that a peer has sent any message: it is there."""
        self.missed.pop(peer, None)
        self.skipped_until.pop(peer, None)

    def record_miss(self, now: float, peer: int) -> None:
        """Note that a peer has left a query without a reply."""
        self.missed[peer] = self.missed.get(peer, 0) + 1
        if self.missed[peer] >= MAX_MISSES:
            self.skipped_until[peer] = now + SKIP_S
