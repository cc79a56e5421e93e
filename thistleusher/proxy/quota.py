"""The proxy's part in the tenants' rate limits: contact with the counter, and local limits while it does not answer.

Each request is charged against its tenant's central count before it is forwarded, and the counter's verdict decides.
After `VERDICT_TIMEOUT_S` without a verdict, this proxy's reserve may admit the request; otherwise the request keeps
waiting. After `LOCAL_QUOTA_FROM_S` without an echo, this proxy uses its share: a token bucket per tenant that refills
at the share of the rate. The counter deducts that share from what it admits centrally during this time.

A bucket holds whole requests. `common.quota_shares` determines their number so that the sum over all proxies is within
the limit for any number of proxies. Many proxies hold nothing of a small tenant's limit, and reject its requests while
they are out of contact with the counter.

The quota never fails open: without a share, or later than `LOCAL_QUOTA_UNTIL_S` after the last echo, nothing is
admitted.

Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_shares import NO_RESERVE, ReserveLimits, ShareInterval, reserve_limits
from thistleusher.common.quota_timing import (
    ECHO_TIMEOUT_S,
    HEARTBEAT_S,
    LOCAL_QUOTA_FROM_S,
    LOCAL_QUOTA_UNTIL_S,
    RESERVE_FILL_S,
    STATUS_REPORT_S,
)


class RateLimit(NamedTuple):
    """A tenant's limit; a rate of 0 means unlimited."""

    rate_per_s: float
    burst: float


NO_LIMIT = RateLimit(0.0, 0.0)


class Echo(NamedTuple):
    """The newest echo of a heartbeat: the counter that sent it, and the counter's time of sending."""

    counter: str
    counter_time: float


class HeartbeatScope(Enum):
    """The recipients of a heartbeat."""

    COUNTER = "counter"
    ALL_REGISTRIES = "all registries"  # a full heartbeat: `ProxyStatusReport`


@dataclass(slots=True)
class TokenBucket:
    """Requests that this proxy may still admit of a tenant's limit; `level` is valid at `updated_at`."""

    level: float
    updated_at: float

    def refill(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Add the requests accrued since the last refill, up to `capacity`."""
        self.level = min(capacity, self.level + max(0.0, now - self.updated_at) * rate_per_s)
        self.updated_at = max(self.updated_at, now)


class LocalQuota:
    """The counter's echoes, this proxy's share, and the tenants' token buckets.

    Invariants: without contact to the counter, a bucket refills at this proxy's share of the rate. With contact, it
    fills up to this proxy's part of the reserve within `RESERVE_FILL_S`. It never holds more than `ReserveLimits`
    allows. The counter deducts the share of a proxy that has not been heard from before that proxy starts to spend it.
    """

    def __init__(self, now: float, bounds: Bounds, started_at: float | None = None) -> None:
        """`started_at`: start of this process, `now` if omitted.

        Buckets are empty at that time, as it is unknown what the previous incarnation on this machine has spent.
        """
        self.limits: dict[str, RateLimit] = {}
        self.bounds = bounds
        self.share = 0.0  # this proxy's share of every limit, as a fraction
        self.interval: ShareInterval | None = None  # position of the share among those of all proxies
        self.started_at = now if started_at is None else started_at
        self.echo: Echo | None = None
        self.echoed_sent_at = float("-inf")  # sending time of the newest heartbeat that was echoed
        self.next_heartbeat_at = now
        self.next_report_at = now  # time of the next full heartbeat, which goes to all registries
        self.buckets: dict[str, TokenBucket] = {}

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace all tenants' limits."""
        self.limits = dict(limits)
        for name in self.buckets.keys() - limits.keys():
            del self.buckets[name]

    def is_limited(self, tenant: str) -> bool:
        """Return whether a tenant has a limit."""
        return self.limits.get(tenant, NO_LIMIT)[0] > 0

    def heartbeat_due(self, now: float) -> HeartbeatScope | None:
        """Return the recipients of the heartbeat that is due, None if none is due; it counts as sent then.

        After `ECHO_TIMEOUT_S` without an echo all registries get one, as another registry may hold the counter's role.
        """
        echo_missed = now >= self.next_heartbeat_at and now - self.echoed_sent_at > ECHO_TIMEOUT_S
        report_due = now >= self.next_report_at or echo_missed
        if not report_due and now < self.next_heartbeat_at:
            return None
        self.next_heartbeat_at = now + HEARTBEAT_S
        if not report_due:
            return HeartbeatScope.COUNTER
        self.next_report_at = now + STATUS_REPORT_S
        return HeartbeatScope.ALL_REGISTRIES

    def record_echo(self, now: float, echo: Echo, sent_at: float, share: float) -> bool:
        """Record the echo of the heartbeat sent at `sent_at`, with this proxy's share; return whether it is accepted.

        An echo as old as `LOCAL_QUOTA_FROM_S` is rejected, as it may have been buffered while this process was paused.
        So is the echo of a heartbeat older than the newest one echoed, as it may come from a former counter.
        """
        if now - sent_at >= LOCAL_QUOTA_FROM_S or sent_at < self.echoed_sent_at:
            return False
        self.echo = echo
        self.share = share
        self.echoed_sent_at = sent_at
        return True

    def is_isolated(self, now: float) -> bool:
        """Return whether no echo has arrived for so long that this proxy admits requests by its own share."""
        return now - self.echoed_sent_at >= LOCAL_QUOTA_FROM_S

    def spend(self, now: float, tenant: str) -> bool:
        """Admit one request from the tenant's local bucket; return False if it holds less than one whole request."""
        limit = self.limits.get(tenant, NO_LIMIT)
        if limit.rate_per_s <= 0:
            return True
        if self.share <= 0 or now > self.echoed_sent_at + LOCAL_QUOTA_UNTIL_S:
            return False
        held = self._holding(tenant, limit)
        if held.isolated < 1:
            return False
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = TokenBucket(0.0, self.started_at)
        isolated_at = self.echoed_sent_at + LOCAL_QUOTA_FROM_S
        if bucket.updated_at < isolated_at:
            bucket.refill(min(now, isolated_at), held.reserve / RESERVE_FILL_S, held.reserve)
        if now >= isolated_at:
            bucket.refill(now, self.share * limit.rate_per_s, held.isolated)
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def _holding(self, tenant: str, limit: RateLimit) -> ReserveLimits:
        if self.interval is None:
            return NO_RESERVE
        return reserve_limits(self.interval, tenant, limit.rate_per_s, limit.burst, self.bounds)
