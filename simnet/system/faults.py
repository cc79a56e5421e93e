"""Faults of the simulated system.

They affect its processes, machines, disks and network, and also the platform, the backends and the clients.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from simnet.system.clients import HIGH_LEAVE_SHARE, HIGH_LIMITED_SHARE, USUAL_LEAVE_SHARE, USUAL_LIMITED_SHARE
from simnet.system.control_process import ControlProcess
from simnet.system.process import Process
from simnet.system.topology import CORES, MACHINES
from simnet.system.world import World


class FaultKind(StrEnum):
    """All kinds of faults. The order matters: the random generator of a seed selects kinds by their index."""

    KILL = "kill"
    POWER = "power"
    CORE_KILL = "core kill"
    CORE_POWER = "core power"
    CORE_WIPE = "core wipe"
    KILL_CORE = "kill core"
    KILL_ALL = "kill all"
    POWER_ALL = "power all"
    CUT = "cut"
    CORE_CUT = "core cut"
    CUT_ONE_WAY = "cut one way"
    REGION_CUT = "region cut"
    FREEZE = "freeze"
    CORE_FREEZE = "core freeze"
    STALL = "stall"
    PLATFORM = "platform"
    CRASH = "crash"
    ANSWERS_LOST = "answers lost"
    HOT = "hot"
    SLOW = "slow"
    CLIENTS_LEAVE = "clients leave"


CORE_MACHINE_KINDS = frozenset(
    {FaultKind.CORE_KILL, FaultKind.CORE_POWER, FaultKind.CORE_WIPE, FaultKind.KILL_CORE}
    | {FaultKind.CORE_CUT, FaultKind.CORE_FREEZE}
)  # kinds that affect a core machine instead of an arbitrary machine


SLOWDOWN = 8.0  # factor on the work time of all backends during a `SLOW` fault


class Fault(NamedTuple):
    """One fault: its start, its kind and its duration."""

    at: float
    kind: FaultKind
    duration_s: float


class FaultInjector:
    """Injects faults into a world."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._handlers: dict[FaultKind, Callable[[str, float], None]] = {
            FaultKind.KILL: self._kill,
            FaultKind.CORE_KILL: self._kill,
            FaultKind.POWER: self._power_off,
            FaultKind.CORE_POWER: self._power_off,
            FaultKind.CORE_WIPE: self._wipe,
            FaultKind.KILL_ALL: lambda machine, duration_s: self._end_all(duration_s),
            FaultKind.POWER_ALL: lambda machine, duration_s: self._end_all(duration_s, power_lost=True),
            FaultKind.KILL_CORE: lambda machine, duration_s: self._end_all(duration_s, core_only=True),
            FaultKind.CUT: self._cut,
            FaultKind.CORE_CUT: self._cut,
            FaultKind.CUT_ONE_WAY: lambda machine, duration_s: self._cut(machine, duration_s, one_way=True),
            FaultKind.REGION_CUT: self._cut_regions,
            FaultKind.STALL: self._stall_disk,
            FaultKind.FREEZE: self._freeze,
            FaultKind.CORE_FREEZE: self._freeze,
            FaultKind.PLATFORM: self._stop_platform,
            FaultKind.CRASH: self._crash_backend,
            FaultKind.ANSWERS_LOST: self._lose_answers,
            FaultKind.HOT: self._raise_limited_load,
            FaultKind.SLOW: self._slow_backends,
            FaultKind.CLIENTS_LEAVE: self._make_clients_leave,
        }

    def inject(self, kind: FaultKind, duration_s: float) -> None:
        """Inject one fault now; `duration_s` bounds its effect."""
        world = self._world
        world.rules.fault_until = max(world.rules.fault_until, world.clock.now + duration_s)
        # Both machines are drawn for every kind, so that the later draws of a seed do not depend on the kind.
        machine = world.rng.choice(sorted(MACHINES))
        core_machine = world.rng.choice(sorted(CORES))
        world.note(f"{kind} {core_machine if 'core' in kind else machine} for {duration_s:.2f}")
        on_core = kind in CORE_MACHINE_KINDS or kind is FaultKind.STALL
        self._handlers[kind](core_machine if on_core else machine, duration_s)

    def _processes_of(self, machine: str) -> list[Process]:
        return [process for process in self._world.processes.values() if process.machine == machine]

    # Processes and machines.

    def _kill(self, machine: str, duration_s: float) -> None:
        self._world.stop(self._world.rng.choice(self._processes_of(machine)), duration_s)

    def _power_off(self, machine: str, duration_s: float) -> None:
        for process in self._processes_of(machine):
            self._world.stop(process, duration_s, power_lost=True)

    def _wipe(self, machine: str, duration_s: float) -> None:
        for process in self._processes_of(machine):
            self._world.stop(process, duration_s, power_lost=True, disk_lost=True)

    def _end_all(self, duration_s: float, power_lost: bool = False, core_only: bool = False) -> None:
        for process in self._world.processes.values():
            if not core_only or process.machine in CORES:
                restart_s = duration_s * (0.5 + 0.5 * self._world.rng.random())
                self._world.stop(process, restart_s, power_lost=power_lost)

    def _freeze(self, machine: str, duration_s: float) -> None:
        for process in self._processes_of(machine):
            process.frozen_until = self._world.clock.now + duration_s

    def _stall_disk(self, machine: str, duration_s: float) -> None:
        process = self._world.processes[f"control@{machine}"]
        assert isinstance(process, ControlProcess)
        process.disk.stalled_until = self._world.clock.now + duration_s

    # Partitions.

    def _cut(self, machine: str, duration_s: float, one_way: bool = False) -> None:
        for other in MACHINES:
            if other != machine:
                self._world.network.partition(machine, other, duration_s)
                if not one_way:
                    self._world.network.partition(other, machine, duration_s)

    def _cut_regions(self, machine: str, duration_s: float) -> None:
        for sender, (_, sender_region) in MACHINES.items():
            for receiver, (_, receiver_region) in MACHINES.items():
                if sender_region != receiver_region:
                    self._world.network.partition(sender, receiver, duration_s)

    # Platform, backends and clients.

    def _stop_platform(self, machine: str, duration_s: float) -> None:
        self._world.platform.down_until = self._world.clock.now + duration_s

    def _crash_backend(self, machine: str, duration_s: float) -> None:
        backend = self._world.rng.choice(list(self._world.backends.by_name.values()))
        backend.crashed = True
        self._world.clock.later(duration_s, lambda: setattr(backend, "crashed", False))

    def _lose_answers(self, machine: str, duration_s: float) -> None:
        backend = self._world.rng.choice(list(self._world.backends.by_name.values()))
        backend.loses_answers = True
        self._world.clock.later(duration_s, lambda: setattr(backend, "loses_answers", False))

    def _raise_limited_load(self, machine: str, duration_s: float) -> None:
        clients = self._world.clients
        clients.limited_share = HIGH_LIMITED_SHARE
        self._world.clock.later(duration_s, lambda: setattr(clients, "limited_share", USUAL_LIMITED_SHARE))

    def _slow_backends(self, machine: str, duration_s: float) -> None:
        backends = list(self._world.backends.by_name.values())
        for backend in backends:
            backend.slowdown = SLOWDOWN
            self._world.clock.later(duration_s, partial(setattr, backend, "slowdown", 1.0))

    def _make_clients_leave(self, machine: str, duration_s: float) -> None:
        clients = self._world.clients
        clients.leave_share = HIGH_LEAVE_SHARE
        self._world.clock.later(duration_s, lambda: setattr(clients, "leave_share", USUAL_LEAVE_SHARE))
