"""Virtual time: a queue of scheduled callbacks."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], object]


class Clock:
    """Runs callbacks in the order of their times; those with the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.after_each: Callback = lambda: None  # called after every callback
        self._due: list[tuple[float, int, Callback]] = []
        self._count = itertools.count()

    def at(self, when: float, callback: Callback) -> None:
        """Schedule `callback` for the time `when`, or for now if that has passed."""
        heapq.heappush(self._due, (max(self.now, when), next(self._count), callback))

    def later(self, delay_s: float, callback: Callback) -> None:
        """Schedule `callback` after `delay_s` seconds."""
        self.at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due until the time `until`, and advance the clock to it."""
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
            self.after_each()
        self.now = max(self.now, until)
