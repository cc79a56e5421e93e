"""A counter for one process: it does what the counter service does, without a service."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.events import Outcome

MIN_LIFETIME_S = 0.001
MAX_LIFETIME_S = 60.0


class MemoryCounter:
    """Adds to named counts that expire; the ingresses of one process may share it.

    `clock` gives Unix time in seconds. An add costs constant time, and for a new name the logarithm of the number of
    names; the memory of a name is freed once it has expired.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.counts: dict[int, tuple[float, float]] = {}  # by name: total, and when it expires
        self.ends: list[tuple[float, int]] = []  # a heap: when a name expires, the name

    def add(self, name: int, amount: float, lifetime: float) -> float:
        """Add to a name, and return the new total. A new name expires after `lifetime` seconds, 60 at most."""
        now = self.clock()
        while self.ends and self.ends[0][0] <= now:
            end, old = heapq.heappop(self.ends)
            if old in self.counts and self.counts[old][1] <= end:
                del self.counts[old]
        total, expires_at = self.counts.get(name, (0.0, 0.0))
        if expires_at <= now:
            total = 0.0
            expires_at = now + min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, lifetime))
            heapq.heappush(self.ends, (expires_at, name))
        self.counts[name] = (total + amount, expires_at)
        return total + amount

    def totals(self) -> dict[int, float]:
        """Return the total of each name that has not expired."""
        now = self.clock()
        return {name: total for name, (total, expires_at) in self.counts.items() if expires_at > now}


class MemoryCounterClient:
    """One ingress's access to a memory counter; each add is answered at once."""

    def __init__(self, counter: MemoryCounter, on_reply: Callable[[events.CounterReply], None]) -> None:
        self.counter = counter
        self.on_reply = on_reply

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a name, and pass on the reply."""
        total = self.counter.add(name, amount, lifetime)
        self.on_reply(events.CounterReply(name, Outcome.OK, 0.0, total))

    def close(self) -> None:
        """Do nothing: there is no connection."""
