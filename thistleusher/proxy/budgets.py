"""This ingress's parts of what all ingresses may do together: further tries, and requests to cold backends.

Further tries: the rule allows `ratio` of a service's requests and a slack, over all ingresses, in each window. An
ingress adds its ratio's part for each request that it takes and its even part of the slack; so the sum over the fleet
is bounded by the rule's own sum, whatever each sees. Cold backends: what one may get in a second is split evenly;
where a part would be under one, only so many ingresses, named by a hash, may send at all. An ingress that does not
know how many there are takes itself for one of `UNKNOWN`.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import zlib
from collections import deque

UNKNOWN = 16  # ingresses that are taken to be there as long as nobody has told
SAFETY = 0.8  # of the slack, and of what a cold backend may get, that is used
USED = 0.75  # of the ratio


class Tries:
    """Further tries into one service: a store that requests fill."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio, self.slack, self.window_s = ratio * USED, slack * SAFETY, window_s
        self.requests: deque[float] = deque()
        self.spent: deque[float] = deque()

    def came(self, now: float) -> None:
        """A request for the service was taken."""
        self.requests.append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.spent):
            while times and times[0] <= now - self.window_s:
                times.popleft()

    def may(self, now: float, ingresses: int) -> bool:
        """Whether one more further try is left."""
        self._forget(now)
        return len(self.spent) + 1 <= self.ratio * len(self.requests) + self.slack / max(1, ingresses)

    def spend(self, now: float) -> None:
        """One was made."""
        self.spent.append(now)


class Colds:
    """Requests to cold backends."""

    def __init__(self, me: str, excess: float, slack: float) -> None:
        self.me, self.excess, self.slack = me, excess, slack
        self.sent: dict[str, deque[float]] = {}

    def part(self, backend: str, per_s: float, ingresses: list[str]) -> int:
        """How many a second this ingress may send to a cold backend."""
        total = int((per_s * self.excess + self.slack) * SAFETY)
        count = len(ingresses) or UNKNOWN
        if total >= count:
            return total // count
        order = sorted(ingresses, key=lambda name: zlib.crc32(f"{backend} {name}".encode()))
        return 1 if self.me in order[:total] else 0

    def may(self, now: float, backend: str, per_s: float, ingresses: list[str]) -> bool:
        """Whether one may be sent now."""
        times = self.sent.setdefault(backend, deque())
        while times and times[0] <= now - 1.05:
            times.popleft()
        return len(times) < self.part(backend, per_s, ingresses)

    def spend(self, now: float, backend: str) -> None:
        """One was sent."""
        self.sent.setdefault(backend, deque()).append(now)

    def keep(self, backends: set[str]) -> None:
        """Forget all others."""
        for name in self.sent.keys() - backends:
            del self.sent[name]
