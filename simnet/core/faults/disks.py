"""Faults of disks: they hang, are slow, or refuse writes. None of them waits its turn."""

from __future__ import annotations

from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine


class DiskFaults:
    """Each method has a fault happen to one machine's disk, and returns True."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def stall(self, fault: Fault) -> bool:
        """Let writes hang."""
        self._begin(fault).disk.stalled_until = self._cluster.clock.now + fault.duration_s
        return True

    def slow(self, fault: Fault) -> bool:
        """Let writes take long."""
        self._begin(fault).disk.slow_until = self._cluster.clock.now + fault.duration_s
        return True

    def fill(self, fault: Fault) -> bool:
        """Let writes be refused."""
        self._begin(fault).disk.full_until = self._cluster.clock.now + fault.duration_s
        return True

    def _begin(self, fault: Fault) -> Machine:
        machine = (self._context.choose(fault)[:1] or self._cluster.present()[:1])[0]
        self._context.announce(fault, [machine], fault.duration_s)
        self._context.losses.disk_fault(machine, fault.duration_s)
        return machine
