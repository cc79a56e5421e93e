"""Tracks the machines that count as lost, and decides whether more may be lost now.

A machine counts as lost while it is down, frozen, slow or partitioned, and for `catch_up_s` afterwards. A machine that
is lost for good counts until `catch_up_s` after the start of its successor. The documented tolerance does not count
faults of disks. Here a loss that coincides with a fault of a disk lasts until `catch_up_s` after the end of that fault:
with one of three voters lost and another one unable to write, there is no majority to admit a successor.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from simnet.core.cluster import Cluster
from simnet.core.machine import Machine


class Losses:
    """The losses of one core.

    `strict`: the tolerance limits all losses, not only those of a disk or of a machine for good.
    """

    def __init__(self, cluster: Cluster, strict: bool) -> None:
        self.strict = strict
        self._cluster = cluster
        self._lost_until: dict[str, float] = {}
        self._disk_fault_until: dict[str, float] = {}

    def lost(self) -> set[str]:
        """Return the addresses of machines that are lost now."""
        return {address for address, until in self._lost_until.items() if until > self._cluster.clock.now}

    def allows(self, machines: Iterable[Machine], for_good: bool = False) -> bool:
        """Return whether machines may be lost now; `for_good` means together with their disks."""
        names = {machine.address for machine in machines}
        lost = self.lost()
        if for_good and (self._disk_faults() or (lost and not self.strict)):
            return False
        return len(names | lost) <= self._cluster.tolerance or not (self.strict or for_good)

    def _disk_faults(self) -> set[str]:
        """Return the machines whose disk has a fault or had one within `catch_up_s`.

        They may be unable to vote on a successor.
        """
        return {address for address, until in self._disk_fault_until.items() if until > self._cluster.clock.now}

    def _extended_by_disk_faults(self, until: float) -> float:
        return max(until, *self._disk_fault_until.values(), 0.0)

    def lose(self, machine: Machine, until: float) -> None:
        """Count a machine as lost until the time `until`, and while it catches up afterwards."""
        until = self._extended_by_disk_faults(until + self._cluster.catch_up_s)
        self._lost_until[machine.address] = max(until, self._lost_until.get(machine.address, 0.0))

    def lose_for_good(self, machine: Machine) -> None:
        """Count a machine as lost until its successor has started."""
        self._lost_until[machine.address] = math.inf

    def successor_started(self, machine: Machine) -> None:
        """Count a machine as lost only until its successor, which starts now, has caught up."""
        self._lost_until[machine.address] = self._extended_by_disk_faults(
            self._cluster.clock.now + self._cluster.catch_up_s
        )

    def record_disk_fault(self, machine: Machine, duration_s: float) -> None:
        """Record a fault of a machine's disk, and extend all current losses until its end and `catch_up_s` more."""
        until = self._cluster.clock.now + duration_s + self._cluster.catch_up_s
        known = self._disk_fault_until.get(machine.address, 0.0)
        self._disk_fault_until[machine.address] = max(until, known)
        for address in self.lost():
            self._lost_until[address] = max(until, self._lost_until[address])
