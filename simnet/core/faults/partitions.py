"""Partitions of the network, in one direction or both, and resets of connections."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from simnet.core.cluster import FAR_S, NEAR_S
from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine

RESET_S = 0.1  # that a reset counts for
RESET_SHARE = 0.5  # of a machine's connections
RECONNECT_S = 4 * (FAR_S + NEAR_S)
RESTART_S = 0.3


class PartitionFaults:
    """Each method has a fault happen, and returns False where it has to wait."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def cut_machines(self, fault: Fault) -> bool:
        """Cut machines off from all others."""
        machines = self._context.choose(fault)
        if not machines or not self._context.losses.allows(machines):
            return False
        self._context.announce(fault, machines, fault.duration_s)
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
        """Cut a zone's machines off from all others."""
        if self._context.losses.strict and self._context.losses.lost():
            return False
        first = self._context.choose(fault)
        inside = [machine for machine in self._cluster.present() if first and machine.zone == first[0].zone]
        outside = [machine for machine in self._cluster.present() if machine not in inside]
        self._context.announce(fault, inside, fault.duration_s)
        for machine in inside:
            self._context.losses.lose(machine, self._cluster.clock.now + fault.duration_s)
            self._cut_off(machine, outside, replace(fault, how=()))
        return True

    def cut_link(self, fault: Fault) -> bool:
        """Cut two machines off from each other, or one from the other, and leave all else as it is."""
        machines = self._context.choose(fault)
        others = [machine for machine in self._cluster.running() if machine not in machines]
        if not machines or not others or not self._context.losses.allows(machines):
            return False
        other = others[fault.lot % len(others)]
        self._context.announce(fault, [machines[0], other], fault.duration_s)
        self._context.losses.lose(machines[0], self._cluster.clock.now + fault.duration_s)
        self._cut_off(machines[0], [other], fault)
        return True

    def reset_connections(self, fault: Fault) -> bool:
        """Reset some connections of machines."""
        machines = self._context.choose(fault)
        self._context.announce(fault, machines, RESET_S)
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
        """Let both connections stand anew once a partition is over."""
        for one, other in ((a, b), (b, a)):
            self._cluster.clock.later(after_s, partial(self._cluster.connect, one, other))

    def _restart_both_sides(self, machines: Iterable[Machine], others: Iterable[Machine], fault: Fault) -> None:
        """Restart those that are cut off, then the others."""
        first_s = 0.3 * fault.duration_s
        for machine in machines:
            self._cluster.clock.later(first_s, partial(self._context.end, machine, RESTART_S))
        for position, other in enumerate(others):
            self._cluster.clock.later(2 * first_s + 0.8 * position, partial(self._context.end, other, RESTART_S))
