"""This ingress's side of the tenants' rate limits: when to contact the counter, and what holds while it is silent.

Each request is charged against its tenant's central count before it is sent on, and the count's verdict decides.
Without a verdict for `VERDICT_TIMEOUT_S` this ingress's reserve may admit the request; what it does not admit waits on.
Without an echo for `LOCAL_QUOTA_FROM_S` this ingress goes by its share: a token bucket for each tenant that refills at
the share of the rate, as the counter deducts that share meanwhile.

A bucket holds whole requests: `common.quota_shares` says how many, so that the sum over all ingresses holds at any
number of them. Many ingresses hold nothing of a small tenant's limit, and reject its requests out of contact.

It never fails open: without a share, or `LOCAL_QUOTA_UNTIL_S` after the last echo, nothing is admitted.

Pure; seconds on the steady clock.
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
    """A tenant's limit; a rate of 0 is no limit."""

    rate_per_s: float
    burst: float


NO_LIMIT = RateLimit(0.0, 0.0)


class Echo(NamedTuple):
    """The newest echo of a heartbeat: which counter sent it, and its time then."""

    counter: str
    counter_time: float


class HeartbeatScope(Enum):
    """To whom a heartbeat is due."""

    COUNTER = "counter"
    ALL_REGISTRIES = "all registries"  # a full heartbeat: `ProxyStatusReport`


@dataclass(slots=True)
class TokenBucket:
    """What is left of a tenant's share here, in requests, as of a time."""

    level: float
    updated_at: float

    def refill(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Bring the level up to date."""
        self.level = min(capacity, self.level + max(0.0, now - self.updated_at) * rate_per_s)
        self.updated_at = max(self.updated_at, now)


class LocalQuota:
    """The counter's echoes, this ingress's share, and the tenants' token buckets.

    Invariant: out of contact a bucket gains what this ingress's share accrues, in contact its part of the reserve in
    `RESERVE_FILL_S`, and it holds no more than `ReserveLimits` says. The counter takes the share of a silent ingress
    off its count before that ingress spends it.
    """

    def __init__(self, now: float, bounds: Bounds, started_at: float | None = None) -> None:
        """`started_at`: start of this process, if not `now`.

        Buckets are empty then: what the previous incarnation on this machine has spent is not known.
        """
        self.limits: dict[str, RateLimit] = {}
        self.bounds = bounds
        self.share = 0.0  # this ingress's part of all limits
        self.interval: ShareInterval | None = None  # where that part lies among those of all ingresses
        self.started_at = now if started_at is None else started_at
        self.echo: Echo | None = None
        self.echoed_sent_at = float("-inf")  # when the newest heartbeat that was echoed was sent
        self.next_heartbeat_at = now
        self.next_report_at = now  # of the full heartbeat, to all registries
        self.buckets: dict[str, TokenBucket] = {}

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace all tenants' limits."""
        self.limits = dict(limits)
        for name in self.buckets.keys() - limits.keys():
            del self.buckets[name]

    def is_limited(self, tenant: str) -> bool:
        """Return whether a tenant has a limit at all."""
        return self.limits.get(tenant, NO_LIMIT)[0] > 0

    def heartbeat_due(self, now: float) -> HeartbeatScope | None:
        """Return to whom a heartbeat is due now, and count it as sent.

        All registries get one after `ECHO_TIMEOUT_S` without an echo: another of them may hold the counter's role.
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
        """Take in the echo of the heartbeat sent at `sent_at`, with this ingress's share; return whether it counts.

        One that is as old as `LOCAL_QUOTA_FROM_S` does not: it may have lain here while this process stood still. Nor
        does one of an older heartbeat than the newest that was echoed: it may come from a former counter.
        """
        if now - sent_at >= LOCAL_QUOTA_FROM_S or sent_at < self.echoed_sent_at:
            return False
        self.echo = echo
        self.share = share
        self.echoed_sent_at = sent_at
        return True

    def is_isolated(self, now: float) -> bool:
        """Return whether the counter has been silent so long that this ingress spends its share of the counted part."""
        return now - self.echoed_sent_at >= LOCAL_QUOTA_FROM_S

    def spend(self, now: float, tenant: str) -> bool:
        """Admit one request from this ingress's own bucket; return False where less than one is in it."""
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
