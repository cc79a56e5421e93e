"""The counter service: one global count a tenant, a window of burst over rate seconds, one burst a window.

Guaranteed, over all ingresses and lives: in one window about a burst is let in, by the count and by shares together
(`COUNTED` and `STANDING` of one, `thistleusher.common.quota_timing`). How: an ingress has a share that the store of
configuration keeps before it is handed out. While an ingress is not known to hear the counter, its share is taken off
the allowance, so that it may decide alone. It counts here again from the first window that begins after it is back. A
counter that begins anew begins no window for as long as one lasts: the one before it may have spent the present one.

Pure; seconds on the steady clock. Cost: one message and one answer a request; a few additions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from thistleusher.common.quota_timing import (
    ALLOWED,
    COUNTED_PART,
    DECIDE_LOCALLY,
    FIRST_SHARES_PART,
    LATER_SHARE_PART,
    OVER_LIMIT,
    SHARE_DEDUCTED_S,
    SHARE_FORGOTTEN_S,
    SHARE_GATHERING_S,
)

LONGEST_S = 60.0  # a window lasts at most
FORMER_INCARNATIONS = 4  # of each ingress that are remembered, so that a late message of one does not bring it back
NO_WINDOW = -1  # the number of no window


@dataclass(slots=True)
class Window:
    """One tenant's present window."""

    start: float
    length: float
    burst: float
    number: int = 0
    count: float = 0.0


@dataclass(slots=True)
class IngressState:
    """One ingress: its life, when the last echo was sent that it is known to have had, since when without a gap."""

    incarnation: str = ""
    share: float = 0.0
    confirmed: float = float("-inf")
    since: float = float("inf")
    former_incarnations: deque[str] = field(default_factory=lambda: deque(maxlen=FORMER_INCARNATIONS))


class CountResult(NamedTuple):
    """What became of a charge: the verdict, seconds, and the number of the window that it counts in.

    Seconds: until the tenant's next window, or with ALONE, for which the ingress was not counted.
    """

    verdict: int
    seconds: float
    window: int


class QuotaCounter:
    """All counts, by whoever does the duty."""

    def __init__(self, now: float) -> None:
        self.begun = now
        self.limits: dict[str, tuple[float, float]] = {}
        self.windows: dict[str, Window] = {}
        self.ingresses: dict[str, IngressState] = {}
        self.first: float | None = None  # when the first without a share asked

    def follow(self, limits: Mapping[str, tuple[float, float]], shares: Mapping[str, float]) -> None:
        """Tenants' (rate, burst), and the shares that are kept."""
        self.limits = dict(limits)
        for node, share in shares.items():
            self.ingresses.setdefault(node, IngressState()).share = share

    def here(self, now: float, node: str, incarnation: str, echoed: float | None) -> bool:
        """A beat; whether it counts, as it is not of a former life.

        `echoed`: when, by this counter's clock, the newest echo was sent that its sender has had.
        """
        ingress = self.ingresses.setdefault(node, IngressState())
        if incarnation in ingress.former_incarnations:
            return False
        if ingress.incarnation != incarnation:
            ingress.former_incarnations.append(ingress.incarnation)
            ingress.incarnation, ingress.since, ingress.confirmed = incarnation, float("inf"), float("-inf")
        if echoed is not None and now - echoed < SHARE_DEDUCTED_S:
            if now - ingress.confirmed >= SHARE_DEDUCTED_S:
                ingress.since = now
            ingress.confirmed = max(ingress.confirmed, echoed)
        return True

    def wanted(self, now: float) -> dict[str, float]:
        """Shares that are to be kept for ingresses that have none; they hold once `follow` brings them."""
        lacking = [n for n, i in self.ingresses.items() if i.share <= 0 and now - i.confirmed < SHARE_DEDUCTED_S]
        if not lacking:
            return {}
        if self.first is None:
            self.first = now
        given = sum(i.share for i in self.ingresses.values())
        if given <= 0:
            if now - self.first < SHARE_GATHERING_S:
                return {}
            return dict.fromkeys(lacking, FIRST_SHARES_PART / len(lacking))
        usual = min(i.share for i in self.ingresses.values() if i.share > 0)
        shares: dict[str, float] = {}
        for node in lacking:
            shares[node] = min(usual, max(0.0, 1.0 - given) * LATER_SHARE_PART)
            given += shares[node]
        return shares

    def part(self, now: float, start: float) -> float:
        """Of the allowance of a window that began at `start`, what the count may give out."""
        alone = 0.0
        for i in self.ingresses.values():
            quiet = now - max(i.confirmed, self.begun)
            if (quiet >= SHARE_DEDUCTED_S or i.since > start or i.confirmed < self.begun) and quiet < SHARE_FORGOTTEN_S:
                alone += i.share
        return max(0.0, 1.0 - alone)

    def add(self, now: float, node: str, tenant: str, amount: float) -> CountResult:
        """Charge a tenant's count. What is over the allowance is charged too, until it is given back."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return CountResult(ALLOWED, 0.0, NO_WINDOW)
        window = self._window(now, tenant, *limit)
        left = window.start + window.length - now
        ingress = self.ingresses.get(node)
        if ingress is None or ingress.since > window.start or window.start > now:
            uncounted = now - max(self.begun, ingress.since if ingress is not None else now)
            return CountResult(DECIDE_LOCALLY, uncounted, NO_WINDOW)
        window.count += amount
        within = window.count <= window.burst * COUNTED_PART * self.part(now, window.start)
        return CountResult(ALLOWED if within else OVER_LIMIT, left, window.number)

    def give_back(self, now: float, tenant: str, amount: float, number: int) -> None:
        """Take a charge back that counts in the window of a number.

        Nothing where that window is over: it would make room in the present one that nobody left.
        """
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return
        window = self._window(now, tenant, *limit)
        if window.number == number:
            window.count = max(0.0, window.count - amount)

    def _window(self, now: float, tenant: str, rate: float, burst: float) -> Window:
        length = min(LONGEST_S, max(burst, 1.0) / rate)
        allowance = length * rate
        window = self.windows.get(tenant)
        if window is None:
            window = self.windows[tenant] = Window(self.begun + length, length, allowance)
        if now >= window.start + window.length:
            steps = (now - window.start) // window.length
            window.number += 1
            window.start += steps * window.length
            window.length, window.burst, window.count = length, allowance, 0.0
            if now >= window.start + length:  # the new one is shorter
                window.start = now
        return window
