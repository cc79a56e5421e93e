"""A counter for one process: what the counter service does, without a service."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.events import Outcome


class MemoryCounter:
    """Adds to named counts that live for a while; may be shared by the ingresses of one process.

    `clock` gives Unix time in seconds. Cost: constant an add, and the logarithm of the names that live for a
    new one; a name's memory is given back once it has lived its time.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.counts: dict[int, tuple[float, float]] = {}  # total, until when it lives
        self.ends: list[tuple[float, int]] = []

    def add(self, name: int, amount: float, lifetime: float) -> float:
        """The new total. A new name lives `lifetime` seconds, 60 at most."""
        now = self.clock()
        while self.ends and self.ends[0][0] <= now:
            until, old = heapq.heappop(self.ends)
            if old in self.counts and self.counts[old][1] <= until:
                del self.counts[old]
        total, until = self.counts.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(60.0, max(0.001, lifetime))
            heapq.heappush(self.ends, (until, name))
        self.counts[name] = (total + amount, until)
        return total + amount

    def totals(self) -> dict[int, float]:
        """What stands in each name that lives."""
        now = self.clock()
        return {name: total for name, (total, until) in self.counts.items() if until > now}


class MemoryPort:
    """One ingress's way to a memory counter."""

    def __init__(self, counter: MemoryCounter, on_reply: Callable[[events.CounterReply], None]) -> None:
        self.counter, self.on_reply = counter, on_reply

    def add(self, name: int, amount: float, lifetime: float) -> None:
        self.on_reply(events.CounterReply(name, Outcome.OK, 0.0, self.counter.add(name, amount, lifetime)))

    def close(self) -> None:
        """Nothing to close."""
