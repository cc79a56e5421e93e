"""Owners: for each ingress set that is too large for updates, the ingress that keeps the customer's account.

If a customer's set has a hundred ingresses, each of them sees the customer about once a minute. None of them knows the
customer's usage, an update would have to go to all of them, and a share would be less than one request. So one ingress
of the ingress set, the owner, is queried before a request is forwarded. The owner charges the customer's count, or
admits the request from its own account, which is complete because all of the customer's requests pass through it. The
technique is combining (Yew, Tzeng, Lawrie 1987) at an owner found by consistent hashing (Karger et al. 1997).

Guarantee: an owner that sends no message during `MAX_MISSES` consecutive queries is skipped for `OWNER_SKIP_S`. The
next candidate takes its place and starts with a full bucket. So each change of owners can admit one burst too much, but
no units are lost to the customer. Cost: constant per request.
"""

from __future__ import annotations

OWNER_CANDIDATES = 3  # maximum number of ingresses of a set that may become its owner, in a fixed order
MAX_MISSES = 2  # consecutive queries without a reply after which the owner is skipped
OWNER_SKIP_S = 1.0  # time for which an unresponsive owner is skipped
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Fibonacci hashing: 2^64 over the golden ratio
HASH_MASK = 0xFFFFFFFFFFFFFFFF
HASH_SHIFT = 32


class Owners:
    """Owners as seen from one ingress. Times are in seconds of one clock."""

    def __init__(self, instances: int, me: int) -> None:
        """Start with no ingress skipped."""
        self.instances = instances
        self.me = me
        self.consecutive_misses: dict[int, int] = {}  # by peer, unanswered queries since its last message
        self.skipped_until: dict[int, float] = {}  # by peer

    def owner_of(self, now: float, key: int, first: int, width: int) -> int | None:
        """Return the owner of a customer's account; None if all of its candidates are skipped."""
        start = (key * HASH_MULTIPLIER & HASH_MASK) >> HASH_SHIFT
        for n in range(min(OWNER_CANDIDATES, width)):
            offset = (start + n * (1 + width // OWNER_CANDIDATES)) % width
            peer = (first + offset) % self.instances
            if peer == self.me or self.skipped_until.get(peer, 0.0) <= now:
                return peer
        return None

    def record_message(self, peer: int) -> None:
        """Record a message of any kind from a peer, which shows that the peer is reachable."""
        self.consecutive_misses.pop(peer, None)
        self.skipped_until.pop(peer, None)

    def record_miss(self, now: float, peer: int) -> None:
        """Record that a peer has not replied to a query in time."""
        self.consecutive_misses[peer] = self.consecutive_misses.get(peer, 0) + 1
        if self.consecutive_misses[peer] >= MAX_MISSES:
            self.skipped_until[peer] = now + OWNER_SKIP_S
