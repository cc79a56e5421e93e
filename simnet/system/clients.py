"""Simulated clients: requests to proxies that are ready, each with a route and a tenant that are drawn."""

from __future__ import annotations

import random

from simnet.clock import Clock
from simnet.system.process import ProcessScheduler
from simnet.system.proxy_process import ProxyProcess
from simnet.system.rules import Rules
from simnet.system.topology import DEADLINE_S, EFFECTFUL_ROUTE, LIMITED_TENANT, PURE_ROUTE, UNLIMITED_TENANT
from thistleusher.core.ports import Final

INTERVAL_S = 0.06  # between requests at one proxy, on average
EFFECTFUL_SHARE = 0.4
USUAL_LIMITED_SHARE = 0.35
CALM_LIMITED_SHARE = 0.1
HOT_LIMITED_SHARE = 0.9
USUAL_LEAVE_SHARE = 0.05  # of requests whose client leaves before it has waited for `MAX_PATIENCE_S`
HASTY_LEAVE_SHARE = 0.9
MAX_PATIENCE_S = 0.3


class Clients:
    """All clients.

    `limited_share`: the share of requests that are the limited tenant's. `leave_share`: of those whose clients leave.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        rules: Rules,
        scheduler: ProcessScheduler,
        leaving_rng: random.Random,
        leave_share: float,
    ) -> None:
        """`leaving_rng`: who leaves is drawn apart, so that the other draws of a seed are the same if nobody does."""
        self.limited_share = USUAL_LIMITED_SHARE
        self.leave_share = leave_share
        self._leaving_rng = leaving_rng
        self._clock = clock
        self._rng = rng
        self._rules = rules
        self._scheduler = scheduler

    def next_in(self) -> float:
        """Draw the seconds until the next request at a proxy."""
        return self._rng.expovariate(1 / INTERVAL_S)

    def request(self, proxy: ProxyProcess) -> None:
        """Send one request; a proxy that is not ready answers 503 before anything else."""
        proxy.request_count += 1
        name = f"{proxy.machine}.{proxy.incarnation}.{proxy.request_count}"
        route = EFFECTFUL_ROUTE if self._rng.random() < EFFECTFUL_SHARE else PURE_ROUTE
        tenant = LIMITED_TENANT if self._rng.random() < self.limited_share else UNLIMITED_TENANT
        if not proxy.ready():
            return
        sent = self._clock.now

        def answered(final: Final) -> None:
            self._rules.request_answered(name, route, final, sent)

        proxy.take(name, route, tenant, DEADLINE_S, answered)
        if self._leaving_rng.random() < self.leave_share:
            patience_s = MAX_PATIENCE_S * self._leaving_rng.random()
            self._scheduler.later(proxy, patience_s, lambda: self._leave(proxy, name, route))

    def _leave(self, proxy: ProxyProcess, name: str, route: str) -> None:
        """Close a request's connection; the proxy knows of it from here on."""
        if self._rules.client_left(name, route):
            proxy.driver.client_gone(name)
