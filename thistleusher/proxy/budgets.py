"""This proxy's shares of two budgets common to all proxies: retries, and requests to backends in slow start.

Retries: in each window, all proxies together may retry `ratio` of a service's requests plus a slack. A proxy limits
itself to the ratio of the requests that it has received, plus an equal share of the slack. All proxies together thus
keep to the rule without exchanging their counts.

Slow start: the requests per second that a warming backend may get are divided equally among the proxies. If there are
fewer requests than proxies, a hash of backend and proxy selects the proxies that may send one request each.

`proxy.budget_peers` says which proxies divide the budgets. One without a part sends nothing to warming backends, and
retries by the ratio alone. Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

import zlib
from collections import deque

SAFETY_FACTOR = 0.8  # fraction used of the retry slack and of a warming backend's permitted rate
RATIO_SAFETY_FACTOR = 0.75  # fraction used of the permitted retry ratio
SLOW_START_WINDOW_S = 1.05  # slightly more than the one second over which the rule counts requests


class RetryBudget:
    """Retry budget of one service: a sliding window in which each new request adds to the budget."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio * RATIO_SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a new request for the service."""
        self.requests.append(now)
        self._expire(now)

    def allows(self, now: float, proxy_count: int) -> bool:
        """Return whether one more retry is within this proxy's share; a `proxy_count` of 0: no part of the slack."""
        self._expire(now)
        slack = self.slack / proxy_count if proxy_count else 0.0
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + slack

    def record_retry(self, now: float) -> None:
        """Record a retry that is being sent."""
        self.retries.append(now)

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()


class SlowStartBudget:
    """Budget of the requests that this proxy sends to warming backends, by backend."""

    def __init__(self, proxy: str, excess: float, slack: float, closed_until: float = 0.0) -> None:
        """`excess`, `slack`: factor on the configured rate, and requests added to it, that the rule tolerates.

        `closed_until`: time until which requests of an earlier process of this proxy may count.
        """
        self.proxy = proxy
        self.excess = excess
        self.slack = slack
        self.closed_until = closed_until
        self.sent: dict[str, deque[float]] = {}

    def share(self, backend: str, rate_per_s: float, proxies: list[str]) -> int:
        """Return the requests per second that this proxy may send to a backend with the limit `rate_per_s`."""
        if not proxies:
            return 0
        total = int((rate_per_s * self.excess + self.slack) * SAFETY_FACTOR)
        if total >= len(proxies):
            return total // len(proxies)
        order = sorted(proxies, key=lambda name: zlib.crc32(f"{backend} {name}".encode()))
        return 1 if self.proxy in order[:total] else 0

    def allows(self, now: float, backend: str, rate_per_s: float, proxies: list[str]) -> bool:
        """Return whether a request may be sent to the backend now."""
        times = self.sent.setdefault(backend, deque())
        while times and times[0] <= now - SLOW_START_WINDOW_S:
            times.popleft()
        return now >= self.closed_until and len(times) < self.share(backend, rate_per_s, proxies)

    def record_sent(self, now: float, backend: str) -> None:
        """Record a request that is being sent to a warming backend."""
        self.sent.setdefault(backend, deque()).append(now)

    def retain(self, backends: set[str]) -> None:
        """Drop the records of all backends other than `backends`."""
        for name in self.sent.keys() - backends:
            del self.sent[name]
