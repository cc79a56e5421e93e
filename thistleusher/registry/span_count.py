"""Sliding-window count of one tenant's admitted requests, in slots.

No I/O. Times are seconds on the steady clock. A count leaves the span at most one slot late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from thistleusher.common.quota_timing import SLOTS_PER_SPAN


@dataclass(slots=True)
class Slot:
    """The count of one slot; slot `number` starts at `number` times the slot length."""

    number: int
    count: float = 0.0


@dataclass(slots=True)
class SpanCount:
    """The slots of the current span, oldest first; `total` is their sum and `slot_s` the length of a slot."""

    slot_s: float
    slots: deque[Slot] = field(default_factory=deque)
    total: float = 0.0

    def add(self, at: float, amount: float) -> None:
        """Add an amount admitted at time `at`, which may be earlier than the newest slot."""
        number = int(at // self.slot_s)
        position = len(self.slots)
        while position and self.slots[position - 1].number > number:
            position -= 1
        if not position or self.slots[position - 1].number != number:
            self.slots.insert(position, Slot(number))
            position += 1
        self.slots[position - 1].count += amount
        self.total += amount

    def subtract(self, at: float, amount: float) -> None:
        """Subtract an amount that was added for time `at`, at most what its slot still holds."""
        number = int(at // self.slot_s)
        for slot in self.slots:
            if slot.number == number:
                returned = min(amount, slot.count)
                slot.count -= returned
                self.total -= returned

    def drop_expired(self, now: float) -> None:
        """Remove the slots that lie before the span that ends now."""
        oldest = int(now // self.slot_s) - SLOTS_PER_SPAN
        while self.slots and self.slots[0].number < oldest:
            self.total -= self.slots.popleft().count
