"""Simulated backends, and a proxy's attempts to have one work on a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from simnet.places import PLACES, way
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import Ended

if TYPE_CHECKING:
    from simnet.processes import ProxyProcess


class Backend:
    """One life of a backend."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.listed_draining: float | None = None  # since when the platform's list shows it
        self.drains = self.dead = False
        self.loses_answers = False


class Attempt:
    """One attempt: a connection, the request, an answer; each may fail."""

    def __init__(
        self, proxy: ProxyProcess, held: InFlightRequest, backend: str, on_end: Callable[[Ended], None]
    ) -> None:
        self.proxy, self.held, self.backend, self.on_end = proxy, held, backend, on_end
        self.written = self.over = False
        self.life = proxy.life

    def end(self, outcome: Outcome) -> None:
        if not self.over and self.proxy.life == self.life:
            self.over = True
            self.proxy.world.when_running(self.proxy, lambda: self.on_end(Ended(outcome)))

    def start(self, timeout: float) -> None:
        world = self.proxy.world
        backend = world.backends[self.backend]
        delay = way(PLACES[self.proxy.machine][0], backend.zone)
        if self.backend not in self.proxy.serving:
            world.clock.later(0.0, lambda: self.end(Outcome.MOOT))
        elif backend.dead or world.rng.random() < 0.01:
            world.clock.later(2 * delay, lambda: self.end(Outcome.CONNECT_FAILED))
        else:
            self.written = True
            world.clock.later(delay, lambda: self.arrive(backend, delay))
        world.clock.later(timeout, lambda: self.end(Outcome.TIMEOUT))

    def arrive(self, backend: Backend, delay: float) -> None:
        world = self.proxy.world
        if backend.dead:
            world.clock.later(delay, lambda: self.end(Outcome.RESET))
            return
        if world.rng.random() < 0.01:  # its queue is full: turned away, with proof
            world.clock.later(delay, lambda: self.end(Outcome.FULL))
            return
        route, tenant = self.held.context
        world.arrived(self.proxy, self.held.request.id, route, tenant, backend)
        took = 0.05 + 0.15 * world.rng.random()

        def done() -> None:
            broken = backend.dead or (backend.loses_answers and world.rng.random() < 0.3)
            world.clock.later(delay, lambda: self.end(Outcome.RESET if broken else Outcome.OK))

        world.clock.later(took, done)

    def expire(self) -> None:
        self.end(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        self.end(Outcome.CANCELLED if self.written else Outcome.MOOT)
