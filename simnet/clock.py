"""Virtual time: what is due, in order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Events in the order of their times; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.count = itertools.count()
        self.after_each: Callable[[], object] = lambda: None

    def at(self, when: float, what: Callable[[], object]) -> None:
        """Have something happen at a time."""
        heapq.heappush(self.heap, (max(self.now, when), next(self.count), what))

    def later(self, delay: float, what: Callable[[], object]) -> None:
        """Have something happen after a while."""
        self.at(self.now + delay, what)

    def run(self, until: float) -> None:
        """Let time pass; the rules are checked after every step."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what = heapq.heappop(self.heap)
            what()
            self.after_each()
        self.now = max(self.now, until)
