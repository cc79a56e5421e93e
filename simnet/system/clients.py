"""Simulated clients, which send requests with random routes and tenants to proxies that are ready."""

from __future__ import annotations

import random

from simnet.clock import Clock
from simnet.system.process import ProcessScheduler
from simnet.system.proxy_process import ProxyProcess
from simnet.system.rules import Rules
from simnet.system.topology import DEADLINE_S, EFFECTFUL_ROUTE, LIMITED_TENANT, PURE_ROUTE, UNLIMITED_TENANT
from thistleusher.core.ports import Final

MEAN_REQUEST_INTERVAL_S = 0.06  # mean time between two requests to one proxy
EFFECTFUL_SHARE = 0.4  # fraction of requests on the route that is not idempotent
# Fractions of requests from the tenant with a quota: by default, while recovery is checked, and during a `HOT` fault.
USUAL_LIMITED_SHARE = 0.35
RECOVERY_LIMITED_SHARE = 0.1
HIGH_LIMITED_SHARE = 0.9
USUAL_LEAVE_SHARE = 0.05  # fraction of requests whose client disconnects within `MAX_LEAVE_DELAY_S`
HIGH_LEAVE_SHARE = 0.9  # the same fraction during a `CLIENTS_LEAVE` fault
MAX_LEAVE_DELAY_S = 0.3


class Clients:
    """All clients.

    `limited_share` is the fraction of requests from the tenant with a quota. `leave_share` is the fraction of requests
    whose client disconnects before it has an answer.
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
        """Create the clients.

        `leaving_rng` draws which clients disconnect, and when. It is separate from `rng` so that the other draws of a
        seed do not depend on `leave_share`.
        """
        self.limited_share = USUAL_LIMITED_SHARE
        self.leave_share = leave_share
        self._leaving_rng = leaving_rng
        self._clock = clock
        self._rng = rng
        self._rules = rules
        self._scheduler = scheduler

    def draw_request_interval(self) -> float:
        """Draw the time until the next request to a proxy, in seconds."""
        return self._rng.expovariate(1 / MEAN_REQUEST_INTERVAL_S)

    def request(self, proxy: ProxyProcess) -> None:
        """Send one request, unless the proxy is not ready: it would answer 503 to every request."""
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
            leave_delay_s = MAX_LEAVE_DELAY_S * self._leaving_rng.random()
            self._scheduler.later(proxy, leave_delay_s, lambda: self._leave(proxy, name, route))

    def _leave(self, proxy: ProxyProcess, name: str, route: str) -> None:
        """Close the client's connection; the proxy is notified at once."""
        if self._rules.client_left(name, route):
            proxy.driver.client_gone(name)
