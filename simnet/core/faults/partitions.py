"""Partitions of the network, in one direction or both, and resets of connections."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from simnet.core.cluster import CROSS_ZONE_S, SAME_ZONE_S
from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine

RESET_S = 0.1  # duration of a reset, as a fault
RESET_SHARE = 0.5  # fraction of a machine's connections that are reset
RECONNECT_S = 4 * (CROSS_ZONE_S + SAME_ZONE_S)  # delay from a reset to the next connection
RESTART_S = 0.3  # time for which a process is down in a restart


class PartitionFaults:
    """Each public method injects a fault, and returns False if it must be postponed."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def cut_machines(self, fault: Fault) -> bool:
        """Partition machines from all others."""
        machines = self._context.choose(fault)
        if not machines or not self._context.losses.allows(machines):
            return False
        self._context.record(fault, machines, fault.duration_s)
        others = [machine for machine in self._cluster.present() if machine not in machines]
        for machine in machines:
            self._context.losses.lose(machine, self._cluster.clock.now + fault.duration_s)
            self._cut_off(machine, others, fault)
            self._context.send_changes_to(fault, machine, 0.5 * fault.duration_s)
        if "seeds" in fault.how:
            self._cluster.change_seeds(machines)
        if "both" in fault.how:
            self._restart_both_sides(machines, others, fault)
        return True

    def cut_zone(self, fault: Fault) -> bool:
        """Partition the machines of a zone from all others."""
        if self._context.losses.strict and self._context.losses.lost():
            return False
        first = self._context.choose(fault)
        inside = [machine for machine in self._cluster.present() if first and machine.zone == first[0].zone]
        outside = [machine for machine in self._cluster.present() if machine not in inside]
        self._context.record(fault, inside, fault.duration_s)
        for machine in inside:
            self._context.losses.lose(machine, self._cluster.clock.now + fault.duration_s)
            self._cut_off(machine, outside, replace(fault, how=()))
        return True

    def cut_link(self, fault: Fault) -> bool:
        """Partition two machines from each other, in both directions or in one."""
        machines = self._context.choose(fault)
        others = [machine for machine in self._cluster.running() if machine not in machines]
        if not machines or not others or not self._context.losses.allows(machines):
            return False
        other = others[fault.lot % len(others)]
        self._context.record(fault, [machines[0], other], fault.duration_s)
        self._context.losses.lose(machines[0], self._cluster.clock.now + fault.duration_s)
        self._cut_off(machines[0], [other], fault)
        return True

    def reset_connections(self, fault: Fault) -> bool:
        """Reset a random subset of the connections of machines."""
        machines = self._context.choose(fault)
        self._context.record(fault, machines, RESET_S)
        for machine in machines:
            for other in self._cluster.present():
                if other is not machine and self._cluster.rng.random() < RESET_SHARE:
                    self._cluster.links.reset(machine.address, other.address)
                    self._cluster.links.reset(other.address, machine.address)
                    self._reconnect(machine, other, RECONNECT_S)
        return True

    def _cut_off(self, machine: Machine, others: Iterable[Machine], fault: Fault) -> None:
        both = "one_way" not in fault.how
        outgoing = "out" in fault.how or fault.lot % 2
        for other in others:
            sender, receiver = (machine, other) if outgoing else (other, machine)
            self._cluster.links.partition(sender.address, receiver.address, fault.duration_s, both=both)
            self._reconnect(sender, receiver, fault.duration_s)

    def _reconnect(self, a: Machine, b: Machine, after_s: float) -> None:
        """Reconnect two machines to each other after `after_s` seconds."""
        for one, other in ((a, b), (b, a)):
            self._cluster.clock.later(after_s, partial(self._cluster.connect, one, other))

    def _restart_both_sides(self, machines: Iterable[Machine], others: Iterable[Machine], fault: Fault) -> None:
        """Restart the machines that are partitioned, then the others."""
        first_s = 0.3 * fault.duration_s
        for machine in machines:
            self._cluster.clock.later(first_s, partial(self._context.end, machine, RESTART_S))
        for position, other in enumerate(others):
            self._cluster.clock.later(2 * first_s + 0.8 * position, partial(self._context.end, other, RESTART_S))
