"""Placement of counter names (customers' counts) on several counters by rendezvous hashing.

See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (IEEE/ACM ToN 1998). All ingresses that
know the same addresses, in any order, place a name on the same counter. Adding or removing a counter moves only that
counter's names. Cost: one hash per counter for each lookup.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

KEY_BYTES = 16  # digest size of an address's hash, which keys the score of each name
SCORE_BYTES = 8


class Placement:
    """Maps names to counters, which are identified by their addresses (`host:port`)."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Raise ValueError if there is no address, or if an address occurs twice."""
        if not addresses or len(set(addresses)) < len(addresses):
            raise ValueError(f"counters: expected one or more, each once, got {list(addresses)!r}")
        self.addresses = tuple(addresses)
        self._keys = tuple(hashlib.blake2b(a.encode(), digest_size=KEY_BYTES).digest() for a in addresses)

    def of(self, name: int) -> int:
        """Return the index of the counter that holds a name."""
        if len(self._keys) == 1:
            return 0
        text = name.to_bytes(8)
        scores = [hashlib.blake2b(text, digest_size=SCORE_BYTES, key=key).digest() for key in self._keys]
        return scores.index(max(scores))
