"""Differences between what owners were asked for and what was used, merged until they are sent.

Bounded: `MAX_RECONCILIATIONS` rows wait at once; beyond it those of the owner that waits longest are forgotten.
"""

from __future__ import annotations

from thistleusher.core.datagrams import encode_customer
from thistleusher.gossip.messages import encode_reconciliations

MAX_RECONCILIATIONS = 4096


class Reconciliations:
    """Units more (or less) than owners were asked for, by owner and by customer and plan."""

    def __init__(self) -> None:
        """Begin with none."""
        self.waiting: dict[int, dict[bytes, float]] = {}
        self._count = 0  # rows of all owners

    def add(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Add units to what waits for an owner."""
        name = encode_customer(plan, customer)
        if name not in self.waiting.get(owner, ()):
            if self._count >= MAX_RECONCILIATIONS:
                self._forget_oldest()
            self._count += 1
        rows = self.waiting.setdefault(owner, {})
        rows[name] = rows.get(name, 0.0) + units

    def _forget_oldest(self) -> None:
        rows = self.waiting.pop(next(iter(self.waiting)))
        self._count -= len(rows)

    def take(self) -> list[tuple[int, bytes]]:
        """Return the messages of all that waits, each owner's together; nothing waits any more."""
        out = [
            (owner, message)
            for owner, rows in self.waiting.items()
            for message in encode_reconciliations(list(rows.items()))
        ]
        self.waiting.clear()
        self._count = 0
        return out
