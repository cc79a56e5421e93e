"""This ingress's side of the quotas: whom to ask, and what holds while nobody answers.

Each request is charged one against its tenant's one count before it is sent on. While the counter echoes, its word
decides. Without an echo for `ALONE_S` this ingress goes by its share: a store that refills at its part of the rate,
empty at first, as the window before may be spent. It never fails open: without a share, or `SHARE_S` after the last
echo, nothing is let in.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from roadspur.catalogue.shares import ALONE_S, HERE_S, SHARE_S


@dataclass(slots=True)
class Store:
    """What is left of a tenant's share here."""

    level: float
    at: float


class Quota:
    """Echoes, shares, and the stores of tenants."""

    def __init__(self, now: float) -> None:
        self.limits: dict[str, tuple[float, float]] = {}
        self.share = 0.0
        self.counter: Any = None  # who echoed last
        self.echo: list[Any] | None = None  # [who, its time] of the newest echo
        self.asked = float("-inf")  # when the beat was sent that was echoed last
        self.next_beat = now
        self.stores: dict[str, Store] = {}

    def follow(self, limits: Mapping[str, tuple[float, float]]) -> None:
        """Tenants' (rate, burst)."""
        self.limits = dict(limits)

    def limited(self, tenant: str) -> bool:
        """Whether a tenant has a limit at all."""
        limit = self.limits.get(tenant)
        return limit is not None and limit[0] > 0

    def beat(self, now: float) -> bool:
        """Whether a beat to the counter is due."""
        if now < self.next_beat:
            return False
        self.next_beat = now + HERE_S
        return True

    def echoed(self, now: float, by: str, at: float, their: float, share: float) -> None:
        """An echo of the beat sent `at`, by a counter at its time `their`."""
        if now - at >= ALONE_S:
            return  # too old to end being alone
        if self.alone(now):
            self.stores.clear()
        self.counter, self.echo, self.share = by, [by, their], share
        self.asked = max(self.asked, at)

    def alone(self, now: float) -> bool:
        """Whether the counter has been silent for so long that this ingress's share decides."""
        return now - self.asked >= ALONE_S

    def spend(self, now: float, tenant: str) -> bool:
        """Let one request in by this ingress's share, if it may decide and there is one left."""
        limit = self.limits.get(tenant)
        if limit is None or limit[0] <= 0:
            return True
        begun = self.asked + ALONE_S
        if now < begun or now > self.asked + SHARE_S or self.share <= 0:
            return False
        rate, burst = limit[0] * self.share, limit[1] * self.share
        store = self.stores.setdefault(tenant, Store(0.0, begun))
        store.level = min(max(1.0, burst), store.level + max(0.0, now - store.at) * rate)
        store.at = now
        if store.level < 1.0:
            return False
        store.level -= 1.0
        return True
