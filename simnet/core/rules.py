"""The rules of the simulated core that a look at its machines shows: after every step, and in calm.

LOST and CONFIG (see also `history`), one leader an epoch, one lease at a time, a leader that has what was acknowledged,
a constant number of voters, and copies on enough disks in calm.
"""

from __future__ import annotations

from simnet.clock import Clock
from simnet.core.clients import Clients
from simnet.core.history import CONFIG, NO_NUMBER, History, order_in
from simnet.core.machine import Machine
from simnet.errors import RuleViolationError

COPIES_S = 4.0  # of calm, after which copies are on enough disks
LEADERLESS_S = 1.0  # in calm, for exchanges of voters and replicas


class Rules:
    """Checks the machines of one core. `voters`: how many there are at all times."""

    def __init__(
        self, clock: Clock, machines: dict[str, Machine], clients: Clients, history: History, voters: int
    ) -> None:
        self._clock = clock
        self._machines = machines
        self._clients = clients
        self._history = history
        self._voters = voters
        self._tolerance = voters // 2
        self._leaders: dict[int, str] = {}  # epoch -> who leads it
        self._led_at = 0.0  # when somebody led last

    def check(self) -> None:
        """Check after every step."""
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
            raise RuleViolationError(f"two hold the lease: {holders}")

    def _check_leadership(self, machine: Machine) -> None:
        assert machine.node is not None and machine.node.leadership is not None
        view = machine.node.leadership.view
        first = self._leaders.setdefault(view.epoch, machine.address)
        if first != machine.address:
            raise RuleViolationError(f"epoch {view.epoch} has two leaders: {first} and {machine.address}")
        if len(view.voters) != self._voters:
            raise RuleViolationError(f"epoch {view.epoch} has {len(view.voters)} voters instead of {self._voters}")

    def _check_acknowledged(self, leader: Machine) -> None:
        """Whoever holds the lease has what was acknowledged."""
        assert leader.node is not None
        number = order_in(leader.node.state).number
        if number < self._history.acknowledged:
            raise RuleViolationError(
                f"LOST: {leader.address} leads with {number}, {self._history.acknowledged} acknowledged"
            )

    def check_published(self, machine: Machine) -> None:
        """Check that what a machine publishes was on the disks of all that hold copies."""
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
            if self._machines[holder].disk.furthest < state.number:
                raise RuleViolationError(f"change {state.number} is published, and never was on the disk of {holder}")

    def check_calm(self, leader: Machine | None, calm_s: float) -> None:
        """Check what holds in calm. `leader` holds the lease; `calm_s`: seconds since the last fault."""
        self._clients.note_acknowledged()
        if leader is not None:
            self._led_at = self._clock.now
        if calm_s > COPIES_S and self._history.acknowledged >= 0:
            self._check_copies(leader)

    def _check_copies(self, leader: Machine | None) -> None:
        if leader is None or leader.node is None or leader.node.view is None:
            if self._clock.now - self._led_at > LEADERLESS_S:
                raise RuleViolationError(f"nobody leads after {COPIES_S} s of calm")
            return
        voters = [self._machines[address] for address in leader.node.view.voters]
        present = [machine for machine in voters if machine.node is not None and not machine.terminating]
        copies = [machine for machine in present if self._stored_number(machine) >= self._history.acknowledged]
        if len(copies) < min(self._tolerance + 1, len(present)):
            names = [machine.address for machine in copies]
            raise RuleViolationError(
                f"after {COPIES_S} s of calm {self._history.acknowledged} is only on the disks of {names}"
            )
        self._check_same(leader)
        self._clients.check_calm()
        if len({machine.zone for machine in present}) > 1 and len({machine.zone for machine in copies}) < 2:
            raise RuleViolationError(f"after {COPIES_S} s of calm all copies are in zone {copies[0].zone}")

    def _check_same(self, leader: Machine) -> None:
        """Check that copies that end with the same change have the same items."""
        for machine in self._machines.values():
            position = machine.disk.position
            same = position.same_change(leader.disk.position) and position.epoch >= 0
            if same and machine.disk.items != leader.disk.items:
                raise RuleViolationError(
                    f"{machine.address} and {leader.address} end with one change and hold different items"
                )

    @staticmethod
    def _stored_number(machine: Machine) -> int:
        item = machine.disk.item(CONFIG)
        return int(item["v"]) if item is not None else NO_NUMBER
