"""The common base of all kinds of faults: the cluster, its losses, and the choice of machines."""

from __future__ import annotations

from collections.abc import Iterable

from simnet.core.cluster import Cluster
from simnet.core.faults.fault import Fault
from simnet.core.faults.losses import Losses
from simnet.core.machine import Machine


class FaultContext:
    """The core into which faults are injected."""

    def __init__(self, cluster: Cluster, losses: Losses) -> None:
        self.cluster = cluster
        self.losses = losses
        self.clock = cluster.clock
        self.rng = cluster.rng

    def record(self, fault: Fault, machines: Iterable[Machine], duration_s: float) -> None:
        """Log a fault, and extend the period of faults by its duration."""
        names = ", ".join(machine.address for machine in machines)
        self.cluster.note(f"FAULT {fault.kind} {' '.join(fault.how)} {names} for {duration_s:.2f}")
        self.cluster.extend_fault_period(self.clock.now + duration_s)

    def end(self, machine: Machine, restart_s: float, power: bool = False, wipe: bool = False) -> None:
        """End a machine's process for `restart_s` seconds, and count the machine as lost meanwhile."""
        self.losses.lose(machine, self.clock.now + restart_s)
        self.cluster.end(machine, power=power or wipe, wipe=wipe, restart_s=restart_s)

    def end_all(self, fault: Fault, duration_s: float, power: bool, wiped: Iterable[Machine] = ()) -> None:
        """End all processes; each restarts after a random delay. The machines in `wiped` lose their disks."""
        machines, wiped = self.cluster.running(), list(wiped)
        self.record(fault, machines, 1.5 * duration_s)
        for machine in machines:
            restart_s = duration_s * (0.5 + self.rng.random())
            self.end(machine, restart_s, power=power, wipe=machine in wiped)

    def choose(self, fault: Fault) -> list[Machine]:
        """Return the machines that a fault affects; its `how` and `lot` select the first of them."""
        running = sorted(self.cluster.running(), key=lambda machine: machine.address)
        running = [machine for machine in running if not machine.terminating]
        if not running:
            return []
        first = self._by_role(fault.how) or running[fault.lot % len(running)]
        if first.node is None or first.terminating:
            first = running[0]
        at = running.index(first)
        return (running[at:] + running[:at])[: self._count(fault.count)]

    def _count(self, wanted: int) -> int:
        return max(1, min(wanted, self.cluster.tolerance))

    def _by_role(self, how: tuple[str, ...]) -> Machine | None:
        leader = self.cluster.leader()
        view = leader.node.view if leader is not None and leader.node is not None else None
        if leader is None or view is None:
            return None
        if "leader" in how:
            return leader
        if "replica" in how and view.replicas:
            return self.cluster.machines[view.replicas[0]]
        if "witness" in how:
            return next((self.cluster.machines[a] for a in view.voters if a not in view.replica_set), None)
        return None

    def with_replicas(self, first: Machine, count: int) -> list[Machine]:
        """Return a machine and other members of its replica set, at most `count` and the tolerance in total."""
        view = first.node.view if first.node is not None else None
        addresses = view.replica_set if view is not None else ()
        others = [self.cluster.machines[address] for address in addresses if address != first.address]
        return [first, *others][: self._count(count)]

    def send_changes_to(self, fault: Fault, machine: Machine, after_s: float) -> None:
        """Send a change to a machine as it returns, if `how` has "meet", or two with one number, if it has "race"."""
        if not {"meet", "race"} & set(fault.how):
            return

        def send() -> None:
            self.cluster.version += 1
            number = self.cluster.version
            for side in "xy" if "race" in fault.how else "x":
                self.cluster.operators.put(
                    number, f"c{number}{side}", [machine.address], first_only="hard" in fault.how
                )

        self.clock.later(after_s + 0.02 * self.rng.random(), send)
