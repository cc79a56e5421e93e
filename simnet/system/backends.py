"""Simulated backends, and a proxy's attempts to have one of them work on a request.

A backend stops its work once the connection of an attempt ends, as most of the users' do.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from simnet.clock import Clock
from simnet.system.process import Process, ProcessScheduler
from simnet.system.topology import BACKEND_ZONES, MACHINES, one_way_delay
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult

REFUSED_SHARE = 0.01  # of connections that a backend refuses
FULL_SHARE = 0.01  # of requests that find its queue full
LOST_SHARE = 0.3  # of answers, while a backend loses them
WORK_S, WORK_SPREAD_S = 0.05, 0.15  # for a request: at least, and by how much it varies


class Backend:
    """One backend."""

    def __init__(self, number: int, zone: str, listed_from: float = 0.0) -> None:
        """Create a backend; `number` counts all that there were, `listed_from`: when the list first shows it."""
        self.number = number
        self.name = f"i{number}"
        self.zone = zone
        self.listed_from = listed_from
        self.is_gone = False
        self.draining_since: float | None = None  # when the platform's list first shows it as draining
        self.crashed = False
        self.loses_answers = False
        self.slowdown = 1.0  # factor on the time for which it works on a request


class Work(Protocol):
    """A backend's work on one request."""

    def is_in_progress(self) -> bool:
        """Return whether the backend is at work now."""


class Observer(Protocol):
    """Whoever is to know which requests arrive where."""

    def request_arrived(self, name: str, route: str, tenant: str, backend: Backend, work: Work) -> None:
        """Take note that a backend begins to work on a request."""


class Backends:
    """All backends of the one service."""

    def __init__(self, clock: Clock, rng: random.Random, scheduler: ProcessScheduler, observer: Observer) -> None:
        self.by_name: dict[str, Backend] = {}  # also those that are gone
        for zone in BACKEND_ZONES:
            self.add(zone)
        self.observer = observer
        self.clock = clock
        self.rng = rng
        self.scheduler = scheduler

    def add(self, zone: str, listed_from: float = 0.0) -> None:
        """Add a backend, which the platform's list shows from some time on."""
        backend = Backend(len(self.by_name), zone, listed_from)
        self.by_name[backend.name] = backend

    def listed(self) -> list[Backend]:
        """Return the backends that the platform's list shows now, in its order."""
        return [b for b in self.by_name.values() if not b.is_gone and b.listed_from <= self.clock.now]

    def remove(self, backend: Backend) -> None:
        """End a backend; the list does not show it any more."""
        backend.is_gone = backend.crashed = True


class Attempt:
    """One attempt: a connection, the request, an answer; each may fail.

    `serves`: whether the proxy has the backend on its list.
    """

    def __init__(
        self,
        backends: Backends,
        proxy: Process,
        request: InFlightRequest,
        backend: str,
        serves: Callable[[str], bool],
        on_end: Callable[[AttemptResult], None],
    ) -> None:
        self.written = False
        self._backends = backends
        self._proxy = proxy
        self._incarnation = proxy.incarnation
        self._request = request
        self._backend = backends.by_name[backend]
        self._serves = serves
        self._on_end = on_end
        self._ended = False
        self._work_until = 0.0  # when the backend completes its work, or stops it as the connection has ended

    def start(self, timeout: float) -> None:
        """Send the request, to be answered within some seconds."""
        clock, backend = self._backends.clock, self._backend
        delay = one_way_delay(MACHINES[self._proxy.machine].zone, backend.zone)
        if not self._serves(backend.name):
            self._end_later(0.0, Outcome.MOOT)
        elif backend.crashed or self._backends.rng.random() < REFUSED_SHARE:
            self._end_later(2 * delay, Outcome.CONNECT_FAILED)
        else:
            self.written = True
            clock.later(delay, lambda: self._arrive(delay))
        clock.later(timeout, self._time_out)

    def _time_out(self) -> None:
        if not self._ended:
            self._close(Outcome.TIMEOUT)

    def _arrive(self, delay: float) -> None:
        backend, rng = self._backend, self._backends.rng
        if backend.crashed:
            self._end_later(delay, Outcome.RESET)
            return
        if rng.random() < FULL_SHARE:  # rejected, with proof that it never ran
            self._end_later(delay, Outcome.FULL)
            return
        route, tenant = self._request.context
        duration = backend.slowdown * (WORK_S + WORK_SPREAD_S * rng.random())
        if not self._ended:
            self._work_until = self._backends.clock.now + duration
        self._backends.observer.request_arrived(self._request.request.id, route, tenant, backend, self)

        def complete() -> None:
            broken = backend.crashed or (backend.loses_answers and rng.random() < LOST_SHARE)
            self._end_later(delay, Outcome.RESET if broken else Outcome.OK)

        self._backends.clock.later(duration, complete)

    def is_in_progress(self) -> bool:
        """Return whether the backend is at work now."""
        return self._backends.clock.now < self._work_until

    def expire(self) -> None:
        """End the attempt, as its time is up."""
        self._close(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """End the attempt, as its backend does not answer."""
        self._close(Outcome.CANCELLED if self.written else Outcome.MOOT)

    def abandon(self) -> None:
        """End the attempt, as nobody waits for its answer."""
        self.cancel()

    def _close(self, outcome: Outcome) -> None:
        """Close the attempt's connection: the backend stops its work as soon as that reaches it."""
        delay = one_way_delay(MACHINES[self._proxy.machine].zone, self._backend.zone)
        self._work_until = min(self._work_until, self._backends.clock.now + delay)
        self._end(outcome)

    def _end_later(self, delay_s: float, outcome: Outcome) -> None:
        self._backends.clock.later(delay_s, lambda: self._end(outcome))

    def _end(self, outcome: Outcome) -> None:
        if not self._ended and self._proxy.incarnation == self._incarnation:
            self._ended = True
            self._backends.scheduler.run(self._proxy, lambda: self._on_end(AttemptResult(outcome)))
