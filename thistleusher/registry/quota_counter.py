"""The counter service: one global count for each tenant, in windows of burst / rate seconds, one burst a window.

Where that is longer than `MAX_WINDOW_S`, the window is that long and what it allows is the rate times that.

Guaranteed, over all proxies and their incarnations: in any span of `span_s` seconds (the length over which the users'
rule is judged) the count and what the proxies' shares accrue there come to the rate times the span plus one burst at
most. How: beside its window, a charge must find room in the span that ends now. There the shares of proxies that may
decide alone are deducted, second by second, for as long as they might. A share is persisted in the control state before
it is handed out. Of a counter's time before its start the worst is assumed, the rate and a burst just before, until all
proxies have reported what they admitted then; what a proxy cannot know, as it started within the span, stays assumed.

Pure; seconds on the steady clock. Cost: one message and one answer a request; a few additions. The sum over all proxies
is made once in `DEDUCTION_REFRESH_S`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from thistleusher.common.quota_shares import burst_in_reserve
from thistleusher.common.quota_timing import (
    ALLOWED,
    CARRIED_S,
    DEDUCTION_REFRESH_S,
    FIRST_SHARES_PART,
    LATER_SHARE_OF_SMALLEST,
    LATER_SHARE_PART,
    OVER_LIMIT,
    RESERVE_FILLED_S,
    SHARE_DEDUCTED_S,
    SHARE_FORGOTTEN_S,
    SHARE_GATHERING_S,
    SLOTS_PER_SPAN,
)
from thistleusher.registry.span_count import SpanCount

MAX_WINDOW_S = 60.0
FORMER_INCARNATIONS = 4  # of each proxy that are remembered, so that a late message of one does not bring it back
NO_WINDOW = -1  # the number of no window
NEVER = float("-inf")
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


@dataclass(slots=True)
class ProxyState:
    """What the counter knows of one proxy.

    `confirmed_at`: when the newest echo was sent that the proxy is known to have received. `echoed_at`: when it was
    sent the newest echo of all. `known_since`: from when on it is known what the proxy admitted before this counter, if
    that `may_have_admitted` anything.
    """

    incarnation: str = ""
    share: float = 0.0
    confirmed_at: float = NEVER
    echoed_at: float = NEVER
    may_have_admitted: bool = False
    known_since: float = math.inf
    reported_incarnation: str | None = None  # whose report is taken in
    former_incarnations: deque[str] = field(default_factory=lambda: deque(maxlen=FORMER_INCARNATIONS))


class Deduction(NamedTuple):
    """The part of all limits that proxies could accrue alone, from one time to another."""

    start: float
    end: float
    part: float


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
        self.known_since = now  # from when on it is known what all proxies admitted
        self.span_s = span_s
        self.slot_s = span_s / SLOTS_PER_SPAN
        self.limits: dict[str, tuple[float, float]] = {}  # tenant -> (rate, burst)
        self.windows: dict[str, Window] = {}
        self.proxies: dict[str, ProxyState] = {}
        self.first_share_wanted_at: float | None = None
        self.deductions: deque[Deduction] = deque()
        self.deducted_part = 1.0  # at the last refresh
        self.deducted_s = span_s  # the sum of the parts over the present span, each for its time
        self.refreshed_at = now

    def configure(self, limits: Mapping[str, tuple[float, float]], shares: Mapping[str, float]) -> None:
        """Set the tenants' (rate, burst), and the proxies' shares that are persisted."""
        self.limits = dict(limits)
        for proxy_name, share in shares.items():
            self.proxies.setdefault(proxy_name, ProxyState(may_have_admitted=True)).share = share

    def record_heartbeat(
        self,
        now: float,
        proxy_name: str,
        incarnation: str,
        echoed: float | None,
        never_echoed_for: float | None = None,
    ) -> bool:
        """Record a heartbeat, which is echoed now; return whether it counts, as it is not of a former incarnation.

        `echoed`: when, on this counter's clock, the newest echo was sent that the heartbeat's sender has received.
        `never_echoed_for`: for how many seconds the sender has run, where it has had no echo of any counter.
        """
        self._refresh(now)
        proxy = self.proxies.setdefault(proxy_name, ProxyState())
        if incarnation in proxy.former_incarnations:
            return False
        if proxy.incarnation != incarnation:
            proxy.former_incarnations.append(proxy.incarnation)
            proxy.incarnation = incarnation
            if never_echoed_for is not None:
                self._return_unspent(now, proxy, now - never_echoed_for)
                proxy.confirmed_at = now  # without an echo it spends nothing; the one that follows is confirmed soon
            else:
                proxy.confirmed_at = NEVER
        proxy.echoed_at = now
        if echoed is not None and now - echoed < SHARE_DEDUCTED_S:
            proxy.confirmed_at = max(proxy.confirmed_at, echoed)
        return True

    # What was admitted before the start.

    def expect_reports(self, proxy_names: Iterable[str]) -> None:
        """Wait for the reports of these proxies too: they are listed, and may have none of the persisted shares."""
        for proxy_name in proxy_names:
            self.proxies.setdefault(proxy_name, ProxyState(may_have_admitted=True))

    def record_admissions(
        self,
        now: float,
        proxy_name: str,
        incarnation: str,
        covered_s: float,
        admitted: Mapping[str, Iterable[tuple[float, int]]],
    ) -> bool:
        """Take in what a proxy admitted before this counter's first echo reached it; return whether it is known now.

        Complete for the last `covered_s` seconds; `admitted` holds for each tenant how many seconds ago, and how many
        requests. Each incarnation's report counts once. False: another incarnation is the present one.
        """
        self._refresh(now)
        proxy = self.proxies.get(proxy_name)
        if proxy is None or proxy.incarnation != incarnation:
            return False
        if proxy.reported_incarnation == incarnation:
            return True
        proxy.reported_incarnation = incarnation
        proxy.known_since = min(proxy.known_since, now - covered_s)
        for tenant, entries in admitted.items():
            limit = self.limits.get(tenant)
            if limit is None or limit[0] <= 0:
                continue
            window = self._window(now, tenant, *limit)
            for age_s, count in entries:
                if age_s <= self.span_s + self.slot_s:
                    window.in_span.add(now - age_s, count)
        known = [proxy.known_since for proxy in self.proxies.values() if proxy.may_have_admitted]
        self.known_since = min(self.started_at, max(known, default=self.started_at))
        return True

    # Shares.

    def missing_shares(self, now: float) -> dict[str, float]:
        """Return shares to persist for proxies that have none; they hold once `configure` brings them back.

        The first proxies share `FIRST_SHARES_PART` evenly; a later one gets a little less than the smallest share, and
        at most `LATER_SHARE_PART` of what is left.
        """
        lacking = [
            proxy_name
            for proxy_name, proxy in self.proxies.items()
            if proxy.share <= 0 and now - proxy.confirmed_at < SHARE_DEDUCTED_S
        ]
        if not lacking:
            return {}
        if self.first_share_wanted_at is None:
            self.first_share_wanted_at = now
        assigned = sum(proxy.share for proxy in self.proxies.values())
        if assigned <= 0:
            if now - self.first_share_wanted_at < SHARE_GATHERING_S:
                return {}
            return dict.fromkeys(lacking, FIRST_SHARES_PART / len(lacking))
        smallest = min(proxy.share for proxy in self.proxies.values() if proxy.share > 0)
        shares: dict[str, float] = {}
        for proxy_name in lacking:
            smallest = min(smallest * LATER_SHARE_OF_SMALLEST, max(0.0, 1.0 - assigned) * LATER_SHARE_PART)
            shares[proxy_name] = smallest
            assigned += smallest
        return shares

    def part_out_of_contact(self, now: float) -> float:
        """Return the part of all limits that proxies might accrue now by their shares.

        A share that nobody can still be spending, `SHARE_FORGOTTEN_S` after the last echo, is not in it.
        """
        part = 0.0
        for proxy in self.proxies.values():
            in_contact = proxy.confirmed_at >= self.started_at and now - proxy.confirmed_at < SHARE_DEDUCTED_S
            # An echo that is not known to have arrived counts too: its proxy may go by its share from then on.
            if not in_contact and now - max(proxy.echoed_at, self.started_at) < SHARE_FORGOTTEN_S:
                part += proxy.share
        return min(1.0, part)

    def _refresh(self, now: float) -> None:
        """Bring the deductions up to date, unless they are new."""
        since = now - self.refreshed_at
        if since < DEDUCTION_REFRESH_S:
            return
        before, self.deducted_part = self.deducted_part, self.part_out_of_contact(now)
        part = max(before, self.deducted_part)
        if since >= SHARE_DEDUCTED_S:  # nothing was heard: all may have been out of contact meanwhile
            part = min(1.0, sum(proxy.share for proxy in self.proxies.values()))
        self._deduct(Deduction(self.refreshed_at, now, part))
        self.refreshed_at = now
        horizon = now - self.span_s - CARRIED_S
        while self.deductions and self.deductions[0].end <= horizon:
            self.deductions.popleft()
        accrued_s = sum((each.end - max(each.start, horizon)) * each.part for each in self.deductions)
        self.deducted_s = accrued_s + max(0.0, self.known_since - (now - self.span_s))

    def _return_unspent(self, now: float, proxy: ProxyState, since: float) -> None:
        """Take back what was deducted for a proxy since its new incarnation started: that one had no share to spend."""
        if now - max(proxy.echoed_at, self.started_at) >= SHARE_FORGOTTEN_S:
            return
        deducted_from = max(self.started_at, proxy.confirmed_at + SHARE_DEDUCTED_S) + DEDUCTION_REFRESH_S
        start = max(since, deducted_from)
        if start < self.refreshed_at:
            self.deductions.append(Deduction(start, self.refreshed_at, -proxy.share))

    def _deduct(self, deduction: Deduction) -> None:
        """Add a deduction, to the one before it where that is of the same part."""
        last = self.deductions[-1] if self.deductions else None
        if last is not None and last.part == deduction.part:
            self.deductions[-1] = last._replace(end=deduction.end)
        else:
            self.deductions.append(deduction)

    # Charges.

    def charge(self, now: float, tenant: str, amount: float) -> CountResult:
        """Charge a tenant's count. What is over the limit is not counted."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return CountResult(ALLOWED, 0.0, NO_WINDOW)
        self._refresh(now)
        window = self._window(now, tenant, *limit)
        if window.count + amount > window.allowance * (1.0 - self.deducted_part) + ROUNDING:
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
        accrued = rate * (self.span_s - self.deducted_s)
        if now - self.known_since < self.span_s:  # the burst may have been admitted before
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
