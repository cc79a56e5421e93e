"""Which of several counters holds a name (a customer's count): rendezvous hashing.

After Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (IEEE/ACM ToN 1998). Every ingress
that knows the same addresses, in whatever order, places a name alike; a counter that is added or removed moves its own
names only. Cost: one hash a counter for a name.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

KEY_BYTES = 16  # of an address's hash
SCORE_BYTES = 8


class Placement:
    """Names on counters that are known by their addresses (`host:port`)."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Raise ValueError unless there are one or more addresses, each once."""
        if not addresses or len(set(addresses)) < len(addresses):
            raise ValueError(f"counters: expected one or more, each once, got {list(addresses)!r}")
        self.addresses = tuple(addresses)
        self._keys = tuple(hashlib.blake2b(a.encode(), digest_size=KEY_BYTES).digest() for a in addresses)

    def of(self, name: int) -> int:
        """Return the number of the counter that holds a name."""
        if len(self._keys) == 1:
            return 0
        text = name.to_bytes(8)
        scores = [hashlib.blake2b(text, digest_size=SCORE_BYTES, key=key).digest() for key in self._keys]
        return scores.index(max(scores))
