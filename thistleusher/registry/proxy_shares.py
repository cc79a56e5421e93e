"""The proxies' parts of all limits: who may spend alone, since when, and how much of the span it may have spent.

A share is persisted in the control state before it is handed out. It is deducted from what the count admits, second by
second, for as long as its proxy might go by it. Of the time before the start the worst is assumed, until all proxies
that may have admitted anything then have reported it.

Pure; seconds on the steady clock. The sum over all proxies is made once in `DEDUCTION_REFRESH_S`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from thistleusher.common.quota_timing import (
    CARRIED_S,
    DEDUCTION_REFRESH_S,
    FIRST_SHARES_PART,
    LATER_SHARE_OF_SMALLEST,
    LATER_SHARE_PART,
    SHARE_DEDUCTED_S,
    SHARE_FORGOTTEN_S,
    SHARE_GATHERING_S,
)

FORMER_INCARNATIONS = 4  # of each proxy that are remembered, so that a late message of one does not bring it back
NEVER = float("-inf")


@dataclass(slots=True)
class ProxyState:
    """What the counter knows of one proxy.

    `confirmed_at`: when the newest echo was sent that the proxy is known to have received. `echoed_at`: when it was
    sent the newest echo of all.
    """

    incarnation: str = ""
    share: float = 0.0
    confirmed_at: float = NEVER
    echoed_at: float = NEVER
    reported_incarnation: str | None = None  # whose report is taken in
    former_incarnations: deque[str] = field(default_factory=lambda: deque(maxlen=FORMER_INCARNATIONS))


class Deduction(NamedTuple):
    """The part of all limits that proxies could accrue alone, from one time to another."""

    start: float
    end: float
    part: float


class ReportKind(Enum):
    """A proxy's report: the first of its incarnation, that one again, or one of another incarnation."""

    FIRST = "first"
    REPEATED = "repeated"
    OF_FORMER_INCARNATION = "of a former incarnation"


class ProxyShares:
    """All proxies as one counter knows them."""

    def __init__(self, now: float, span_s: float) -> None:
        """`span_s`: the length of the spans over which the users' rule is judged."""
        self.started_at = now
        self.known_since = now  # from when on it is known what all proxies admitted
        self.span_s = span_s
        self.proxies: dict[str, ProxyState] = {}
        self.awaited: set[str] = set()  # that may have admitted something before and have not reported
        self.reported_since = NEVER  # from when on all that were awaited and have reported know it
        self.first_share_wanted_at: float | None = None
        self.deductions: deque[Deduction] = deque()
        self.deducted_part = 1.0  # at the last refresh
        self.deducted_s = span_s  # the sum of the parts over the present span, each for its time
        self.refreshed_at = now

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the shares that are persisted."""
        self.expect_reports(shares)
        for proxy_name, share in shares.items():
            self.proxies[proxy_name].share = share

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
        self.refresh(now)
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
        """Wait for the reports of proxies that have a share or are listed, but for those that were heard of before."""
        for proxy_name in proxy_names:
            if proxy_name not in self.proxies:
                self.proxies[proxy_name] = ProxyState()
                self.awaited.add(proxy_name)
                self.known_since = self.started_at

    def record_report(self, now: float, proxy_name: str, incarnation: str, covered_s: float) -> ReportKind:
        """Record that a proxy has reported what it admitted in the last `covered_s` seconds; return which report."""
        self.refresh(now)
        proxy = self.proxies.get(proxy_name)
        if proxy is None or proxy.incarnation != incarnation:
            return ReportKind.OF_FORMER_INCARNATION
        if proxy.reported_incarnation == incarnation:
            return ReportKind.REPEATED
        proxy.reported_incarnation = incarnation
        if proxy_name in self.awaited:  # a later incarnation's report cannot know more than this one
            self.awaited.remove(proxy_name)
            self.reported_since = max(self.reported_since, now - covered_s)
            if not self.awaited:
                self.known_since = min(self.started_at, self.reported_since)
        return ReportKind.FIRST

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

    def refresh(self, now: float) -> None:
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
