"""The counter service: one global count per tenant, in windows of burst / rate seconds that each admit one burst.

A window is at most `MAX_WINDOW_S` long; a window of that length admits the rate times `MAX_WINDOW_S`.

Guarantee, over all proxies and their incarnations: in any span of `span_s` seconds (the length over which the quota
rule is judged), the count plus what accrues by the proxies' shares is at most the rate times the span plus one burst.
To this end, a charge must fit into its window and also into the span that ends now, from which
`registry.proxy_shares` deducts what proxies may have admitted without the counter.

No I/O. Times are seconds on the steady clock. Cost per request: one message, one answer and a few additions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.common.quota_shares import burst_in_reserve
from thistleusher.common.quota_timing import ALLOWED, OVER_LIMIT, RESERVE_FILL_S, SLOTS_PER_SPAN
from thistleusher.registry.proxy_shares import ProxyShares, ReportKind
from thistleusher.registry.span_count import SpanCount

MAX_WINDOW_S = 60.0
NO_WINDOW = -1  # Window number of a charge that no window counts, as its tenant has no limit.
ROUNDING_TOLERANCE = 1e-9  # Tolerance for rounding errors when a sum is compared with a limit.


@dataclass(slots=True)
class Window:
    """One tenant's current window: its start, its length in seconds, its allowance and what it has admitted.

    `allowance` is the tenant's burst (at least 1), or its rate times `MAX_WINDOW_S` if that is less. `in_span` counts
    what was admitted in the current span, including earlier windows.
    """

    start: float
    length: float
    allowance: float
    in_span: SpanCount
    number: int = 0
    count: float = 0.0


class CountResult(NamedTuple):
    """The result of a charge: verdict, seconds until the tenant should retry, and the number of the window.

    `seconds` is the time until the next window; for a charge that does not fit into the span, the length of a slot.
    """

    verdict: int
    seconds: float
    window: int


class QuotaCounter:
    """All counts of one holder of the singleton role; the next holder starts with new ones."""

    def __init__(self, now: float, span_s: float = 5.0) -> None:
        """Create empty counts; `span_s` is the length over which the quota rule is judged (`quota_window_s`)."""
        self.started_at = now
        self.span_s = span_s
        self.slot_s = span_s / SLOTS_PER_SPAN
        self.shares = ProxyShares(now, span_s)
        self.limits: dict[str, tuple[float, float]] = {}  # Tenant -> (rate, burst).
        self.windows: dict[str, Window] = {}

    def configure(self, limits: Mapping[str, tuple[float, float]], shares: Mapping[str, float]) -> None:
        """Set the tenants' limits as (rate, burst), and the proxies' persisted shares."""
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
        """Count what a proxy admitted before it received this counter's first echo; return whether it is counted now.

        The report is complete for the last `covered_s` seconds, except for what is older than a span. `admitted` holds
        (age in seconds, number of requests) for each tenant. Each incarnation's report counts once. Return False if
        the report is not from the proxy's current incarnation.
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
        """Charge a tenant's count; a charge that exceeds the limit is rejected and not counted."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return CountResult(ALLOWED, 0.0, NO_WINDOW)
        self.shares.refresh(now)
        window = self._window(now, tenant, *limit)
        if window.count + amount > window.allowance * (1.0 - self.shares.deducted_share) + ROUNDING_TOLERANCE:
            return CountResult(OVER_LIMIT, window.start + window.length - now, window.number)
        if window.in_span.total + amount > self._span_limit(now, *limit) + ROUNDING_TOLERANCE:
            return CountResult(OVER_LIMIT, self.slot_s, window.number)
        window.count += amount
        window.in_span.add(now, amount)
        return CountResult(ALLOWED, window.start + window.length - now, window.number)

    def refund(self, now: float, tenant: str, amount: float, number: int, charged_at: float) -> None:
        """Refund a charge that was counted at `charged_at` in the window `number`.

        A window or span that no longer includes the charge is not changed.
        """
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return
        window = self._window(now, tenant, *limit)
        if window.number == number:
            window.count = max(0.0, window.count - amount)
        window.in_span.subtract(charged_at, amount)

    def _span_limit(self, now: float, rate: float, burst: float) -> float:
        """Return the maximum that the counter may admit in the span that ends now."""
        accrued = rate * (self.span_s - self.shares.deducted_s)
        if now - self.shares.admissions_known_since < self.span_s:  # The burst may have been admitted before that time.
            return accrued
        # Within a span, proxies can spend a full reserve and also what refills it.
        from_reserve = (1.0 + self.span_s / RESERVE_FILL_S) * burst_in_reserve(rate, burst, self.span_s)
        return accrued + max(1.0, burst - from_reserve)

    def _window(self, now: float, tenant: str, rate: float, burst: float) -> Window:
        """Return a tenant's current window, with its current limit; a changed limit does not reset the count."""
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
        window.in_span.drop_expired(now)
        return window
