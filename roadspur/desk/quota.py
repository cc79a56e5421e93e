"""This ingress's side of the quotas: whom to ask, and what holds while nobody answers.

Each request is charged one against its tenant's one count before it is sent on. While the counter answers, its word
decides; what the count no longer gives, this ingress's standing share may. Without a verdict for `PROMPT_S` the
standing share alone decides, and without an echo for `ALONE_S` this ingress's share of the counted part as well: a
store that refills at its part of the rate, empty at first, as the window before may be spent. It never fails open:
without a share, or `SHARE_S` after the last echo, nothing is let in.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from roadspur.catalogue.shares import ALONE_S, COUNTED, HERE_S, MISSED_S, SHARE_S, STANDING, TOLD_S


@dataclass(slots=True)
class Store:
    """What is left of a tenant's share here, in requests, as of a time."""

    level: float
    at: float

    def spend(self, now: float, rate: float, most: float) -> bool:
        """Take one, if there is one; refills at `rate` up to `most`."""
        self.level = min(most, self.level + max(0.0, now - self.at) * rate)
        self.at = max(self.at, now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class Quota:
    """Echoes, shares, and the stores of tenants."""

    def __init__(self, now: float) -> None:
        self.limits: dict[str, tuple[float, float]] = {}
        self.share = 0.0
        self.begun = now  # of the share: what this machine's last life spent of it is not known
        self.echo: list[object] | None = None  # [who, its time] of the newest echo
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
        full = now >= self.next_full or (now >= self.next_beat and now - self.asked > MISSED_S)
        if not full and now < self.next_beat:
            return False, False
        self.next_beat = now + HERE_S
        if full:
            self.next_full = now + TOLD_S
        return True, full

    def echoed(self, now: float, by: str, at: float, their: float, share: float) -> None:
        """An echo of the beat sent `at`, by a counter at its time `their`."""
        if now - at >= ALONE_S:
            return  # too old to end being alone
        if share > 0 and self.share <= 0:
            self.begun = now
        self.echo, self.share = [by, their], share
        self.asked = max(self.asked, at)

    def alone(self, now: float) -> bool:
        """Whether the counter has been silent for so long that this ingress's share of the counted part is its own."""
        return now - self.asked >= ALONE_S

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
        if self.share <= 0 or now > self.asked + SHARE_S:
            return False
        if self.alone(now):
            self.apart.setdefault(tenant, Store(0.0, self.asked + ALONE_S))
        store = self.apart.get(tenant)
        part = self.share * COUNTED
        if store is not None and store.spend(now, part * rate, max(1.0, part * burst)):
            return True
        part = self.share * STANDING
        return self.standing.setdefault(tenant, Store(0.0, self.begun)).spend(now, part * rate, max(1.0, part * burst))
