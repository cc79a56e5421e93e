"""Faults that are triggered by an acknowledgement, or by a change that is sent."""

from __future__ import annotations

from dataclasses import replace

from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault
from simnet.core.machine import Machine

TRIGGER_TIMEOUT_S = 2.0  # maximum time for which an armed fault waits for its trigger
MAX_KILL_DELAY_S = 0.004  # maximum delay from an acknowledgement to the fault
MIN_DELAY_S, MAX_DELAY_S = 0.005, 0.4  # range of the delay from the sending of a change to a "timed" fault


class TriggeredFaults:
    """Each public method arms a fault, which then waits for its trigger, and returns False if it must be postponed."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._after_acknowledgement: list[tuple[float, Fault]] = []  # (expiry time, fault)
        self._after_send: list[tuple[float, Fault]] = []  # (expiry time, fault)
        context.cluster.operators.on_acknowledged = self._acknowledged
        context.cluster.operators.on_sent = self._sent

    def arm(self, fault: Fault) -> bool:
        """Arm a fault: it is triggered by the next acknowledgement or, if "timed", by the next request that is sent."""
        waiting = self._after_send if "timed" in fault.how else self._after_acknowledgement
        waiting.append((self._cluster.clock.now + TRIGGER_TIMEOUT_S, fault))
        return True

    def arm_closing_wipe(self, fault: Fault) -> bool:
        """Arm the closing fault of a day, unless a machine counts as lost."""
        return not self._context.losses.lost() and self.arm(fault)

    def _acknowledged(self, address: str) -> None:
        for until, fault in self._after_acknowledgement:
            if self._cluster.clock.now <= until:
                self._inject_after(MAX_KILL_DELAY_S * self._cluster.rng.random(), fault, address)
        self._after_acknowledgement.clear()

    def _sent(self, address: str) -> None:
        for until, fault in self._after_send:
            if self._cluster.clock.now <= until:
                after_s = MIN_DELAY_S + (MAX_DELAY_S - MIN_DELAY_S) * self._cluster.rng.random()
                self._inject_after(after_s, fault, address)
        self._after_send.clear()

    def _inject_after(self, after_s: float, fault: Fault, address: str) -> None:
        def inject() -> None:
            if fault.kind == "wipe_after_ack":
                self._wipe_and_close(fault)
            else:
                self._end_machines(fault, address)

        self._cluster.clock.later(after_s, inject)

    def _end_machines(self, fault: Fault, address: str) -> None:
        """End the machine that acknowledged or, if the fault is "timed", the leader, and `count` - 1 more machines."""
        machines = self._targets(fault, address)
        wipe = fault.kind == "after_ack_wipe"
        if not machines or not self._context.losses.allows(machines, for_good=wipe):
            return
        self._context.record(fault, machines, fault.duration_s)
        for machine in machines:
            self._context.end(machine, fault.duration_s, power="kill" not in fault.how, wipe=wipe)

    def _targets(self, fault: Fault, address: str) -> list[Machine]:
        first = self._cluster.leader() if "timed" in fault.how else self._cluster.machines[address]
        if "lot" in fault.how or first is None or first.node is None:
            return self._context.choose(fault)
        return self._context.with_replicas(first, fault.count)

    def _wipe_and_close(self, fault: Fault) -> None:
        """Wipe the disks of as many machines as the tolerance permits; unless "alone", all others lose power."""
        machines = self._cluster.running()
        if self._context.losses.lost() or len(machines) < self._cluster.size:
            return
        wiped = self._context.choose(replace(fault, count=self._cluster.tolerance))
        if "alone" in fault.how:
            self._context.record(fault, wiped, fault.duration_s)
            for machine in wiped:
                self._context.end(machine, fault.duration_s, wipe=True)
        else:
            self._context.end_all(fault, fault.duration_s, power=True, wiped=wiped)
