"""Simulated backends, and the attempts of proxies to forward requests to them.

A backend stops its work when the connection of the attempt is closed, as most real backends do.
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

REFUSED_SHARE = 0.01  # fraction of connections that a backend refuses
FULL_SHARE = 0.01  # fraction of requests that are rejected because the queue is full
LOST_SHARE = 0.3  # fraction of answers that are lost while `loses_answers` is set
WORK_S, WORK_SPREAD_S = 0.05, 0.15  # work time of a request: minimum, and range above it


class Backend:
    """One backend."""

    def __init__(self, number: int, zone: str, listed_from: float = 0.0) -> None:
        """Create a backend.

        `number` is unique and is never reused. `listed_from` is the time at which the platform's list first shows it.
        """
        self.number = number
        self.name = f"i{number}"
        self.zone = zone
        self.listed_from = listed_from
        self.is_removed = False
        self.draining_since: float | None = None  # time at which the platform's list first shows it as draining
        self.crashed = False
        self.loses_answers = False
        self.slowdown = 1.0  # factor on the work time of a request


class Work(Protocol):
    """The work of a backend on one request."""

    def is_in_progress(self) -> bool:
        """Return whether the backend works on the request now."""


class Observer(Protocol):
    """Receives a notification when a request arrives at a backend."""

    def request_arrived(self, name: str, route: str, tenant: str, backend: Backend, work: Work) -> None:
        """Handle the start of a backend's work on a request."""


class Backends:
    """All backends of the only service."""

    def __init__(self, clock: Clock, rng: random.Random, scheduler: ProcessScheduler, observer: Observer) -> None:
        self.by_name: dict[str, Backend] = {}  # includes removed backends
        for zone in BACKEND_ZONES:
            self.add(zone)
        self.observer = observer
        self.clock = clock
        self.rng = rng
        self.scheduler = scheduler

    def add(self, zone: str, listed_from: float = 0.0) -> None:
        """Add a backend, which the platform's list shows from the time `listed_from` on."""
        backend = Backend(len(self.by_name), zone, listed_from)
        self.by_name[backend.name] = backend

    def listed(self) -> list[Backend]:
        """Return the backends that the platform's list shows now, in its order."""
        return [b for b in self.by_name.values() if not b.is_removed and b.listed_from <= self.clock.now]

    def remove(self, backend: Backend) -> None:
        """Stop a backend and remove it from the platform's list."""
        backend.is_removed = backend.crashed = True


class Attempt:
    """One attempt to get an answer from a backend; the connection, the request or the answer may fail.

    `serves` returns whether a backend is on the proxy's list.
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
        self.may_have_run = False
        self._backends = backends
        self._proxy = proxy
        self._incarnation = proxy.incarnation
        self._request = request
        self._backend = backends.by_name[backend]
        self._serves = serves
        self._on_end = on_end
        self._ended = False
        self._work_until = 0.0  # when the backend completes its work, or stops because the connection was closed

    def start(self, timeout: float) -> None:
        """Send the request; the attempt fails if there is no answer within `timeout` seconds."""
        clock, backend = self._backends.clock, self._backend
        delay = one_way_delay(MACHINES[self._proxy.machine].zone, backend.zone)
        if not self._serves(backend.name):
            self._end_later(0.0, Outcome.MOOT)
        elif backend.crashed or self._backends.rng.random() < REFUSED_SHARE:
            self._end_later(2 * delay, Outcome.CONNECT_FAILED)
        else:
            self.may_have_run = True
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
        if rng.random() < FULL_SHARE:  # rejected, with a statement that it has not run
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
        """Return whether the backend works on the request now."""
        return self._backends.clock.now < self._work_until

    def expire(self) -> None:
        """End the attempt because of a time-out."""
        self._close(Outcome.TIMEOUT if self.may_have_run else Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """End the attempt because the backend does not answer."""
        self._close(Outcome.CANCELLED if self.may_have_run else Outcome.MOOT)

    def abandon(self) -> None:
        """End the attempt because its answer is no longer needed."""
        self.cancel()

    def _close(self, outcome: Outcome) -> None:
        """Close the connection of the attempt; the backend stops its work one network delay later."""
        delay = one_way_delay(MACHINES[self._proxy.machine].zone, self._backend.zone)
        self._work_until = min(self._work_until, self._backends.clock.now + delay)
        self._end(outcome)

    def _end_later(self, delay_s: float, outcome: Outcome) -> None:
        self._backends.clock.later(delay_s, lambda: self._end(outcome))

    def _end(self, outcome: Outcome) -> None:
        if not self._ended and self._proxy.incarnation == self._incarnation:
            self._ended = True
            self._backends.scheduler.run(self._proxy, lambda: self._on_end(AttemptResult(outcome)))
