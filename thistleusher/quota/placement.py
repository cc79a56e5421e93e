"""Which of several counters holds a name: rendezvous hashing.

After Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (IEEE/ACM ToN 1998). Every ingress
that knows the same addresses, in whatever order, places a name alike; a counter that comes or goes moves its own
names only. Cost: one hash a counter for a name.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence


class Placement:
    """Names on counters that are told apart by their addresses (`host:port`)."""

    def __init__(self, addresses: Sequence[str]) -> None:
        if not addresses or len(set(addresses)) < len(addresses):
            raise ValueError(f"counters: expected one or more, each once, got {list(addresses)!r}")
        self.addresses = tuple(addresses)
        self.keys = tuple(hashlib.blake2b(a.encode(), digest_size=16).digest() for a in addresses)

    def of(self, name: int) -> int:
        """The number of the counter that holds a name."""
        if len(self.keys) == 1:
            return 0
        text = name.to_bytes(8)
        scores = [hashlib.blake2b(text, digest_size=8, key=key).digest() for key in self.keys]
        return scores.index(max(scores))
