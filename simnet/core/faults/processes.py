"""Faults of processes and whole machines: kills, power losses, restarts, freezes, and slow machines."""

from __future__ import annotations

from functools import partial

from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine

ZONE_RESTART_SPREAD_S = 1.5  # period in which the machines of a lost zone come back
MIN_RESTART_GAP_S = 0.3  # minimum time between two restarts if the tolerance does not limit them
CATCH_UP_MARGIN_S = 1.0  # margin on the time to catch up, between two restarts that the tolerance limits
RESTART_S = 1.0  # duration of a planned restart, as a fault


class ProcessFaults:
    """Each public method injects a fault, and returns False if it must be postponed."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def kill(self, fault: Fault) -> bool:
        """Kill processes, or let their machines lose power."""
        machines = self._context.choose(fault)
        if not self._context.losses.allows(machines):
            return False
        self._context.record(fault, machines, fault.duration_s)
        for machine in machines:
            self._context.end(machine, fault.duration_s, power="power" in fault.how)
            self._context.send_changes_to(fault, machine, fault.duration_s)
        return True

    def rolling_restart(self, fault: Fault) -> bool:
        """Terminate all processes, one after the other."""
        machines = sorted(self._cluster.running(), key=lambda machine: machine.address)
        if not self._context.losses.allows(machines[:1]):
            return False
        gap_s = max(MIN_RESTART_GAP_S, fault.duration_s)
        if self._context.losses.strict:
            gap_s = self._cluster.catch_up_s + CATCH_UP_MARGIN_S
        self._context.record(fault, machines, gap_s * len(machines))
        for position, machine in enumerate(machines):
            self._cluster.clock.later(gap_s * position, partial(self._terminate, machine))
        return True

    def _terminate(self, machine: Machine) -> None:
        self._context.losses.lose(machine, self._cluster.clock.now + RESTART_S)
        self._cluster.extend_fault_period(self._cluster.clock.now + RESTART_S)
        self._cluster.terminate(machine)

    def kill_simultaneously(self, fault: Fault) -> bool:
        """End all processes at once, by a kill or by a power loss."""
        self._context.end_all(fault, fault.duration_s, power="power" in fault.how)
        return True

    def power_off_all(self, fault: Fault) -> bool:
        """Let all machines lose power."""
        self._context.end_all(fault, fault.duration_s, power=True)
        return True

    def kill_all(self, fault: Fault) -> bool:
        """Kill all processes."""
        self._context.end_all(fault, fault.duration_s, power=False)
        return True

    def lose_zone(self, fault: Fault) -> bool:
        """Let the machines of a zone lose power."""
        first = self._context.choose(fault)
        machines = [m for m in self._cluster.running() if first and m.zone == first[0].zone]
        if self._context.losses.lost() - {machine.address for machine in machines}:
            return False
        self._context.record(fault, machines, fault.duration_s + ZONE_RESTART_SPREAD_S)
        for machine in machines:
            restart_s = fault.duration_s + ZONE_RESTART_SPREAD_S * self._cluster.rng.random()
            self._context.end(machine, restart_s, power=True)
        return True

    def freeze(self, fault: Fault) -> bool:
        """Freeze processes."""
        machines = self._context.choose(fault)
        if not self._context.losses.allows(machines):
            return False
        self._context.record(fault, machines, fault.duration_s)
        for machine in machines:
            machine.frozen_until = self._cluster.clock.now + fault.duration_s
            self._context.losses.lose(machine, machine.frozen_until)
        return True

    def slow(self, fault: Fault) -> bool:
        """Let machines take `SLOW_INPUT_S` for each input."""
        machines = self._context.choose(fault)
        if not self._context.losses.allows(machines):
            return False
        self._context.record(fault, machines, fault.duration_s)
        for machine in machines:
            machine.slow_until = self._cluster.clock.now + fault.duration_s
            self._context.losses.lose(machine, machine.slow_until)
        return True
