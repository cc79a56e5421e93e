"""This ingress's side of the quotas: whom to ask, and what holds while nobody answers.

Each request is charged one against its tenant's one count before it is sent on. While the counter answers, its word
decides; what the count no longer gives, this ingress's standing share may. Without a verdict for `PROMPT_S` the
standing share alone decides, and without an echo for `ALONE_S` this ingress's share of the counted part as well: a
store that refills at its part of the rate, empty at first, as the window before may be spent. It never fails open:
without a share, or `SHARE_S` after the last echo, nothing is let in.

A new life's standing share fills from its birth on, and begins with its part of half of the rule's slack: all lives
that begin at once have half of that together, and few tenants ask so little that this is more than their last
lives left unspent while they were down.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

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


@dataclass(slots=True)
class Store:
    """What is left of a tenant's share here, in requests, as of a time."""

    level: float
    at: float

    def fill(self, now: float, rate: float, most: float) -> float:
        """What is there now; refills at `rate` up to `most`."""
        self.level = min(most, self.level + max(0.0, now - self.at) * rate)
        self.at = max(self.at, now)
        return self.level


class Quota:
    """Echoes, shares, and the stores of tenants."""

    def __init__(self, now: float, slack: float = 0.0, born: float | None = None) -> None:
        """`slack`: requests that the rule allows beyond its sum; `born`: since when no earlier life spends (`now`)."""
        self.limits: dict[str, tuple[float, float]] = {}
        self.share = 0.0
        self.slack = slack
        self.born = now if born is None else born  # what this machine's last life spent of its share is not known
        self.echo: tuple[str, float] | None = None  # of the newest: who, its time
        self.asked = float("-inf")  # when the beat was sent that was echoed last
        self.next_beat = self.next_full = now
        self.standing: dict[str, Store] = {}
        self.apart: dict[str, Store] = {}  # of the counted part, while this ingress is not counted

    def follow(self, limits: Mapping[str, tuple[float, float]]) -> None:
        """Tenants' (rate, burst)."""
        self.limits = dict(limits)
        for stores in (self.standing, self.apart):
            for name in stores.keys() - limits.keys():
                del stores[name]

    def limited(self, tenant: str) -> bool:
        """Whether a tenant has a limit at all."""
        limit = self.limits.get(tenant)
        return limit is not None and limit[0] > 0

    def beat(self, now: float) -> tuple[bool, bool]:
        """Whether a beat to the counter is due; and whether to all registries, in full."""
        full = now >= self.next_full or (now >= self.next_beat and now - self.asked > ECHO_MISSED_S)
        if not full and now < self.next_beat:
            return False, False
        self.next_beat = now + HEARTBEAT_S
        if full:
            self.next_full = now + STATUS_REPORT_S
        return True, full

    def echoed(self, now: float, by: str, sent: float, their: float, share: float) -> bool:
        """An echo of the beat of a time, by a counter at its time `their`; whether it counts.

        One that is as old as `ALONE_S` does not: it may have lain here while this process stood still. Nor does one
        of an older beat than the newest that was echoed: it may be a former counter's.
        """
        if now - sent >= LOCAL_QUOTA_FROM_S or sent < self.asked:
            return False
        self.echo, self.share, self.asked = (by, their), share, sent
        return True

    def alone(self, now: float) -> bool:
        """Whether the counter has been silent for so long that this ingress's share of the counted part is its own."""
        return now - self.asked >= LOCAL_QUOTA_FROM_S

    def counted(self, tenant: str) -> None:
        """The counter counts this ingress's requests of a tenant in the present window."""
        self.apart.pop(tenant, None)

    def uncounted(self, now: float, tenant: str, since: float) -> None:
        """The counter has said that for `since` seconds it has not counted them, nor given their share to others."""
        self.apart.setdefault(tenant, Store(0.0, now - since))

    def spend(self, now: float, tenant: str) -> bool:
        """Let one request in by what is this ingress's own, if there is any left."""
        rate, burst = self.limits.get(tenant, (0.0, 0.0))
        if rate <= 0:
            return True
        if self.share <= 0 or now > self.asked + LOCAL_QUOTA_UNTIL_S:
            return False
        if self.alone(now):
            self.apart.setdefault(tenant, Store(0.0, self.asked + LOCAL_QUOTA_FROM_S))
        stores = []
        for kept, part in ((self.apart, COUNTED_PART), (self.standing, STANDING_PART)):
            if kept is self.standing and tenant not in kept:
                kept[tenant] = Store(min(1.0, self.share * self.slack * STARTUP_SLACK_PART), self.born)
            if (store := kept.get(tenant)) is not None:
                store.fill(now, part * self.share * rate, max(1.0, part * self.share * burst))
                stores.append(store)
        if sum(store.level for store in stores) < 1.0:
            return False
        owed = 1.0
        for store in stores:
            taken = min(owed, store.level)
            store.level, owed = store.level - taken, owed - taken
        return True
