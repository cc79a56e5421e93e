"""Differences between the units requested from owners and the units used, merged until they are sent.

Bounded: at most `MAX_RECONCILIATIONS` rows wait; beyond that, the rows of the longest waiting owner are dropped.
"""

from __future__ import annotations

from thistleusher.core.datagrams import encode_customer
from thistleusher.gossip.messages import encode_reconciliations

MAX_RECONCILIATIONS = 4096  # maximum number of waiting rows of all owners


class Reconciliations:
    """Units used beyond (or, if negative, below) those requested from owners, by owner and by customer and plan."""

    def __init__(self) -> None:
        """Start without rows."""
        self.waiting: dict[int, dict[bytes, float]] = {}
        self._count = 0  # number of rows of all owners

    def add(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Add units to the row of a customer and plan that waits for an owner."""
        name = encode_customer(plan, customer)
        if name not in self.waiting.get(owner, ()):
            if self._count >= MAX_RECONCILIATIONS:
                self._drop_oldest()
            self._count += 1
        rows = self.waiting.setdefault(owner, {})
        rows[name] = rows.get(name, 0.0) + units

    def _drop_oldest(self) -> None:
        rows = self.waiting.pop(next(iter(self.waiting)))
        self._count -= len(rows)

    def take(self) -> list[tuple[int, bytes]]:
        """Remove all rows and return their messages as (owner, message)."""
        out = [
            (owner, message)
            for owner, rows in self.waiting.items()
            for message in encode_reconciliations(list(rows.items()))
        ]
        self.waiting.clear()
        self._count = 0
        return out
