"""This ingress's parts of two budgets that all ingresses share: retries, and requests to warming backends.

Retries: the rule allows `ratio` of a service's requests plus a slack, over all ingresses, in each window. An ingress
allows itself the ratio of the requests that it has taken itself, and an even part of the slack. So all ingresses
together stay within the rule, and none needs to know what the others see.

Slow start: the requests that a warming backend may get in a second are split evenly. Where a part would be below one,
only so many ingresses, chosen by a hash, may send at all.

An ingress that does not know how many there are assumes `ASSUMED_INGRESSES`. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import zlib
from collections import deque

ASSUMED_INGRESSES = 16  # their number, as long as the registry's list has named none
SAFETY = 0.8  # part that is used of the slack, and of what a warming backend may get
RATIO_USED = 0.75  # part that is used of the ratio
SLOW_START_WINDOW_S = 1.05  # a little over the second that the rule counts by


class RetryBudget:
    """Retries into one service: a sliding window that requests fill."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio * RATIO_USED
        self.slack = slack * SAFETY
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a new request for the service."""
        self.requests.append(now)
        self._expire(now)

    def allows(self, now: float, ingresses: int) -> bool:
        """Return whether one more retry is within this ingress's part, of so many ingresses."""
        self._expire(now)
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + self.slack / max(1, ingresses)

    def record_retry(self, now: float) -> None:
        """Count a retry that is sent."""
        self.retries.append(now)

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()


class SlowStartBudget:
    """Requests to warming backends, by backend."""

    def __init__(self, ingress: str, excess: float, slack: float) -> None:
        """`excess`, `slack`: factor and requests by which the rule lets the stated rate be passed."""
        self.ingress = ingress
        self.excess = excess
        self.slack = slack
        self.sent: dict[str, deque[float]] = {}

    def part(self, backend: str, rate_per_s: float, ingresses: list[str]) -> int:
        """Return how many requests a second this ingress may send to a backend that bears `rate_per_s`."""
        total = int((rate_per_s * self.excess + self.slack) * SAFETY)
        count = len(ingresses) or ASSUMED_INGRESSES
        if total >= count:
            return total // count
        order = sorted(ingresses, key=lambda name: zlib.crc32(f"{backend} {name}".encode()))
        return 1 if self.ingress in order[:total] else 0

    def allows(self, now: float, backend: str, rate_per_s: float, ingresses: list[str]) -> bool:
        """Return whether a request may be sent to the backend now."""
        times = self.sent.setdefault(backend, deque())
        while times and times[0] <= now - SLOW_START_WINDOW_S:
            times.popleft()
        return len(times) < self.part(backend, rate_per_s, ingresses)

    def record_sent(self, now: float, backend: str) -> None:
        """Count a request that is sent to a warming backend."""
        self.sent.setdefault(backend, deque()).append(now)

    def retain(self, backends: set[str]) -> None:
        """Forget all backends but these."""
        for name in self.sent.keys() - backends:
            del self.sent[name]
