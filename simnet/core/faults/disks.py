"""Faults of disks: writes hang, are slow, or fail. They are injected without regard to the tolerance."""

from __future__ import annotations

from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine


class DiskFaults:
    """Each method injects a fault into one machine's disk, and returns True."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def stall(self, fault: Fault) -> bool:
        """Let writes hang until the fault ends."""
        self._begin(fault).disk.stalled_until = self._cluster.clock.now + fault.duration_s
        return True

    def slow(self, fault: Fault) -> bool:
        """Let writes take `SLOW_FACTOR` times as long."""
        self._begin(fault).disk.slow_until = self._cluster.clock.now + fault.duration_s
        return True

    def fill(self, fault: Fault) -> bool:
        """Let writes fail, as on a full disk."""
        self._begin(fault).disk.full_until = self._cluster.clock.now + fault.duration_s
        return True

    def _begin(self, fault: Fault) -> Machine:
        machine = (self._context.choose(fault)[:1] or self._cluster.present()[:1])[0]
        self._context.record(fault, [machine], fault.duration_s)
        self._context.losses.record_disk_fault(machine, fault.duration_s)
        return machine
