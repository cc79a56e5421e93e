"""This ingress's side of the tenants' rate limits: when to contact the counter, and what holds while it is silent.

Each request is charged against its tenant's central count before it is sent on. While the counter answers, its verdict
decides; what the count no longer grants, this ingress's standing share may. Without a verdict for `VERDICT_WAIT_S` the
standing share may admit the request; what it does not admit waits on. Without an echo for `LOCAL_QUOTA_FROM_S`, or
where the counter says that it does not count here (`DECIDE_LOCALLY`), this ingress may also spend its share of the
counted part: a token bucket that refills at its part of the rate, and is empty at first, as the window before may have
been spent.

It never fails open: without a share, or `LOCAL_QUOTA_UNTIL_S` after the last echo, nothing is admitted.

The standing bucket of a new incarnation fills from the start of its process on. It begins with this ingress's part of
half of the rule's slack: all incarnations that start at once have half of the slack together, and few tenants ask so
little that this is more than their previous incarnations left unspent while they were down.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from thistleusher.common.quota_timing import (
    COUNTED_PART,
    ECHO_MISSED_S,
    HEARTBEAT_S,
    LOCAL_QUOTA_FROM_S,
    LOCAL_QUOTA_UNTIL_S,
    STANDING_PART,
    STARTUP_SLACK_PART,
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

    Invariant: what the buckets admit stays within this ingress's share of each tenant's limit, whatever the counter
    and the network do. The counter takes the share of a silent ingress off its count before that ingress spends it.
    """

    def __init__(self, now: float, slack: float = 0.0, started_at: float | None = None) -> None:
        """`slack`: requests that the rule allows beyond its sum; `started_at`: start of this process, if not `now`.

        Standing buckets refill from that start on, not earlier: what the previous incarnation on this machine has spent
        of its share is not known.
        """
        self.limits: dict[str, RateLimit] = {}
        self.share = 0.0  # this ingress's part of all limits
        self.slack = slack
        self.started_at = now if started_at is None else started_at
        self.echo: Echo | None = None
        self.echoed_sent_at = float("-inf")  # when the newest heartbeat that was echoed was sent
        self.next_heartbeat_at = now
        self.next_report_at = now  # of the full heartbeat, to all registries
        self.standing_buckets: dict[str, TokenBucket] = {}
        self.isolated_buckets: dict[str, TokenBucket] = {}  # of the counted part, while not counted centrally

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace all tenants' limits."""
        self.limits = dict(limits)
        for buckets in (self.standing_buckets, self.isolated_buckets):
            for name in buckets.keys() - limits.keys():
                del buckets[name]

    def is_limited(self, tenant: str) -> bool:
        """Return whether a tenant has a limit at all."""
        return self.limits.get(tenant, NO_LIMIT)[0] > 0

    def heartbeat_due(self, now: float) -> HeartbeatScope | None:
        """Return to whom a heartbeat is due now, and count it as sent.

        All registries get one after `ECHO_MISSED_S` without an echo: another of them may hold the counter's role.
        """
        echo_missed = now >= self.next_heartbeat_at and now - self.echoed_sent_at > ECHO_MISSED_S
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

    def counted_centrally(self, tenant: str) -> None:
        """Stop spending the counted part from here on: the tenant's requests here are counted centrally again."""
        self.isolated_buckets.pop(tenant, None)

    def not_counted_centrally(self, now: float, tenant: str, since_s: float) -> None:
        """From here on also spend this ingress's share of the counted part, as it has accrued for `since_s` seconds.

        For so long the counter has neither counted this ingress's requests nor let others have that share.
        """
        self.isolated_buckets.setdefault(tenant, TokenBucket(0.0, now - since_s))

    def spend(self, now: float, tenant: str) -> bool:
        """Admit one request from this ingress's own share; return False where less than one is left of it."""
        rate_per_s, burst = self.limits.get(tenant, NO_LIMIT)
        if rate_per_s <= 0:
            return True
        if self.share <= 0 or now > self.echoed_sent_at + LOCAL_QUOTA_UNTIL_S:
            return False
        if self.is_isolated(now):
            self.isolated_buckets.setdefault(tenant, TokenBucket(0.0, self.echoed_sent_at + LOCAL_QUOTA_FROM_S))
        buckets = []
        for bucket, part in (
            (self.isolated_buckets.get(tenant), COUNTED_PART),
            (self._standing_bucket(tenant), STANDING_PART),
        ):
            if bucket is not None:
                bucket.refill(now, part * self.share * rate_per_s, max(1.0, part * self.share * burst))
                buckets.append(bucket)
        if sum(bucket.level for bucket in buckets) < 1.0:
            return False
        remaining = 1.0
        for bucket in buckets:
            taken = min(remaining, bucket.level)
            bucket.level -= taken
            remaining -= taken
        return True

    def _standing_bucket(self, tenant: str) -> TokenBucket:
        bucket = self.standing_buckets.get(tenant)
        if bucket is None:
            level = min(1.0, self.share * self.slack * STARTUP_SLACK_PART)
            bucket = self.standing_buckets[tenant] = TokenBucket(level, self.started_at)
        return bucket
