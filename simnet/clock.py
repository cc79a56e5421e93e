"""Virtual time: what is due, in order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], object]


class Clock:
    """Runs callbacks in the order of their times; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.after_each: Callback = lambda: None  # called after every callback
        self._due: list[tuple[float, int, Callback]] = []
        self._count = itertools.count()

    def at(self, when: float, callback: Callback) -> None:
        """Call back at a time, or now where that has passed."""
        heapq.heappush(self._due, (max(self.now, when), next(self._count), callback))

    def later(self, delay_s: float, callback: Callback) -> None:
        """Call back after a while."""
        self.at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Let time pass up to `until`."""
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
            self.after_each()
        self.now = max(self.now, until)
