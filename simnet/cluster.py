"""A simulated core: control machines on wires, their processes' lives, and the rules checked after each step.

Rules, by the users' names where they have one: LOST and CONFIG (see `rules.Ledger`), one leader an epoch, one lease at
a time, a leader that holds what was acknowledged, nothing said without contact with a majority, followers that never
go back, a constant number of voters, no promise for a machine that has no vote, and copies on enough disks in calm.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from simnet.clients import Clients
from simnet.clock import Clock
from simnet.machine import Feed, Machine
from simnet.operators import Make, Operators
from simnet.rules import CONFIG, Broken, Ledger, held_order
from simnet.wires import Wires
from thistleusher.control.interface import Answer, LogEvent, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.transport.messages import AnyMessage, StateUpdate, VoteRequest

TICK_S = 0.06
RESTART_S = 0.3  # after the end of a process, until it is started again
LAST_WORDS_S = 0.05  # from when a process may end until it does
GRACE_S = 6.0  # from SIGTERM to SIGKILL
CONTACT_S = 0.7  # a lease and a little: how old the newest word of a majority may be for one that answers
COPIES_S = 4.0  # of calm, after which copies are on enough disks
LEADERLESS_S = 1.0  # in calm, for exchanges of voters and replicas
LOOK_S = 0.2  # between looks at what must hold in calm
SLOW = 10.0  # times the usual way, from which ways are slow
NEAR_S, FAR_S = 0.0002, 0.0015  # one way, in a zone and between zones
ZONES = ("a", "b", "a", "c", "b")


class Cluster:
    """A core of some machines. All that happens is drawn from one seed."""

    def __init__(self, seed: int, machines: int = 3, followers: int = 2, slow: float = 1.0) -> None:
        """`slow`: times the usual way between machines, which makes more orders of messages likely."""
        self.size, self.slow = machines, slow
        self.tolerance = machines // 2
        self.catch_up_s = 4.0 if machines == 3 and slow < SLOW else 6.0  # the users' figure is for ways that are not
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.after_each = self.check
        self.wires = Wires(self.clock, self.rng, self._deliver, self._delay)
        self.log: list[str] = []
        self.ledger = Ledger()
        self.operators = Operators(self, self.ledger)
        self.epochs: dict[int, str] = {}
        self.calm_since = 0.0  # when the last trouble ended; in the future while there is any
        self.led_at = 0.0  # when somebody led last
        self.version = 0  # the highest that an operator has sent
        self.machines: dict[str, Machine] = {}
        for n in range(machines):
            self._new_machine(f"10.0.0.{n + 1}", ZONES[n])
        self.seeds = sorted(self.machines)[:3]
        self.clients = Clients(self, followers)
        for machine in self.machines.values():
            self.start(machine, bootstrap=True)
        self.clock.later(LOOK_S, self._look)

    def _new_machine(self, address: str, zone: str) -> Machine:
        machine = self.machines[address] = Machine(address, zone, self.rng)
        return machine

    # What stands where.

    def time(self, machine: Machine) -> float:
        """A machine's own steady clock."""
        return machine.time(self.clock.now)

    def running(self) -> list[Machine]:
        """Machines whose process runs."""
        return [m for m in self.machines.values() if m.node is not None]

    def present(self) -> list[Machine]:
        """Machines that are not gone for good."""
        return [m for m in self.machines.values() if not m.gone]

    def holder(self) -> Machine | None:
        """The leader whose lease stands."""
        return next((m for m in self.running() if m.holds(self.clock.now)), None)

    def leader(self) -> Machine | None:
        """The leader of the highest epoch, whether or not its lease stands."""
        leaders = [m for m in self.running() if m.node is not None and m.node.leadership is not None]
        return max(leaders, key=lambda m: m.node.leadership.view.epoch, default=None)  # type: ignore[union-attr]

    def in_contact(self, machine: Machine) -> bool:
        """Whether a majority of its voters has spoken to a machine of late, by what the wires have carried."""
        view = machine.node.view if machine.node is not None else None
        if view is None:
            return False
        since = self.clock.now - CONTACT_S
        return view.has_majority([machine.address, *(a for a, at in machine.heard.items() if at >= since)])

    def note(self, text: str) -> None:
        """A line of what happened."""
        self.log.append(f"{self.clock.now:8.3f} {text}")

    def trouble(self, until: float) -> None:
        """There is trouble until some time."""
        self.calm_since = max(self.calm_since, until)

    # Lives of processes.

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a machine's process with the settings of this moment."""
        if machine.node is not None or machine.gone:
            return
        self._new_life(machine)
        machine.dark = machine.terminating = False
        stored, rng = machine.disk.stored(), random.Random(self.rng.random())
        now = self.time(machine)
        node = ControlNode(
            machine.address, machine.zone, self.seeds, bootstrap, stored, now, rng, tolerance=self.tolerance
        )
        machine.service = ControlService(node, LeaseGrantor(now, stored.leases))
        self.clients.connect_all(machine)
        self._tick(machine, machine.life)
        for other in self.machines.values():
            if other is not machine:
                self.connect(other, machine)

    def _new_life(self, machine: Machine) -> None:
        machine.life += 1
        self.wires.lives[machine.address] = machine.life
        machine.inbox.clear()
        machine.heard.clear()
        machine.busy_until = 0.0

    def connect(self, machine: Machine, other: Machine) -> None:
        """A machine's connection to another one stands anew, once a way there and back is open."""

        def linked() -> None:
            if self.wires.open(machine.address, other.address) and self.wires.open(other.address, machine.address):
                self.give(machine, lambda service, now: service.connected(now, other.address))

        if other.node is not None:
            self.clock.later(2 * self._delay(machine.address, other.address), linked)

    def end(self, machine: Machine, power: bool = False, wipe: bool = False, back_s: float | None = None) -> None:
        """A process ends at once: killed, or without power, its disk lost or not; it starts again after `back_s`."""
        self.trouble(self.clock.now + (back_s or 0.0))
        if machine.node is None:
            return
        self.note(f"{machine.address} ends{' without power' * power}{', its disk is lost' * wipe}")
        machine.service = None
        machine.dark = power
        machine.terminating = False
        machine.disk.lose_process()
        if wipe:
            machine.disk.wipe()
        self._new_life(machine)
        if back_s is not None:
            self.clock.later(back_s, lambda: self.start(machine))

    def terminate(self, machine: Machine, back_s: float | None = RESTART_S) -> None:
        """SIGTERM: the process hands over what it holds and ends, within the time of grace."""
        if machine.node is None or machine.terminating:
            return
        life = machine.life
        machine.terminating = True
        self.trouble(self.clock.now)
        self.note(f"{machine.address} is told to end")

        def end() -> None:
            if machine.life == life and machine.node is not None:
                self.end(machine, back_s=back_s)

        def look() -> None:
            if machine.life != life or machine.node is None:
                return
            if machine.node.can_stop and not machine.inbox:
                self.clock.later(LAST_WORDS_S, end)
            else:
                self.clock.later(LAST_WORDS_S, look)

        self.give(machine, lambda service, now: service.stop(now))
        self.clock.later(LAST_WORDS_S, look)
        self.clock.later(GRACE_S, end)

    def add(self, zone: str | None = None) -> Machine:
        """A machine with an empty disk starts at a new address; its settings name machines that are there now."""
        zones = sorted({m.zone for m in self.machines.values()})
        machine = self._new_machine(f"10.0.1.{len(self.machines) + 1}", zone or self.rng.choice(zones))
        self.note(f"{machine.address} is new, in zone {machine.zone}")
        self.trouble(self.clock.now)
        self.reseed()
        self.start(machine)
        return machine

    def remove(self, machine: Machine) -> None:
        """A machine is gone for good, with its disk."""
        self.end(machine, power=True)
        machine.gone = True

    def reseed(self, first: Sequence[Machine] = ()) -> None:
        """The settings name other seeds: those given, then the newest machines."""
        here = sorted((m.address for m in self.present()), reverse=True)
        named = [m.address for m in first]
        self.seeds = [*named, *(a for a in here if a not in named)][:3]

    def hang_up(self, machine: Machine) -> None:
        """SIGHUP: a process reads its settings again."""
        seeds = list(self.seeds)

        def reseed(service: ControlService, now: float) -> list[ServiceOutput]:
            service.node.add_seeds(seeds)
            return []

        self.give(machine, reseed)

    # Inputs.

    def call(self, machine: Machine, make: Make, taken: Callable[[int], None]) -> None:
        """An operator's call reaches a machine's sockets; `taken` is told its number once the process takes it."""

        def feed(service: ControlService, now: float) -> list[ServiceOutput]:
            taken(service.calls + 1)
            return service.submit(now, make)[1]

        self.give(machine, feed)

    def give(self, machine: Machine, feed: Feed) -> None:
        """Hand an input to a machine's process, after those that came before."""
        if machine.service is None:
            return
        machine.inbox.append(feed)
        if len(machine.inbox) == 1:
            self._work(machine, machine.life)

    def _work(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.service is None or not machine.inbox:
            return
        ready = machine.ready_at()
        if ready > self.clock.now:
            self.clock.at(ready, lambda: self._work(machine, life))
            return
        machine.work(self.clock.now)
        feed = machine.inbox[0]
        outputs = feed(machine.service, self.time(machine))
        machine.inbox.popleft()
        self._carry(machine, outputs)
        if machine.inbox:
            self.clock.at(self.clock.now, lambda: self._work(machine, life))

    def _tick(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.node is None:
            return
        if machine.frozen_until > self.clock.now:  # before what lies in its sockets, or amid it
            self.clock.at(machine.frozen_until, lambda: self._tick_at_once(machine, life))
            return
        self.give(machine, lambda service, now: service.tick(now))
        self.clock.later(TICK_S * (0.9 + 0.2 * self.rng.random()), lambda: self._tick(machine, life))

    def _tick_at_once(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.service is None:
            return
        if machine.frozen_until > self.clock.now:
            self._tick(machine, life)
            return
        self._carry(machine, machine.service.tick(self.time(machine)))
        self.clock.later(TICK_S, lambda: self._tick(machine, life))

    def _delay(self, a: str, b: str) -> float:
        if a not in self.machines or b not in self.machines:
            return FAR_S * self.slow
        same = self.machines[a].zone == self.machines[b].zone
        return (NEAR_S if same else FAR_S) * self.slow

    def _deliver(self, to: str, sender: str, message: AnyMessage) -> None:
        if to not in self.machines:
            self.clients.deliver(to, sender, message)
            return
        machine, sent_at = self.machines[to], self.wires.sent_at

        def feed(service: ControlService, now: float) -> list[ServiceOutput]:
            machine.heard[sender] = max(machine.heard.get(sender, 0.0), sent_at)
            if isinstance(message, VoteRequest):
                return self._vote(machine, service, now, sender, message)
            return service.receive(now, sender, message)

        self.give(machine, feed)

    def _vote(
        self, machine: Machine, service: ControlService, now: float, sender: str, message: VoteRequest
    ) -> list[ServiceOutput]:
        """A machine without a vote moves no epoch."""
        node = service.node
        promised, view = node.promised, node.view
        outputs = service.receive(now, sender, message)
        stranger = view is not None and sender not in view.voters and node.view == view
        if stranger and node.promised > promised:
            raise Broken(f"{machine.address} promised epoch {node.promised} to {sender}, which has no vote")
        return outputs

    # Outputs.

    def _carry(self, machine: Machine, outputs: Iterable[ServiceOutput]) -> None:
        self._check_published(machine)
        for out in outputs:
            if isinstance(out, Send):
                if out.to in self.machines:
                    self.wires.send(machine.address, out.to, out.message)
            elif isinstance(out, Write):
                self._write(machine, out)
            elif isinstance(out, Answer):
                self.operators.answered(machine, out)
            elif isinstance(out, SendToClient):
                self._tell(machine, out)
            elif isinstance(out, LogEvent):
                self.note(f"{machine.address} " + out.event.value.text % out.fields)

    def _write(self, machine: Machine, write: Write) -> None:
        life = machine.life
        ends = machine.disk.begin(self.clock.now, write.records)

        def end() -> None:
            if machine.life == life:
                ok = machine.disk.end()
                self.give(machine, lambda service, now: service.write_completed(now, write.token, ok))

        self.clock.at(ends, end)

    def _tell(self, machine: Machine, tell: SendToClient) -> None:
        """A message to a client; news leave only a leader whose lease stands, in contact with a majority."""
        if isinstance(tell.message, StateUpdate) and not (machine.holds(self.clock.now) and self.in_contact(machine)):
            raise Broken(f"{machine.address} tells news without a lease or without contact with a majority")
        self.wires.send(machine.address, tell.name, tell.message)

    def _check_published(self, machine: Machine) -> None:
        """What is in force by a machine's word was on the disks of all that hold copies."""
        service = machine.service
        if service is None:
            return
        state = service.publisher.state
        if state is machine.published and state.number == machine.published_number:
            return
        machine.published, machine.published_number = state, state.number
        self.ledger.publish(state)
        leadership = service.node.leadership
        for holder in leadership.view.replica_set if leadership is not None else ():
            if self.machines[holder].disk.furthest < state.number:
                raise Broken(f"change {state.number} is published, and never was on the disk of {holder}")

    # Rules.

    def check(self) -> None:
        """After every step."""
        self.ledger.check()
        self.clients.check()
        holders = []
        for machine in self.machines.values():
            node = machine.node
            if node is None or node.leadership is None:
                continue
            view = node.leadership.view
            first = self.epochs.setdefault(view.epoch, machine.address)
            if first != machine.address:
                raise Broken(f"epoch {view.epoch} has two leaders: {first} and {machine.address}")
            if len(view.voters) != self.size:
                raise Broken(f"epoch {view.epoch} has {len(view.voters)} voters instead of {self.size}")
            if machine.holds(self.clock.now):
                holders.append(machine.address)
                held = held_order(node.state).number
                if held < self.ledger.acknowledged:
                    raise Broken(f"LOST: {machine.address} leads with {held}, {self.ledger.acknowledged} acknowledged")
        if len(holders) > 1:
            raise Broken(f"two hold the lease: {holders}")

    def _look(self) -> None:
        """What must hold in calm."""
        self.clients.look()
        if self.holder() is not None:
            self.led_at = self.clock.now
        if self.clock.now - self.calm_since > COPIES_S and self.ledger.acknowledged >= 0:
            self._check_copies()
        self.clock.later(LOOK_S, self._look)

    def _check_copies(self) -> None:
        leader = self.holder()
        if leader is None or leader.node is None or leader.node.view is None:
            if self.clock.now - self.led_at > LEADERLESS_S:
                raise Broken(f"nobody leads after {COPIES_S} s of calm")
            return
        voters = [self.machines[a] for a in leader.node.view.voters]
        here = [m for m in voters if m.node is not None and not m.terminating]
        holding = [m for m in here if self._stored_number(m) >= self.ledger.acknowledged]
        if len(holding) < min(self.tolerance + 1, len(here)):
            names = [m.address for m in holding]
            raise Broken(f"after {COPIES_S} s of calm {self.ledger.acknowledged} is only on the disks of {names}")
        self._check_same(leader)
        self.clients.check_calm()
        if len({m.zone for m in here}) > 1 and len({m.zone for m in holding}) < 2:
            raise Broken(f"after {COPIES_S} s of calm all copies are in zone {holding[0].zone}")

    def _check_same(self, leader: Machine) -> None:
        """Copies that end with the same change hold the same items."""
        for machine in self.machines.values():
            same = machine.disk.position.same_change(leader.disk.position)
            if same and machine.disk.position.epoch >= 0 and machine.disk.items != leader.disk.items:
                raise Broken(f"{machine.address} and {leader.address} end with one change and hold different items")

    def _stored_number(self, machine: Machine) -> int:
        held = machine.disk.item(CONFIG)
        return held["v"] if held is not None else -1
