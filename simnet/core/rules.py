"""The rules of the simulated core that depend on the state of its machines.

After every step: LOST and CONFIG (see also `history`), at most one leader per epoch, at most one lease at a time, a
leader that has all acknowledged changes, and a constant number of voters. Without faults: copies on enough disks.
"""

from __future__ import annotations

from simnet.clock import Clock
from simnet.core.clients import Clients
from simnet.core.history import CONFIG, NO_NUMBER, History, order_in
from simnet.core.machine import Machine
from simnet.errors import RuleViolationError
from thistleusher.control.timing import MIN_VOTERS

REPLICATION_TIMEOUT_S = 4.0  # maximum time without faults until enough disks have a copy
MAX_LEADERLESS_S = 1.0  # maximum time without a leader and without faults, while voters and replicas are replaced


class Rules:
    """Checks the machines of one core. `voters` is the required number of voters at all times."""

    def __init__(
        self, clock: Clock, machines: dict[str, Machine], clients: Clients, history: History, voters: int
    ) -> None:
        self._clock = clock
        self._machines = machines
        self._clients = clients
        self._history = history
        self._voters = voters
        self._tolerance = voters // 2
        self.may_grow = False  # whether founders may have been late, and become voters after the founding
        self._leaders: dict[int, str] = {}  # epoch -> address of its leader
        self._last_leader_at = 0.0  # last time at which there was a lease holder

    def check(self) -> None:
        """Check the rules that apply after every step."""
        self._history.check()
        self._clients.check()
        holders = []
        for machine in self._machines.values():
            if machine.node is None or machine.node.leadership is None:
                continue
            self._check_leadership(machine)
            if machine.holds_lease(self._clock.now):
                holders.append(machine.address)
                self._check_acknowledged(machine)
        if len(holders) > 1:
            raise RuleViolationError(f"several machines hold the lease: {holders}")

    def _check_leadership(self, machine: Machine) -> None:
        assert machine.node is not None and machine.node.leadership is not None
        view = machine.node.leadership.view
        first = self._leaders.setdefault(view.epoch, machine.address)
        if first != machine.address:
            raise RuleViolationError(f"epoch {view.epoch} has two leaders: {first} and {machine.address}")
        fewest = min(MIN_VOTERS, self._voters) if self.may_grow else self._voters
        if not fewest <= len(view.voters) <= self._voters:
            raise RuleViolationError(f"epoch {view.epoch} has {len(view.voters)} voters instead of {self._voters}")

    def _check_acknowledged(self, leader: Machine) -> None:
        """Check that the lease holder has all acknowledged changes."""
        assert leader.node is not None
        number = order_in(leader.node.state).number
        if number < self._history.acknowledged:
            raise RuleViolationError(
                f"LOST: {leader.address} leads with number {number}, but {self._history.acknowledged} was acknowledged"
            )

    def check_published(self, machine: Machine) -> None:
        """Check that the state that a machine publishes was on the disks of its whole replica set."""
        service = machine.service
        if service is None:
            return
        state = service.publisher.state
        if state is machine.published and state.number == machine.published_number:
            return
        machine.published = state
        machine.published_number = state.number
        self._history.publish(state)
        leadership = service.node.leadership
        for holder in leadership.view.replica_set if leadership is not None else ():
            if self._machines[holder].disk.highest_number < state.number:
                raise RuleViolationError(f"change {state.number} is published, but was never on the disk of {holder}")

    def check_fault_free(self, leader: Machine | None, fault_free_s: float) -> None:
        """Check the rules that apply without faults.

        `leader` is the lease holder, if any; `fault_free_s` is the time since the end of the last fault, in seconds.
        """
        self._clients.record_acknowledged()
        if leader is not None:
            self._last_leader_at = self._clock.now
        if fault_free_s > REPLICATION_TIMEOUT_S and self._history.acknowledged >= 0:
            self._check_copies(leader)

    def _check_copies(self, leader: Machine | None) -> None:
        if leader is None or leader.node is None or leader.node.view is None:
            if self._clock.now - self._last_leader_at > MAX_LEADERLESS_S:
                raise RuleViolationError(f"there is no leader after {REPLICATION_TIMEOUT_S} s without faults")
            return
        voters = [self._machines[address] for address in leader.node.view.voters]
        present = [machine for machine in voters if machine.node is not None and not machine.terminating]
        copies = [machine for machine in present if self._stored_number(machine) >= self._history.acknowledged]
        if len(copies) < min(self._tolerance + 1, len(present)):
            names = [machine.address for machine in copies]
            raise RuleViolationError(
                f"after {REPLICATION_TIMEOUT_S} s without faults only {names} have {self._history.acknowledged} on disk"
            )
        self._check_same_items(leader)
        self._clients.check_fault_free()
        if len({machine.zone for machine in present}) > 1 and len({machine.zone for machine in copies}) < 2:
            raise RuleViolationError(
                f"after {REPLICATION_TIMEOUT_S} s without faults all copies are in zone {copies[0].zone}"
            )

    def _check_same_items(self, leader: Machine) -> None:
        """Check that copies whose last change is the same have the same items."""
        for machine in self._machines.values():
            position = machine.disk.position
            same = position.same_change(leader.disk.position) and position.epoch >= 0
            if same and machine.disk.items != leader.disk.items:
                raise RuleViolationError(
                    f"{machine.address} and {leader.address} have the same last change but different items"
                )

    @staticmethod
    def _stored_number(machine: Machine) -> int:
        item = machine.disk.item(CONFIG)
        return int(item["v"]) if item is not None else NO_NUMBER
