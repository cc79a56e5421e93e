"""The simulated world of one seed: processes, network, platform, backends, clients and operator.

The rules are checked after each step. Required rules are in `rules`. The rule LEASE comes from the design: a registry
sends nothing to subscribers without the lease on its singleton role, and at most one registry holds that lease.
"""

from __future__ import annotations

import random

from simnet.clock import Clock
from simnet.errors import RuleViolationError
from simnet.system.backends import Backends
from simnet.system.clients import USUAL_LEAVE_SHARE, Clients
from simnet.system.control_process import ControlProcess
from simnet.system.environment import Environment
from simnet.system.network import Network
from simnet.system.operator import Operator
from simnet.system.platform import LIST_LAG_S, Platform
from simnet.system.process import Process, ProcessScheduler
from simnet.system.proxy_process import ProxyProcess
from simnet.system.registry_process import RegistryProcess
from simnet.system.rules import Rules
from simnet.system.topology import BOUNDS, CORES, MACHINES, PROXIES

TICK_S = 0.06  # mean interval of process ticks
CONNECT_INTERVAL_S = 0.1  # interval of checks for missing connections
FIRST_REQUEST_S = 0.1  # delay from the start of a proxy to the first request
CHECK_INTERVAL_S = 0.5  # interval of checks for overdue answers and configurations
MIN_ACTIVE_BACKENDS = 3  # a backend is drained only if more than this number are not draining
REMOVAL_DELAY_S = 2.0  # a replaced backend stays up for this long after its time to drain
CLOCK_SPREAD_S = 1e5  # range of the origins of the machines' steady clocks


class World:
    """One simulated world. All random choices derive from one seed."""

    def __init__(self, seed: int, leave_share: float = USUAL_LEAVE_SHARE) -> None:
        """Create the world and start its processes; `leave_share` is the fraction of clients that disconnect early."""
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.after_each = self.check
        self.log: list[str] = []
        clock_origins = {machine: self.rng.random() * CLOCK_SPREAD_S for machine in MACHINES}
        self.scheduler = ProcessScheduler(self.clock)
        self.network = Network(self.clock, self.rng, self.scheduler)
        self.processes = self.network.processes
        self.rules = Rules(self.clock)
        self.backends = Backends(self.clock, self.rng, self.scheduler, self.rules)
        self.platform = Platform(self.clock, self.rng, self.backends)
        self.clients = Clients(
            self.clock, self.rng, self.rules, self.scheduler, random.Random(f"leaving clients {seed}"), leave_share
        )
        self._environment = Environment(self.clock, self.rng, self.scheduler, self.network, self.rules, clock_origins)
        self._control: dict[str, ControlProcess] = {}
        self._add_processes()
        self.operator = Operator(self.clock, self.rng, self.rules, self._control)

    def _add_processes(self) -> None:
        for machine in CORES:
            self._control[machine] = ControlProcess(self._environment, machine)
            self._add(self._control[machine])
            self._add(RegistryProcess(self._environment, self.platform, machine))
        for machine in PROXIES:
            self._add(ProxyProcess(self._environment, self.backends, machine))

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        self.start(process)

    def note(self, text: str) -> None:
        """Add a line to the log of the run."""
        self.log.append(f"{self.clock.now:7.3f} {text}")

    # Processes.

    def start(self, process: Process) -> None:
        """Start a process in a new incarnation."""
        process.incarnation += 1
        process.running = True
        process.connections = {}
        process.frozen_until = 0.0
        process.begin()
        incarnation = process.incarnation

        def tick() -> None:
            process.tick()
            self.scheduler.later(process, TICK_S * (0.9 + 0.2 * self.rng.random()), tick)

        def connect() -> None:
            if process.running and process.incarnation == incarnation:
                self.network.connect_missing(process)
                self.clock.later(CONNECT_INTERVAL_S, connect)

        self.scheduler.later(process, 0.0, tick)
        self.clock.later(0.01 * self.rng.random(), connect)
        if isinstance(process, ProxyProcess):
            self.scheduler.later(process, FIRST_REQUEST_S, lambda: self._request(process))

    def _request(self, proxy: ProxyProcess) -> None:
        self.clients.request(proxy)
        self.scheduler.later(proxy, self.clients.draw_request_interval(), lambda: self._request(proxy))

    def stop(self, process: Process, restart_s: float, power_lost: bool = False, disk_lost: bool = False) -> None:
        """End a process at once, close its connections, and start it again after `restart_s` seconds."""
        if not process.running:
            return
        process.running = False
        process.incarnation += 1
        if isinstance(process, ControlProcess):
            process.end(power_lost, disk_lost)
        self.network.disconnect_all(process)
        self.clock.later(restart_s, lambda: self.start(process) if not process.running else None)

    def drain_backend(self) -> None:
        """Drain a random backend, if more than `MIN_ACTIVE_BACKENDS` are not draining."""
        active = [backend for backend in self.backends.by_name.values() if backend.draining_since is None]
        if len(active) > MIN_ACTIVE_BACKENDS:
            self.rng.choice(active).draining_since = self.clock.now + LIST_LAG_S

    def replace_backend(self) -> None:
        """Add a backend, and drain another one, which is removed `REMOVAL_DELAY_S` after its time to drain."""
        active = [b for b in self.backends.listed() if b.draining_since is None]
        old = self.rng.choice(active)
        old.draining_since = self.clock.now + LIST_LAG_S
        self.backends.add(old.zone, self.clock.now + LIST_LAG_S)
        self.clock.later(LIST_LAG_S + BOUNDS.drain_ms / 1000 + REMOVAL_DELAY_S, lambda: self.backends.remove(old))

    # Rules.

    def check(self) -> None:
        """Check the rules after a step. Raises RuleViolationError if a violation was reported before this check."""
        if self.rules.violation:
            raise RuleViolationError(self.rules.violation)
        holders = [
            process.name
            for process in self.processes.values()
            if isinstance(process, RegistryProcess)
            and process.running
            and process.registry.holds_role
            and process.holds_lease()
        ]
        if len(holders) > 1:
            self.rules.report(f"LEASE: several registries hold the singleton role: {holders}")

    def check_overdue(self) -> None:
        """Report overdue answers and configurations, now and every `CHECK_INTERVAL_S` seconds."""
        self.rules.check_overdue()
        due = self.rules.version_due()
        for process in self.processes.values():
            if isinstance(process, ProxyProcess) and process.running and process.version < due:
                self.rules.report(f"CONFIG: {process.name} has version {process.version}, but {due} was acknowledged")
        self.clock.later(CHECK_INTERVAL_S, self.check_overdue)
