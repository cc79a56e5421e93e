"""Simulated clients of the core: each subscribes to the control state and requests one singleton role, like a registry.

Rules: the state number of a client never decreases within an incarnation. A client's configuration is the one that was
in force under its number. At most one client holds the role.
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
PROPAGATION_S = 1.0  # maximum time from an acknowledgement until all clients have the change, without faults
RESTART_S = 0.2  # delay from the end of a client's process to its next start


class Acknowledged(NamedTuple):
    """The highest configuration number that was acknowledged at a time."""

    at: float
    number: int


class Client:
    """One client. Its state is lost at the end of each incarnation."""

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
        self._acknowledged: deque[Acknowledged] = deque()  # entries of the last `PROPAGATION_S` seconds
        self._due_number = -1  # configuration number that every client must have by now
        for client in self.clients.values():
            self._begin(client)

    def _begin(self, client: Client) -> None:
        self._core.links.incarnations[client.name] = client.incarnation
        for machine in self._core.machines.values():
            self.connect(client, machine)
        self._tick(client, client.incarnation)

    # Connections.

    def connect_all(self, machine: Machine) -> None:
        """Connect all running clients to a machine whose process has started."""
        for client in self.clients.values():
            self.connect(client, machine)

    def connect(self, client: Client, machine: Machine) -> None:
        """Let a client subscribe on a new connection; messages in flight on the previous one are lost."""
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
        """Kill a client's process, and start it again after `RESTART_S`."""
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
        """Deliver a control process's message to a client."""
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
            raise RuleViolationError(f"CONFIG: {client.name} went from state {before} back to state {state.number}")
        order = order_in(state)
        if order.number >= 0 and self._core.history.contents.get(order.number) != order.contents:
            raise RuleViolationError(f"CONFIG: {client.name} has {order}, which was never in force")

    def _holds_lease(self, client: Client) -> bool:
        return client.lease.holds_lease(client.clock.time(self._core.clock.now))

    def check(self) -> None:
        """Check after a step that at most one client holds the role."""
        holders = [c.name for c in self.clients.values() if c.running and self._holds_lease(c)]
        if len(holders) > 1:
            raise RuleViolationError(f"several clients hold the singleton role: {holders}")

    def record_acknowledged(self) -> None:
        """Record the highest number acknowledged now, and update the one that every client must have by now."""
        now = self._core.clock.now
        self._acknowledged.append(Acknowledged(now, self._core.history.acknowledged))
        while self._acknowledged[0].at < now - PROPAGATION_S:
            self._due_number = self._acknowledged.popleft().number

    def check_fault_free(self) -> None:
        """Check, without faults, that all clients have the acknowledged configuration and that one holds the role."""
        for client in self.clients.values():
            number = order_in(client.subscriber.state).number
            if number < self._due_number:
                raise RuleViolationError(
                    f"CONFIG: {client.name} has {number}, {self._due_number} was acknowledged {PROPAGATION_S} s ago"
                )
        if not any(self._holds_lease(client) for client in self.clients.values()):
            raise RuleViolationError("no client holds the singleton role although there are no faults")
