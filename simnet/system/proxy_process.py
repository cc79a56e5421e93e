"""A simulated proxy process: the production cluster view, decisions and driver, with simulated backends."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from simnet.system.backends import Attempt, Backends
from simnet.system.environment import Environment
from simnet.system.process import Process
from simnet.system.topology import BOUNDS, CORES, MACHINES, REGIONS
from thistleusher.common.incarnations import incarnation_name
from thistleusher.configuration.index import RouteMatch
from thistleusher.core import events
from thistleusher.core.driver import Driver
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, Final
from thistleusher.proxy.cluster_view import ClusterView
from thistleusher.proxy.commands import (
    ApplyConfiguration,
    Command,
    DeliverChargeAnswer,
    SendHandOver,
    SendHeartbeat,
    SendToRegistry,
    SetServing,
)
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.requests import ChargeTenant, RequestContext
from thistleusher.transport.messages import AnyMessage, HandOver, RingHeartbeat


class ProxyProcess(Process):
    """One proxy process. It also implements the driver's interface to backends."""

    def __init__(self, environment: Environment, backends: Backends, machine: str) -> None:
        super().__init__("proxy", machine)
        self.request_count = 0
        self.version = -1  # version of the configuration in force
        self._environment = environment
        self._backends = backends

    def now(self) -> float:
        """Return the reading of the machine's steady clock, in seconds."""
        return self._environment.steady_time(self.machine)

    def begin(self) -> None:
        """Start a new incarnation without any state."""
        zone, region = MACHINES[self.machine]
        now = self.now()
        rng = random.Random(self._environment.rng.random())
        self.decisions = Decisions(self.machine, zone, region, BOUNDS, rng, now, now)
        self.cluster_view = ClusterView(
            self.machine,
            incarnation_name(f"{self.machine}/{self.incarnation}", now),
            region,
            REGIONS.__getitem__,
            {"front": f"{self.machine}:80", "ip": self.machine, "zone": zone, "region": region},
            self.decisions,
            now,
        )
        scheduler = DriverScheduler(self, self._environment)
        self.driver = Driver(self.decisions.settings, self.decisions, self, scheduler, self.now)
        self.driver.handlers[ChargeTenant] = lambda action: self._execute(self.cluster_view.charge(self.now(), action))
        self.serving: set[str] = set()
        self.version = -1

    def ready(self) -> bool:
        """Return whether the proxy accepts requests."""
        return self.cluster_view.index is not None and self.cluster_view.has_backend_list and bool(self.serving)

    def tick(self) -> None:
        """Process the timeouts of the cluster view."""
        self._execute(self.cluster_view.tick(self.now(), self.ready()))

    def connected(self, listener: str) -> None:
        """Subscribe to the updates of the listener."""
        view = self.cluster_view
        request = view.subscribe_to_control() if listener.startswith("control") else view.subscribe_to_registry()
        self._environment.network.send(self, listener, request)

    def receive_reply(self, listener: str, message: AnyMessage) -> None:
        """Handle a message from a control process or a registry."""
        if listener.startswith("control"):
            outputs, reply = self.cluster_view.receive_from_control(self.now(), message)
        else:
            address = listener.partition("@")[2]
            outputs, reply = self.cluster_view.receive_from_registry(self.now(), address, message)
        self._execute(outputs)
        if reply is not None:
            self._environment.network.send(self, listener, reply)

    def receive_datagram(self, sender: str, message: AnyMessage) -> None:
        """Handle a ring heartbeat, or a copy of the configuration and the backend list."""
        if isinstance(message, RingHeartbeat):
            self._execute(self.cluster_view.receive_heartbeat(self.now(), message, sender))
        elif isinstance(message, HandOver):
            self._execute(self.cluster_view.receive_hand_over(self.now(), message))

    def _execute(self, outputs: Sequence[Command]) -> None:
        network = self._environment.network
        for out in outputs:
            if isinstance(out, SendToRegistry):
                for address in CORES:
                    if out.ip in ("", address):
                        network.send(self, f"registry@{address}", out.message)
            elif isinstance(out, SendHeartbeat | SendHandOver):
                network.send_datagram(self, out.ip, out.message)
            elif isinstance(out, ApplyConfiguration):
                self._apply(out)
            elif isinstance(out, SetServing):
                self.serving = out.names
            elif isinstance(out, DeliverChargeAnswer):
                answer: Any = out.answer
                self.driver.submit(answer)

    def _apply(self, command: ApplyConfiguration) -> None:
        version = command.configuration.config.number
        self._environment.rules.configuration_applied(self.name, self.version, version)
        self.version = version

    def take(self, name: str, route: str, tenant: str, deadline_s: float, on_final: Callable[[Final], None]) -> None:
        """Accept a client's request. The proxy must be ready."""
        index = self.cluster_view.index
        assert index is not None
        match = RouteMatch(route, index.config.routes[route])
        self.decisions.announce(name, RequestContext(match, tenant))
        self._environment.rules.request_sent(name, self)
        request = events.Request(name, route, "all", 0, deadline_s, 1.0)
        request_class = self.decisions.class_of(match)
        self.driver.accept(request, on_final, (route, tenant), request_class=request_class)

    # The driver's interface to backends.

    def prepare(self, held: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]) -> Attempt:
        """Return a new attempt, which is not started."""
        return Attempt(self._backends, self, held, backend, lambda name: name in self.serving, on_end)

    def probe(self, backend: str) -> None:
        """Do nothing: simulated backends have no health checks."""

    def close_idle(self, backend: str) -> None:
        """Do nothing: there are no idle connections."""


class DriverScheduler:
    """The timers of the driver. Timers of an earlier incarnation never fire."""

    def __init__(self, proxy: ProxyProcess, environment: Environment) -> None:
        self._proxy = proxy
        self._environment = environment

    def time(self) -> float:
        """Return the reading of the machine's steady clock, in seconds."""
        return self._proxy.now()

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback` after `delay` seconds."""
        timer = Timer()

        def fire() -> None:
            if not timer.cancelled:
                callback(*args)

        self._environment.scheduler.later(self._proxy, max(0.0, delay), fire)
        return timer

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback` at the time `when` of the machine's steady clock."""
        return self.call_later(when - self.time(), callback, *args)


class Timer:
    """A scheduled call that can be cancelled."""

    cancelled = False

    def cancel(self) -> None:
        """Cancel the call."""
        self.cancelled = True
