"""The counter service: one global count for each tenant, in windows of burst / rate seconds, one burst a window.

Where that is longer than `MAX_WINDOW_S`, the window is that long and what it allows is the rate times that.

Guaranteed, over all proxies and their incarnations: in one window about one burst is admitted, by the
count and by local shares together (`COUNTED_PART` and `STANDING_PART` of one, see `thistleusher.common.quota_timing`).
How: a proxy has a share of all tenants' limits, which is persisted in the control state before it is handed out.
While a proxy is not known to hear the counter, its share is deducted from what the count may admit, so that the
proxy may decide alone. Once it is back, that goes on until the tenant's next window begins; from then on it is
counted here. A new counter begins no window for as long as one lasts: the counter before it may have spent the present
one.

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

MAX_WINDOW_S = 60.0
FORMER_INCARNATIONS = 4  # of each proxy that are remembered, so that a late message of one does not bring it back
NO_WINDOW = -1  # the number of no window
NEVER = float("-inf")


@dataclass(slots=True)
class Window:
    """One tenant's present window: when it began, its length in seconds, what it allows and what was charged.

    `allowance` is the tenant's burst (at least 1), or its rate times `MAX_WINDOW_S` where that is less.
    """

    start: float
    length: float
    allowance: float
    number: int = 0
    count: float = 0.0


@dataclass(slots=True)
class ProxyState:
    """What the counter knows of one proxy.

    `confirmed_at`: when the newest echo was sent that the proxy is known to have received. `in_contact_since`: since
    when there has been no gap between such echoes; infinity where this incarnation has confirmed none to this counter.
    """

    incarnation: str = ""
    share: float = 0.0
    confirmed_at: float = NEVER
    in_contact_since: float = float("inf")
    former_incarnations: deque[str] = field(default_factory=lambda: deque(maxlen=FORMER_INCARNATIONS))


class CountResult(NamedTuple):
    """What became of a charge: the verdict, seconds, and the number of the window that it counts in.

    Seconds: until the tenant's next window. With DECIDE_LOCALLY: for how long the proxy has been in contact with
    this counter without being counted; 0 for an unknown one, -inf for one whose contact is not confirmed yet.
    """

    verdict: int
    seconds: float
    window: int


class QuotaCounter:
    """All counts of one holder of the singleton role; the next holder begins with new ones."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.limits: dict[str, tuple[float, float]] = {}  # tenant -> (rate, burst)
        self.windows: dict[str, Window] = {}
        self.proxies: dict[str, ProxyState] = {}
        self.first_share_wanted_at: float | None = None

    def configure(self, limits: Mapping[str, tuple[float, float]], shares: Mapping[str, float]) -> None:
        """Set the tenants' (rate, burst), and the proxies' shares that are persisted."""
        self.limits = dict(limits)
        for proxy_name, share in shares.items():
            self.proxies.setdefault(proxy_name, ProxyState()).share = share

    def record_heartbeat(self, now: float, proxy_name: str, incarnation: str, echoed: float | None) -> bool:
        """Record a heartbeat; return whether it counts, as it is not of a former incarnation.

        `echoed`: when, on this counter's clock, the newest echo was sent that the heartbeat's sender has received.
        """
        proxy = self.proxies.setdefault(proxy_name, ProxyState())
        if incarnation in proxy.former_incarnations:
            return False
        if proxy.incarnation != incarnation:
            proxy.former_incarnations.append(proxy.incarnation)
            proxy.incarnation = incarnation
            proxy.in_contact_since = float("inf")
            proxy.confirmed_at = NEVER
        if echoed is not None and now - echoed < SHARE_DEDUCTED_S:
            if now - proxy.confirmed_at >= SHARE_DEDUCTED_S:
                proxy.in_contact_since = now
            proxy.confirmed_at = max(proxy.confirmed_at, echoed)
        return True

    def missing_shares(self, now: float) -> dict[str, float]:
        """Return shares to persist for proxies that have none; they hold once `configure` brings them back.

        The first proxies share `FIRST_SHARES_PART` evenly; a later one gets as much as the smallest share, at most
        `LATER_SHARE_PART` of what is left.
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
            shares[proxy_name] = min(smallest, max(0.0, 1.0 - assigned) * LATER_SHARE_PART)
            assigned += shares[proxy_name]
        return shares

    def countable_part(self, now: float, start: float) -> float:
        """Return the part of the allowance that the count may admit in a window that began at `start`.

        The shares of proxies that may decide alone in this window are deducted. A share that nobody can still be
        spending, `SHARE_FORGOTTEN_S` after the last contact, is not.
        """
        deducted = 0.0
        for proxy in self.proxies.values():
            quiet = now - max(proxy.confirmed_at, self.started_at)
            out_of_contact = quiet >= SHARE_DEDUCTED_S
            counted_later = proxy.in_contact_since > start
            unheard = proxy.confirmed_at < self.started_at
            if (out_of_contact or counted_later or unheard) and quiet < SHARE_FORGOTTEN_S:
                deducted += proxy.share
        return max(0.0, 1.0 - deducted)

    def charge(self, now: float, proxy_name: str, tenant: str, amount: float) -> CountResult:
        """Charge a tenant's count. What is over the allowance is charged too, until it is refunded."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return CountResult(ALLOWED, 0.0, NO_WINDOW)
        window = self._window(now, tenant, *limit)
        remaining = window.start + window.length - now
        proxy = self.proxies.get(proxy_name)
        if proxy is None or proxy.in_contact_since > window.start or window.start > now:
            uncounted = now - max(self.started_at, proxy.in_contact_since if proxy is not None else now)
            return CountResult(DECIDE_LOCALLY, uncounted, NO_WINDOW)
        window.count += amount
        within = window.count <= window.allowance * COUNTED_PART * self.countable_part(now, window.start)
        return CountResult(ALLOWED if within else OVER_LIMIT, remaining, window.number)

    def refund(self, now: float, tenant: str, amount: float, number: int) -> None:
        """Take back a charge that counts in the window of a number.

        Does nothing where that window is over: it would free capacity in the present one that nobody gave up.
        """
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return
        window = self._window(now, tenant, *limit)
        if window.number == number:
            window.count = max(0.0, window.count - amount)

    def _window(self, now: float, tenant: str, rate: float, burst: float) -> Window:
        """Return a tenant's present window. A new counter's first one begins a whole length after the counter."""
        length = min(MAX_WINDOW_S, max(burst, 1.0) / rate)
        allowance = length * rate
        window = self.windows.get(tenant)
        if window is None:
            window = self.windows[tenant] = Window(self.started_at + length, length, allowance)
        if now >= window.start + window.length:
            steps = (now - window.start) // window.length
            window.number += 1
            window.start += steps * window.length
            window.length = length
            window.allowance = allowance
            window.count = 0.0
            if now >= window.start + length:  # the new one is shorter
                window.start = now
        return window
