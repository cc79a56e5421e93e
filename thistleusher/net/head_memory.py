"""The memory of large request heads: a part of the budget for bodies, so that neither keeps the other out.

A field of a head takes many times its bytes, so a few hundred clients with heads that are within the limits, and that
never end, would take the memory of a process. All heads together hold at most `HEAD_SHARE` of the budget's capacity,
but for one that is larger and alone.

Pure. Cost: constant.
"""

from __future__ import annotations

from thistleusher.net.memory_budget import MemoryBudget, Reservation, Stage

HEAD_SHARE = 0.25  # Fraction of the budget's capacity that all heads may take.


class HeadReservation(Reservation):
    """The part of the budget that one head holds, or the trailers of a request."""

    __slots__ = ()

    def __init__(self, budget: MemoryBudget, stage: Stage) -> None:
        super().__init__(budget, stage, bool)

    def cover(self, size: int) -> bool:
        """Account for `size` bytes in all. Return False, and account for no more than before, if there is no room."""
        held = self.held
        others = self._budget.head_bytes - held
        if size <= held:
            return True
        if others and others + size > self._budget.capacity * HEAD_SHARE:
            return False
        if super().cover(size):
            return True
        self.resize(held)
        return False

    def _set_held(self, size: int) -> None:
        self._budget.head_bytes += size - self.held
        super()._set_held(size)
