"""Which machines count as lost, and whether one more may be lost now.

A machine is lost while it is down, frozen, slowed or partitioned and for `catch_up_s` after that; one that is gone for
good, until `catch_up_s` after its successor's start. The pages do not count faults of disks; here a loss beside one
lasts as long as that, and `catch_up_s` more, as with one of three voters gone and another that can not write nobody
could decide about the successor.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from simnet.core.cluster import Cluster
from simnet.core.machine import Machine


class Losses:
    """The losses of one core. `strict`: all keep to the tolerance; else only those of a disk or a machine for good."""

    def __init__(self, cluster: Cluster, strict: bool) -> None:
        self.strict = strict
        self._cluster = cluster
        self._lost_until: dict[str, float] = {}
        self._disk_fault_until: dict[str, float] = {}

    def lost(self) -> set[str]:
        """Return the addresses of machines that are lost now."""
        return {address for address, until in self._lost_until.items() if until > self._cluster.clock.now}

    def allows(self, machines: Iterable[Machine], for_good: bool = False) -> bool:
        """Return whether machines may be lost now; `for_good`: with their disks."""
        names = {machine.address for machine in machines}
        lost = self.lost()
        if for_good and (self._disk_faults() or (lost and not self.strict)):
            return False
        return len(names | lost) <= self._cluster.tolerance or not (self.strict or for_good)

    def _disk_faults(self) -> set[str]:
        """Return machines whose disk has or had a fault, and that could decide nothing about a successor."""
        return {address for address, until in self._disk_fault_until.items() if until > self._cluster.clock.now}

    def _and_disk_faults(self, until: float) -> float:
        return max(until, *self._disk_fault_until.values(), 0.0)

    def lose(self, machine: Machine, until: float) -> None:
        """Count a machine as lost until it is back, and while it catches up after that."""
        until = self._and_disk_faults(until + self._cluster.catch_up_s)
        self._lost_until[machine.address] = max(until, self._lost_until.get(machine.address, 0.0))

    def lose_for_good(self, machine: Machine) -> None:
        """Count a machine as lost until its successor has started."""
        self._lost_until[machine.address] = math.inf

    def succeeded(self, machine: Machine) -> None:
        """Count a machine as lost no longer than its successor, which starts now, catches up."""
        self._lost_until[machine.address] = self._and_disk_faults(self._cluster.clock.now + self._cluster.catch_up_s)

    def disk_fault(self, machine: Machine, duration_s: float) -> None:
        """Record a fault of a machine's disk; all that is lost now stays lost while nobody can decide."""
        until = self._cluster.clock.now + duration_s + self._cluster.catch_up_s
        known = self._disk_fault_until.get(machine.address, 0.0)
        self._disk_fault_until[machine.address] = max(until, known)
        for address in self.lost():
            self._lost_until[address] = max(until, self._lost_until[address])
