"""What was admitted of one tenant in the span of time that ends now, by slots.

Pure; seconds on the steady clock. A count leaves the span one slot late at most.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from thistleusher.common.quota_timing import SLOTS_PER_SPAN


@dataclass(slots=True)
class Slot:
    """What was admitted in one slot of time, by its number."""

    number: int
    count: float = 0.0


@dataclass(slots=True)
class SpanCount:
    """The slots of the present span, the oldest first, and their sum in `total`. `slot_s`: length of a slot."""

    slot_s: float
    slots: deque[Slot] = field(default_factory=deque)
    total: float = 0.0

    def add(self, at: float, amount: float) -> None:
        """Add what was admitted at a time, which may lie before what is counted already."""
        number = int(at // self.slot_s)
        position = len(self.slots)
        while position and self.slots[position - 1].number > number:
            position -= 1
        if not position or self.slots[position - 1].number != number:
            self.slots.insert(position, Slot(number))
            position += 1
        self.slots[position - 1].count += amount
        self.total += amount

    def take_back(self, at: float, amount: float) -> None:
        """Take back what was added for a time, as far as its slot is in the span."""
        number = int(at // self.slot_s)
        for slot in self.slots:
            if slot.number == number:
                returned = min(amount, slot.count)
                slot.count -= returned
                self.total -= returned

    def leave_behind(self, now: float) -> None:
        """Drop the slots that lie before the span that ends now."""
        oldest = int(now // self.slot_s) - SLOTS_PER_SPAN
        while self.slots and self.slots[0].number < oldest:
            self.total -= self.slots.popleft().count
