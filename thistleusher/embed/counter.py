"""An in-memory counter with the semantics of the counter service, for one process."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.events import Outcome

MIN_LIFETIME_S = 0.001  # lower limit of a count's lifetime
MAX_LIFETIME_S = 60.0  # upper limit of a count's lifetime


class MemoryCounter:
    """Adds to named counts that expire. The ingresses of one process may share it.

    `clock` returns Unix time in seconds. An add takes constant time; for a new name it takes time logarithmic in the
    number of names. The memory of an expired name is freed by a later add.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.counts: dict[int, tuple[float, float]] = {}  # by name: total and expiry time
        self.expirations: list[tuple[float, int]] = []  # heap of expiry times and names

    def add(self, name: int, amount: float, lifetime: float) -> float:
        """Add to a name's count, and return the new total. A new name expires after `lifetime` seconds, at most 60."""
        now = self.clock()
        while self.expirations and self.expirations[0][0] <= now:
            end, old = heapq.heappop(self.expirations)
            if old in self.counts and self.counts[old][1] <= end:
                del self.counts[old]
        total, expires_at = self.counts.get(name, (0.0, 0.0))
        if expires_at <= now:
            total = 0.0
            expires_at = now + min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, lifetime))
            heapq.heappush(self.expirations, (expires_at, name))
        self.counts[name] = (total + amount, expires_at)
        return total + amount

    def totals(self) -> dict[int, float]:
        """Return the total of each name that has not expired."""
        now = self.clock()
        return {name: total for name, (total, expires_at) in self.counts.items() if expires_at > now}


class MemoryCounterClient:
    """Counter port of one ingress backed by a memory counter; each add is answered synchronously."""

    def __init__(self, counter: MemoryCounter, on_reply: Callable[[events.CounterReply], None]) -> None:
        self.counter = counter
        self.on_reply = on_reply

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a name's count, and report the reply."""
        total = self.counter.add(name, amount, lifetime)
        self.on_reply(events.CounterReply(name, Outcome.OK, 0.0, total))

    def close(self) -> None:
        """Do nothing, since there is no connection."""
