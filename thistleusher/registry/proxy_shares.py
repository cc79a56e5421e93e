"""Tracks the proxies' shares of all limits and deducts what out-of-contact proxies may admit by themselves.

A share is persisted in the control state before it is handed out. For as long as a proxy might use its share, the share
is deducted continuously from what the counter admits. For the time before the counter's start the worst case is
assumed, until all proxies that may have admitted requests then have reported them.

No I/O. Times are seconds on the steady clock. The sum over all proxies is computed once per `DEDUCTION_REFRESH_S`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from thistleusher.common.quota_timing import (
    DEDUCTION_REFRESH_S,
    FIRST_SHARES_FRACTION,
    ISOLATED_RESERVE_S,
    LATER_SHARE_MAX_FRACTION,
    LATER_SHARE_TO_SMALLEST_RATIO,
    SHARE_COLLECTION_S,
    SHARE_DEDUCTION_END_S,
    SHARE_DEDUCTION_START_S,
)

# Number of former incarnations kept per proxy, so that a late message does not make one of them current again.
MAX_FORMER_INCARNATIONS = 4
NEVER = float("-inf")


@dataclass(slots=True)
class ProxyState:
    """The counter's state for one proxy.

    `confirmed_at`: send time of the newest echo that the proxy is known to have received. `echoed_at`: send time of the
    newest echo, whether received or not.
    """

    incarnation: str = ""
    share: float = 0.0
    confirmed_at: float = NEVER
    echoed_at: float = NEVER
    reported_incarnation: str | None = None  # Incarnation whose admission report has been counted.
    former_incarnations: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS))


class Deduction(NamedTuple):
    """The share of all limits that proxies may have accrued on their own between two times."""

    start: float
    end: float
    total_share: float


class ReportKind(Enum):
    """Kind of a proxy's report: the first of its incarnation, a repetition, or one of another incarnation."""

    FIRST = "first"
    REPEATED = "repeated"
    OF_FORMER_INCARNATION = "of a former incarnation"


class ProxyShares:
    """The proxies known to one counter, and the deductions for their shares."""

    def __init__(self, now: float, span_s: float) -> None:
        """Create the state of a new counter; `span_s` is the length over which the quota rule is judged."""
        self.started_at = now
        self.admissions_known_since = now  # Start of the period for which the admissions of all proxies are known.
        self.span_s = span_s
        self.proxies: dict[str, ProxyState] = {}
        # Proxies that may have admitted requests before the start and have not reported them yet.
        self.awaited_reports: set[str] = set()
        self.reports_cover_from = NEVER  # Start of the period that the reports received from awaited proxies all cover.
        self.first_share_requested_at: float | None = None
        self.deductions: deque[Deduction] = deque()
        self.deducted_share = 1.0  # Deducted share at the last refresh.
        self.deducted_s = span_s  # Integral of the deducted share over the current span, in seconds.
        self.refreshed_at = now

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the persisted shares, by proxy."""
        self.expect_reports(shares)
        for proxy_name, share in shares.items():
            self.proxies[proxy_name].share = share

    def record_heartbeat(
        self,
        now: float,
        proxy_name: str,
        incarnation: str,
        echoed: float | None,
        uptime_without_echo: float | None = None,
    ) -> bool:
        """Record a heartbeat, which is echoed now; return False if it is of a former incarnation and thus ignored.

        `echoed`: send time, on this counter's clock, of the newest echo that the heartbeat's sender has received.
        `uptime_without_echo`: uptime of the sender in seconds if it has received no echo of any counter, else None.
        """
        self.refresh(now)
        proxy = self.proxies.setdefault(proxy_name, ProxyState())
        if incarnation in proxy.former_incarnations:
            return False
        if proxy.incarnation != incarnation:
            proxy.former_incarnations.append(proxy.incarnation)
            proxy.incarnation = incarnation
            if uptime_without_echo is not None:
                self._reverse_deduction(now, proxy, now - uptime_without_echo)
                proxy.confirmed_at = now  # Without an echo it spends nothing; it will soon confirm the one sent now.
            else:
                proxy.confirmed_at = NEVER
        proxy.echoed_at = now
        if echoed is not None and now - echoed < SHARE_DEDUCTION_START_S:
            proxy.confirmed_at = max(proxy.confirmed_at, echoed)
        return True

    # Admissions before the counter's start.

    def expect_reports(self, proxy_names: Iterable[str]) -> None:
        """Await the reports of proxies that have a share or are listed, except proxies that are already known."""
        for proxy_name in proxy_names:
            if proxy_name not in self.proxies:
                self.proxies[proxy_name] = ProxyState()
                self.awaited_reports.add(proxy_name)
                self.admissions_known_since = self.started_at

    def record_report(self, now: float, proxy_name: str, incarnation: str, covered_s: float) -> ReportKind:
        """Record a proxy's report of its admissions in the last `covered_s` seconds; return the report's kind."""
        self.refresh(now)
        proxy = self.proxies.get(proxy_name)
        if proxy is None or proxy.incarnation != incarnation:
            return ReportKind.OF_FORMER_INCARNATION
        if proxy.reported_incarnation == incarnation:
            return ReportKind.REPEATED
        proxy.reported_incarnation = incarnation
        if proxy_name in self.awaited_reports:  # The report of a later incarnation cannot cover more than this one.
            self.awaited_reports.remove(proxy_name)
            self.reports_cover_from = max(self.reports_cover_from, now - covered_s)
            if not self.awaited_reports:
                self.admissions_known_since = min(self.started_at, self.reports_cover_from)
        return ReportKind.FIRST

    # Shares.

    def new_shares(self, now: float) -> dict[str, float]:
        """Return shares to persist for proxies that have none; they take effect once `set_shares` gets them.

        The first proxies divide `FIRST_SHARES_FRACTION` evenly. Each later one gets slightly less than the smallest
        share, and at most `LATER_SHARE_MAX_FRACTION` of what is unassigned.
        """
        without_share = [
            proxy_name
            for proxy_name, proxy in self.proxies.items()
            if proxy.share <= 0 and now - proxy.confirmed_at < SHARE_DEDUCTION_START_S
        ]
        if not without_share:
            return {}
        if self.first_share_requested_at is None:
            self.first_share_requested_at = now
        assigned = sum(proxy.share for proxy in self.proxies.values())
        if assigned <= 0:
            if now - self.first_share_requested_at < SHARE_COLLECTION_S:
                return {}
            return dict.fromkeys(without_share, FIRST_SHARES_FRACTION / len(without_share))
        smallest = min(proxy.share for proxy in self.proxies.values() if proxy.share > 0)
        shares: dict[str, float] = {}
        for proxy_name in without_share:
            smallest = min(
                smallest * LATER_SHARE_TO_SMALLEST_RATIO, max(0.0, 1.0 - assigned) * LATER_SHARE_MAX_FRACTION
            )
            shares[proxy_name] = smallest
            assigned += smallest
        return shares

    def share_out_of_contact(self, now: float) -> float:
        """Return the total share of the proxies that may be using their shares now.

        A share is excluded `SHARE_DEDUCTION_END_S` after the last echo to its proxy, when it can no longer be in use.
        """
        total_share = 0.0
        for proxy in self.proxies.values():
            in_contact = proxy.confirmed_at >= self.started_at and now - proxy.confirmed_at < SHARE_DEDUCTION_START_S
            # An unconfirmed echo counts too: its proxy may use its share from then on.
            if not in_contact and now - max(proxy.echoed_at, self.started_at) < SHARE_DEDUCTION_END_S:
                total_share += proxy.share
        return min(1.0, total_share)

    def refresh(self, now: float) -> None:
        """Update the deductions if the last refresh was at least `DEDUCTION_REFRESH_S` ago."""
        elapsed_s = now - self.refreshed_at
        if elapsed_s < DEDUCTION_REFRESH_S:
            return
        before, self.deducted_share = self.deducted_share, self.share_out_of_contact(now)
        total_share = max(before, self.deducted_share)
        # No message was processed for this long, so every proxy may have been out of contact.
        if elapsed_s >= SHARE_DEDUCTION_START_S:
            total_share = min(1.0, sum(proxy.share for proxy in self.proxies.values()))
        self._deduct(Deduction(self.refreshed_at, now, total_share))
        self.refreshed_at = now
        horizon = now - self.span_s - ISOLATED_RESERVE_S
        while self.deductions and self.deductions[0].end <= horizon:
            self.deductions.popleft()
        accrued_s = sum((each.end - max(each.start, horizon)) * each.total_share for each in self.deductions)
        self.deducted_s = accrued_s + max(0.0, self.admissions_known_since - (now - self.span_s))

    def _reverse_deduction(self, now: float, proxy: ProxyState, since: float) -> None:
        """Reverse what was deducted for a proxy since its new incarnation started, as that one had no share to use."""
        if now - max(proxy.echoed_at, self.started_at) >= SHARE_DEDUCTION_END_S:
            return
        deducted_from = max(self.started_at, proxy.confirmed_at + SHARE_DEDUCTION_START_S) + DEDUCTION_REFRESH_S
        start = max(since, deducted_from)
        if start < self.refreshed_at:
            self.deductions.append(Deduction(start, self.refreshed_at, -proxy.share))

    def _deduct(self, deduction: Deduction) -> None:
        """Append a deduction, or extend the last one if it has the same share."""
        last = self.deductions[-1] if self.deductions else None
        if last is not None and last.total_share == deduction.total_share:
            self.deductions[-1] = last._replace(end=deduction.end)
        else:
            self.deductions.append(deduction)
