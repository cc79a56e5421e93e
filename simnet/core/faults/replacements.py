"""Replacements of machines, planned or not, and returns of removed machines."""

from __future__ import annotations

from functools import partial

from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine

SHORT_OVERLAP_S = 0.2  # short time from a planned successor's start to the termination of its predecessor


class ReplacementFaults:
    """Each public method injects a fault, and returns False if it must be postponed."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def replace_machine(self, fault: Fault) -> bool:
        """Replace a machine by one with an empty disk, planned or after its loss."""
        machines = self._context.choose(fault)[:1]
        if not machines or not self._context.losses.allows(machines, for_good=True):
            return False
        old = machines[0]
        self._context.record(fault, machines, fault.successor_s)
        zone = old.zone if fault.lot % 3 else None
        if "planned" in fault.how:
            self._replace_planned(fault, old, zone)
        else:
            self._context.losses.lose_for_good(old)
            self._cluster.remove(old)
            self._cluster.change_seeds()
            self._cluster.clock.later(fault.successor_s, partial(self._start_successor, old, zone))
        return True

    def _replace_planned(self, fault: Fault, old: Machine, zone: str | None) -> None:
        new = self._cluster.add(zone)
        self._context.losses.lose(old, self._cluster.clock.now)
        overlap_s = fault.successor_s if fault.lot % 2 else SHORT_OVERLAP_S
        self._cluster.extend_fault_period(self._cluster.clock.now + overlap_s)
        self._cluster.clock.later(overlap_s, partial(self._terminate, old, new))

    def _terminate(self, old: Machine, new: Machine) -> None:
        self._cluster.note(f"{old.address} leaves, {new.address} succeeds it")
        old.removed = True
        self._cluster.terminate(old, restart_s=None)
        self._cluster.change_seeds()

    def _start_successor(self, old: Machine, zone: str | None) -> None:
        self._cluster.add(zone)
        self._context.losses.successor_started(old)
        self._cluster.extend_fault_period(self._cluster.clock.now)

    def restart_removed(self, fault: Fault) -> bool:
        """Start a removed machine again, with its old disk."""
        removed = [machine for machine in self._cluster.machines.values() if machine.removed and machine.node is None]
        if self._context.losses.lost() or not removed:
            return False
        machine = removed[fault.lot % len(removed)]
        self._context.record(fault, [machine], 0.0)
        machine.removed = False
        self._cluster.start(machine)
        return True
