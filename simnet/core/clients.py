"""Simulated clients of the core: each subscribes to its state and asks for one singleton role, as registries do.

Rules: a client's number never falls within an incarnation, what it knows is what was in force under its number, and of
all clients one at most holds the role.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from simnet.core.history import order_in
from simnet.core.machine import Machine
from simnet.core.ports import Core
from simnet.core.steady_clock import SteadyClock
from simnet.errors import RuleViolationError
from thistleusher.control.leases import LeaseHolder
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.messages import AnyMessage, CoreInfo, LeaseGranted, LeaseRejected, Message, StateUpdate
from thistleusher.transport.state_updates import Subscriber

ROLE = "registry"
TICK_S = 0.05
UPDATE_S = 1.0  # from an acknowledgement until all clients know of it, in calm
RESTART_S = 0.2  # from the end of a client's process to its next start


class Acknowledged(NamedTuple):
    """How far orders were acknowledged at a time."""

    at: float
    number: int


class Client:
    """One client's process, while it runs."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.clock = SteadyClock(rng)
        self.incarnation = 0
        self.running = False
        self.rng = rng
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """Begin a new incarnation."""
        self.incarnation += 1
        self.subscriber = Subscriber(self.name)
        self.members = CoreMembers()
        name = f"{self.name}/{self.incarnation}"
        self.lease = LeaseHolder(ROLE, name, self.clock.time(now), random.Random(self.rng.random()))
        self.running = True


class Clients:
    """All clients of a core."""

    def __init__(self, core: Core, count: int) -> None:
        self.clients = {f"f{n}": Client(f"f{n}", core.rng) for n in range(count)}
        self._core = core
        self._acknowledged: deque[Acknowledged] = deque()  # of the last `UPDATE_S`
        self._due = -1  # the number that all must know
        for client in self.clients.values():
            self._begin(client)

    def _begin(self, client: Client) -> None:
        self._core.links.incarnations[client.name] = client.incarnation
        for machine in self._core.machines.values():
            self.connect(client, machine)
        self._tick(client, client.incarnation)

    # Connections.

    def connect_all(self, machine: Machine) -> None:
        """Connect all clients to a machine whose process has started."""
        for client in self.clients.values():
            self.connect(client, machine)

    def connect(self, client: Client, machine: Machine) -> None:
        """Have a client subscribe on a new connection; what was in flight on the one before is lost."""
        if machine.service is None or not client.running:
            return
        self._core.links.reset(client.name, machine.address)
        self._core.links.reset(machine.address, client.name)
        machine.service.disconnected(client.name)
        self._send(client, machine.address, client.subscriber.subscribe_request())

    def _send(self, client: Client, address: str, message: Message) -> None:
        if address in self._core.machines:
            self._core.links.send(client.name, address, message)  # type: ignore[arg-type]

    def restart(self, client: Client) -> None:
        """Kill a client's process, and start it again after a while."""
        client.running = False
        self._core.links.incarnations[client.name] = client.incarnation + 1
        for machine in self._core.running():
            if machine.service is not None:
                machine.service.disconnected(client.name)

        def start() -> None:
            client.begin(self._core.clock.now)
            self._begin(client)

        self._core.clock.later(RESTART_S, start)

    # Inputs.

    def _tick(self, client: Client, incarnation: int) -> None:
        if client.incarnation != incarnation or not client.running:
            return
        now = client.clock.time(self._core.clock.now)
        client.lease.tick(now, lambda address, message: self._send(client, address, message))
        self._core.clock.later(TICK_S, lambda: self._tick(client, incarnation))

    def deliver(self, name: str, sender: str, message: AnyMessage) -> None:
        """Hand a control process's message to a client."""
        client = self.clients[name]
        if not client.running:
            return
        if isinstance(message, StateUpdate):
            before = client.subscriber.state.number
            applied = client.subscriber.apply(message)
            self._check_update(client, before)
            self._send(client, sender, applied.reply)
        elif isinstance(message, CoreInfo):
            if client.members.update(message):
                client.lease.set_grantors(message.voters)
        elif isinstance(message, LeaseGranted | LeaseRejected):
            client.lease.receive(sender, message)

    # Rules.

    def _check_update(self, client: Client, before: int) -> None:
        state = client.subscriber.state
        if state.number < before:
            raise RuleViolationError(f"CONFIG: {client.name} has gone back from {before} to {state.number}")
        order = order_in(state)
        if order.number >= 0 and self._core.history.contents.get(order.number) != order.contents:
            raise RuleViolationError(f"CONFIG: {client.name} has {order}, which was never in force")

    def _holds_lease(self, client: Client) -> bool:
        return client.lease.holds_lease(client.clock.time(self._core.clock.now))

    def check(self) -> None:
        """Check after every step."""
        holders = [c.name for c in self.clients.values() if c.running and self._holds_lease(c)]
        if len(holders) > 1:
            raise RuleViolationError(f"two hold the singleton role: {holders}")

    def note_acknowledged(self) -> None:
        """Note how far orders are acknowledged now, and how far they were `UPDATE_S` ago."""
        now = self._core.clock.now
        self._acknowledged.append(Acknowledged(now, self._core.history.acknowledged))
        while self._acknowledged[0].at < now - UPDATE_S:
            self._due = self._acknowledged.popleft().number

    def check_calm(self) -> None:
        """Check in calm: all know what was acknowledged, and one holds the role."""
        for client in self.clients.values():
            number = order_in(client.subscriber.state).number
            if number < self._due:
                raise RuleViolationError(
                    f"CONFIG: {client.name} has {number}, {self._due} was acknowledged {UPDATE_S} s ago"
                )
        if not any(self._holds_lease(client) for client in self.clients.values()):
            raise RuleViolationError("nobody holds the singleton role in calm")
