"""Backend selection: the best backend of the nearest tier that has an available one.

`policy.fleet` chooses within a tier and ejects faulty backends, with one `Fleet` per service. This module adds the
registry's backend list, evacuated zones, misdirected addresses (status 421) and slow start.

Free of I/O; times are seconds on the monotonic clock. The fleets append their log lines to the decision module's
actions.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from thistleusher.common.node_settings import Bounds
from thistleusher.configuration.records import Service
from thistleusher.core import events
from thistleusher.core.backend_record import Backend
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.settings import Settings
from thistleusher.policy.fleet import Fleet
from thistleusher.proxy.budget_peers import BudgetPeers
from thistleusher.proxy.budgets import SlowStartBudget
from thistleusher.proxy.placement import ListedBackend, Locality, tiers
from thistleusher.proxy.requests import RequestState

SILENT_LATENCY_FACTOR = 8.0  # a backend counts as silent after this multiple of its outstanding requests' usual latency
LATE_LATENCY_FACTOR = 2.0  # an attempt at a silent backend is late after this multiple of its class's usual latency
OWN_ZONE_MAX_RATIO = 1.25  # a backend of this zone is preferred up to this multiple of the best one's latency ratio


class SilentAttempt(NamedTuple):
    """An attempt in flight at a backend that has stopped answering."""

    fleet: Fleet
    backend: Backend
    request: str


class BackendSelector:
    """Keeps all known backends and selects one for each request."""

    def __init__(
        self,
        proxy: str,
        locality: Locality,
        bounds: Bounds,
        settings: Settings,
        rng: random.Random,
        actions: list[Any],
        peers: BudgetPeers,
        cold_from: float = 0.0,
    ) -> None:
        """`peers`: the proxies among which the slow-start budgets are divided.

        `cold_from`: time until which warming backends may still count requests of an earlier process of this proxy.
        """
        self.locality = locality
        self.settings = settings
        self.rng = rng
        self.actions = actions
        self.peers = peers
        self.slow_start = SlowStartBudget(proxy, bounds.cold_excess, bounds.cold_slack, cold_from)
        self.services: Mapping[str, Service] = {}
        self.listed: dict[str, ListedBackend] = {}
        self.misdirected: set[str] = set()  # backends whose address answered 421, so it belongs to another backend
        self.fleets: dict[str, Fleet] = {}  # by service

    # Updates of the cluster state.

    def apply_services(self, now: float, services: Mapping[str, Service]) -> None:
        """Replace the services by those of the configuration in force."""
        self.services = services
        self._refresh_fleets(now)

    def apply_list(self, now: float, listed: dict[str, ListedBackend]) -> None:
        """Replace the backend list."""
        self.listed = listed
        self.misdirected &= listed.keys()
        self.slow_start.retain(set(listed))
        self._refresh_fleets(now)

    def apply_evacuations(self, now: float, zones: set[str]) -> None:
        """Set the evacuated zones; backends of a zone that is no longer evacuated go through slow start again."""
        restored = self.locality.evacuated_zones - zones
        for entry in self.listed.values():
            if entry.zone in restored:
                service = self.services.get(entry.service)
                warmup_s = service.warmup_s if service is not None else 0.0
                entry.warming_until = max(entry.warming_until, now + warmup_s)
        self.locality.evacuated_zones = zones

    def fleet_of(self, now: float, service: str) -> Fleet:
        """Return the fleet of a service, created on first use."""
        fleet = self.fleets.get(service)
        if fleet is None:
            fleet = self.fleets[service] = Fleet(self.settings, self.rng, self.actions, now)
        return fleet

    def _refresh_fleets(self, now: float) -> None:
        by_service: dict[str, list[BackendEntry]] = {}
        for listed in self.listed.values():
            phase = Phase.STOPPING if listed.draining else Phase.RUNNING
            entry = BackendEntry(listed.name, phase, float(listed.slots), zone=listed.zone)
            by_service.setdefault(listed.service, []).append(entry)
        for service in by_service.keys() | self.fleets.keys():
            update = events.ListUpdate(ListKind.WHOLE, 0, tuple(by_service.get(service, ())))
            self.fleet_of(now, service).apply_list_update(now, update)

    # Selection.

    def select(self, now: float, fleet: Fleet, request: RequestState) -> Backend | None:
        """Return the best backend of the nearest tier that has one; None if no backend can take the request now.

        Only if no tier has one, a request that may run only once may be the trial of an ejected backend.
        """
        fleet.set_class(request.request_class)
        accepting: list[list[Backend]] = []
        for tier in tiers(self.locality, self.listed, fleet.ready, request.allowed_regions):
            candidates = [backend for backend in tier if self._accepts(now, backend)]
            best = fleet.least_loaded(now, request, candidates) if candidates else None
            if best is not None:
                return self._prefer_own_zone(now, fleet, request, candidates, best)
            accepting.append(candidates)
        trials = (fleet.last_resort(now, request, candidates) for candidates in accepting)
        return next((backend for backend in trials if backend is not None), None)

    def _prefer_own_zone(
        self, now: float, fleet: Fleet, request: RequestState, candidates: list[Backend], best: Backend
    ) -> Backend:
        """Return a backend of this zone if it is about as good as the best one, as cross-zone traffic costs money."""
        zone = self.locality.zone
        if best.entry.zone == zone:
            return best
        local = fleet.least_loaded(now, request, [backend for backend in candidates if backend.entry.zone == zone])
        if local is None or local.work > best.work or local.errors > best.errors:
            return best
        return local if local.ratio <= OWN_ZONE_MAX_RATIO * best.ratio else best

    def _accepts(self, now: float, backend: Backend) -> bool:
        entry = self.listed[backend.entry.backend]
        if entry.name in self.misdirected:
            return False
        if now >= entry.warming_until:
            return True
        service = self.services.get(entry.service)
        if service is None or service.cold_per_s <= 0:
            return True
        return self.slow_start.allows(now, entry.name, service.cold_per_s, self.peers.dividing(now))

    # Attempts.

    def record_sent(self, now: float, fleet: Fleet, request: RequestState, backend: Backend) -> None:
        """Record an attempt that is being sent, also in the slow-start budget if the backend is warming up."""
        name = backend.entry.backend
        if now < self.listed[name].warming_until:
            self.slow_start.record_sent(now, name)
        fleet.record_attempt(now, backend, request)

    def record_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Update the backend's statistics with the end of an attempt."""
        for fleet in self.fleets.values():
            if event.backend in fleet.backends:
                fleet.record_outcome(now, event)

    def silent_attempts(self, now: float) -> Iterator[SilentAttempt]:
        """Eject the backends that have stopped answering and yield the attempts in flight at them."""
        for fleet in self.fleets.values():
            for backend in fleet.eject_silent(now, SILENT_LATENCY_FACTOR):
                for request in backend.outstanding:
                    yield SilentAttempt(fleet, backend, request)
