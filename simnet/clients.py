"""Simulated clients of the core: each follows the news and would do one duty, as proxies and registries do.

Rules: a client's number never falls within its life, what it knows is what was in force under its number, and of two
clients one at most holds the duty.
"""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

from simnet.machine import SteadyClock
from simnet.rules import Broken, held_order
from thistleusher.control.leases import LeaseHolder
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.messages import AnyMessage, CoreInfo, LeaseGranted, LeaseRejected, Message, StateUpdate
from thistleusher.transport.state_updates import Subscriber

if TYPE_CHECKING:
    from simnet.cluster import Cluster
    from simnet.machine import Machine

DUTY = "registry"
TICK_S = 0.05
TOLD_S = 1.0  # from an acknowledgement until clients know of it, in calm
DOWN_S = 0.2  # from the end of a client's process to its next start


class Client:
    """One client's process, while it runs."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.clock = SteadyClock(rng)
        self.life = 0
        self.running = False
        self.rng = rng
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """A new life."""
        self.life += 1
        self.follower = Subscriber(self.name)
        self.members = CoreMembers()
        self.holder = LeaseHolder(
            DUTY, f"{self.name}/{self.life}", self.clock.time(now), random.Random(self.rng.random())
        )
        self.running = True


class Clients:
    """All clients of a core."""

    def __init__(self, cluster: Cluster, count: int) -> None:
        self.cluster = cluster
        self._acknowledged: deque[tuple[float, int]] = deque()  # when and how far orders were acknowledged
        self._due = -1  # the number that all must know
        self.clients = {f"f{n}": Client(f"f{n}", cluster.rng) for n in range(count)}
        for client in self.clients.values():
            self._begin(client)

    def _begin(self, client: Client) -> None:
        self.cluster.wires.lives[client.name] = client.life
        for machine in self.cluster.machines.values():
            self.connect(client, machine)
        self._tick(client, client.life)

    # Connections.

    def connect_all(self, machine: Machine) -> None:
        """A machine's process has started."""
        for client in self.clients.values():
            self.connect(client, machine)

    def connect(self, client: Client, machine: Machine) -> None:
        """A client follows on a new connection; what was under way on the one before is lost."""
        if machine.service is None or not client.running:
            return
        self.cluster.wires.reset(client.name, machine.address)
        self.cluster.wires.reset(machine.address, client.name)
        machine.service.disconnected(client.name)
        self._send(client, machine.address, client.follower.subscribe_request())

    def _send(self, client: Client, address: str, message: Message) -> None:
        if address in self.cluster.machines:
            self.cluster.wires.send(client.name, address, message)  # type: ignore[arg-type]

    def restart(self, client: Client) -> None:
        """A client's process is killed, and starts again."""
        client.running = False
        self.cluster.wires.lives[client.name] = client.life + 1
        for machine in self.cluster.running():
            if machine.service is not None:
                machine.service.disconnected(client.name)

        def again() -> None:
            client.begin(self.cluster.clock.now)
            self._begin(client)

        self.cluster.clock.later(DOWN_S, again)

    # Inputs.

    def _tick(self, client: Client, life: int) -> None:
        if client.life != life or not client.running:
            return
        now = client.clock.time(self.cluster.clock.now)
        client.holder.tick(now, lambda address, message: self._send(client, address, message))
        self.cluster.clock.later(TICK_S, lambda: self._tick(client, life))

    def deliver(self, name: str, sender: str, message: AnyMessage) -> None:
        """A control process's message."""
        client = self.clients[name]
        if not client.running:
            return
        if isinstance(message, StateUpdate):
            before = client.follower.state.number
            heard = client.follower.apply(message)
            self._check_news(client, before)
            self._send(client, sender, heard.reply)
        elif isinstance(message, CoreInfo):
            if client.members.update(message):
                client.holder.set_grantors(message.voters)
        elif isinstance(message, LeaseGranted | LeaseRejected):
            client.holder.receive(sender, message)

    # Rules.

    def _check_news(self, client: Client, before: int) -> None:
        state, ledger = client.follower.state, self.cluster.ledger
        if state.number < before:
            raise Broken(f"CONFIG: {client.name} has gone back from {before} to {state.number}")
        held = held_order(state)
        if held.number >= 0 and ledger.contents.get(held.number) != held.contents:
            raise Broken(f"CONFIG: {client.name} has {held}, which was never in force")

    def check(self) -> None:
        """After every step."""
        now = self.cluster.clock.now
        holding = [c.name for c in self.clients.values() if c.running and c.holder.holds_lease(c.clock.time(now))]
        if len(holding) > 1:
            raise Broken(f"two hold the duty: {holding}")

    def look(self) -> None:
        """Mind what was acknowledged, for the time in which clients must be told."""
        now = self.cluster.clock.now
        self._acknowledged.append((now, self.cluster.ledger.acknowledged))
        while self._acknowledged[0][0] < now - TOLD_S:
            self._due = self._acknowledged.popleft()[1]

    def check_calm(self) -> None:
        """In calm all know what was acknowledged, and one holds the duty."""
        now = self.cluster.clock.now
        for client in self.clients.values():
            held = held_order(client.follower.state).number
            if held < self._due:
                raise Broken(f"CONFIG: {client.name} has {held}, {self._due} was acknowledged {TOLD_S} s ago")
        if not any(c.holder.holds_lease(c.clock.time(now)) for c in self.clients.values()):
            raise Broken("nobody holds the duty in calm")
