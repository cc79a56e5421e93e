"""The counter service: one global count for each tenant, in windows of burst / rate seconds, one burst a window.

Where that is longer than `MAX_WINDOW_S`, the window is that long and what it allows is the rate times that.

Guaranteed, over all proxies and their incarnations: in any span of `span_s` seconds (the length over which the users'
rule is judged) the count and what the proxies' shares accrue there come to the rate times the span plus one burst at
most. How: beside its window, a charge must find room in the span that ends now, from which `registry.proxy_shares`
deducts what proxies may have spent without the count.

Pure; seconds on the steady clock. Cost: one message and one answer a request; a few additions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.common.quota_shares import burst_in_reserve
from thistleusher.common.quota_timing import ALLOWED, OVER_LIMIT, RESERVE_FILLED_S, SLOTS_PER_SPAN
from thistleusher.registry.proxy_shares import ProxyShares, ReportKind
from thistleusher.registry.span_count import SpanCount

MAX_WINDOW_S = 60.0
NO_WINDOW = -1  # the number of no window
ROUNDING = 1e-9  # of sums that are compared with a limit


@dataclass(slots=True)
class Window:
    """One tenant's present window: when it began, its length in seconds, what it allows and what it has admitted.

    `allowance` is the tenant's burst (at least 1), or its rate times `MAX_WINDOW_S` where that is less. `in_span` is
    what was admitted in the present span, also in earlier windows.
    """

    start: float
    length: float
    allowance: float
    in_span: SpanCount
    number: int = 0
    count: float = 0.0


class CountResult(NamedTuple):
    """What became of a charge: the verdict, seconds until the tenant's next window, and the window's number."""

    verdict: int
    seconds: float
    window: int


class QuotaCounter:
    """All counts of one holder of the singleton role; the next holder begins with new ones."""

    def __init__(self, now: float, span_s: float = 5.0) -> None:
        """`span_s`: the length of the spans over which the users' rule is judged (`quota_window_s`)."""
        self.started_at = now
        self.span_s = span_s
        self.slot_s = span_s / SLOTS_PER_SPAN
        self.shares = ProxyShares(now, span_s)
        self.limits: dict[str, tuple[float, float]] = {}  # tenant -> (rate, burst)
        self.windows: dict[str, Window] = {}

    def configure(self, limits: Mapping[str, tuple[float, float]], shares: Mapping[str, float]) -> None:
        """Set the tenants' (rate, burst), and the proxies' shares that are persisted."""
        self.limits = dict(limits)
        self.shares.set_shares(shares)

    def record_admissions(
        self,
        now: float,
        proxy_name: str,
        incarnation: str,
        covered_s: float,
        admitted: Mapping[str, Iterable[tuple[float, int]]],
    ) -> bool:
        """Take in what a proxy admitted before this counter's first echo reached it; return whether it is known now.

        Complete for the last `covered_s` seconds, but for what is older than a span; `admitted` holds for each tenant
        how many seconds ago, and how many requests. Each incarnation's report counts once. False: another incarnation
        is the present one.
        """
        kind = self.shares.record_report(now, proxy_name, incarnation, covered_s)
        if kind is ReportKind.FIRST:
            for tenant, entries in admitted.items():
                self._add_admitted(now, tenant, entries)
        return kind is not ReportKind.OF_FORMER_INCARNATION

    def _add_admitted(self, now: float, tenant: str, entries: Iterable[tuple[float, int]]) -> None:
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return
        window = self._window(now, tenant, *limit)
        for age_s, count in entries:
            window.in_span.add(now - age_s, count)

    # Charges.

    def charge(self, now: float, tenant: str, amount: float) -> CountResult:
        """Charge a tenant's count. What is over the limit is not counted."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return CountResult(ALLOWED, 0.0, NO_WINDOW)
        self.shares.refresh(now)
        window = self._window(now, tenant, *limit)
        if window.count + amount > window.allowance * (1.0 - self.shares.deducted_part) + ROUNDING:
            return CountResult(OVER_LIMIT, window.start + window.length - now, window.number)
        if window.in_span.total + amount > self._span_limit(now, *limit) + ROUNDING:
            return CountResult(OVER_LIMIT, self.slot_s, window.number)
        window.count += amount
        window.in_span.add(now, amount)
        return CountResult(ALLOWED, window.start + window.length - now, window.number)

    def refund(self, now: float, tenant: str, amount: float, number: int, charged_at: float) -> None:
        """Take back a charge that was counted at a time, in the window of a number.

        Frees nothing in a window or span that the charge does not count in any more.
        """
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return
        window = self._window(now, tenant, *limit)
        if window.number == number:
            window.count = max(0.0, window.count - amount)
        window.in_span.take_back(charged_at, amount)

    def _span_limit(self, now: float, rate: float, burst: float) -> float:
        """Return what the count may have admitted in the span that ends now."""
        accrued = rate * (self.span_s - self.shares.deducted_s)
        if now - self.shares.known_since < self.span_s:  # the burst may have been admitted before
            return accrued
        # Proxies can spend a full reserve in a span, and what fills it again meanwhile.
        from_reserve = (1.0 + self.span_s / RESERVE_FILLED_S) * burst_in_reserve(rate, burst, self.span_s)
        return accrued + max(1.0, burst - from_reserve)

    def _window(self, now: float, tenant: str, rate: float, burst: float) -> Window:
        """Return a tenant's present window, by its present limit; one that is under way keeps its count."""
        length = min(MAX_WINDOW_S, max(burst, 1.0) / rate)
        window = self.windows.get(tenant)
        if window is None:
            window = self.windows[tenant] = Window(self.started_at, length, length * rate, SpanCount(self.slot_s))
        window.length = length
        window.allowance = length * rate
        if now >= window.start + length:
            window.start += (now - window.start) // length * length
            window.number += 1
            window.count = 0.0
        window.in_span.leave_behind(now)
        return window
