"""A simulated core: its machines, and the starts and ends of their processes. The rules are checked after each step."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from simnet.clock import Clock
from simnet.core.clients import Clients
from simnet.core.history import History
from simnet.core.links import Links
from simnet.core.machine import Machine
from simnet.core.operators import Operators
from simnet.core.ports import MakeCall
from simnet.core.rules import Rules
from simnet.core.runner import Runner
from thistleusher.control.interface import ServiceOutput
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.transport.messages import AnyMessage

RESTART_S = 0.3  # after the end of a process, until it is started again
STOP_CHECK_S = 0.05  # between looks whether a process may end, and from then until it does
GRACE_S = 6.0  # from SIGTERM to SIGKILL
CONTACT_S = 0.7  # a lease and a little: how old the newest message of a majority may be for one that answers
CALM_CHECK_S = 0.2  # between looks at what must hold in calm
SLOW = 10.0  # times the usual delay, from which links are slow
CATCH_UP_S, SLOW_CATCH_UP_S = 4.0, 6.0  # the users' figure; for five machines and for slow links
NEAR_S, FAR_S = 0.0002, 0.0015  # one way, in a zone and between zones
ZONES = ("a", "b", "a", "c", "b")


class Cluster:
    """A core of some machines. All that happens is drawn from one seed."""

    def __init__(self, seed: int, machines: int = 3, followers: int = 2, slow: float = 1.0) -> None:
        """`slow`: times the usual delay between machines, which makes more orders of messages likely."""
        self.size = machines
        self.slow = slow
        self.tolerance = machines // 2
        self.catch_up_s = CATCH_UP_S if machines == 3 and slow < SLOW else SLOW_CATCH_UP_S
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.links = Links(self.clock, self.rng, self._deliver, self._delay)
        self.log: list[str] = []
        self.history = History()
        self.operators = Operators(self)
        self.calm_since = 0.0  # when the last fault ended; in the future while there is any
        self.version = 0  # the highest that an operator has sent
        self.machines: dict[str, Machine] = {}
        for n in range(machines):
            self._new_machine(f"10.0.0.{n + 1}", ZONES[n])
        self.seeds = sorted(self.machines)[:3]
        self.clients = Clients(self, followers)
        self.rules = Rules(self.clock, self.machines, self.clients, self.history, machines)
        self.clock.after_each = self.rules.check
        self._runner = Runner(
            self.clock, self.rng, self.links, self.machines, self.operators, self.rules, self.in_contact, self.note
        )
        for machine in self.machines.values():
            self.start(machine, bootstrap=True)
        self.clock.later(CALM_CHECK_S, self._check_calm)

    def _new_machine(self, address: str, zone: str) -> Machine:
        machine = Machine(address, zone, self.rng)
        self.machines[address] = machine
        return machine

    # Which machines.

    def time(self, machine: Machine) -> float:
        """Return what a machine's own steady clock shows."""
        return machine.time(self.clock.now)

    def running(self) -> list[Machine]:
        """Return the machines whose process runs."""
        return [machine for machine in self.machines.values() if machine.node is not None]

    def present(self) -> list[Machine]:
        """Return the machines that are not gone for good."""
        return [machine for machine in self.machines.values() if not machine.gone]

    def lease_holder(self) -> Machine | None:
        """Return the leader whose lease stands."""
        return next((machine for machine in self.running() if machine.holds_lease(self.clock.now)), None)

    def leader(self) -> Machine | None:
        """Return the leader of the highest epoch, whether or not its lease stands."""
        leaders = [m for m in self.running() if m.node is not None and m.node.leadership is not None]
        return max(leaders, key=lambda m: m.node.leadership.view.epoch, default=None)  # type: ignore[union-attr]

    def in_contact(self, machine: Machine) -> bool:
        """Return whether a majority of its voters has spoken to a machine of late, by what the links have carried."""
        view = machine.node.view if machine.node is not None else None
        if view is None:
            return False
        since = self.clock.now - CONTACT_S
        return view.has_majority([machine.address, *(a for a, at in machine.last_heard.items() if at >= since)])

    # What happens.

    def note(self, text: str) -> None:
        """Add a line to the log of what happened."""
        self.log.append(f"{self.clock.now:8.3f} {text}")

    def disturb(self, until: float) -> None:
        """Count as calm only from some time on."""
        self.calm_since = max(self.calm_since, until)

    def _check_calm(self) -> None:
        self.rules.check_calm(self.lease_holder(), self.clock.now - self.calm_since)
        self.clock.later(CALM_CHECK_S, self._check_calm)

    # Starts.

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a machine's process with the settings of this moment."""
        if machine.node is not None or machine.gone:
            return
        self._begin_incarnation(machine)
        machine.dark = False
        machine.terminating = False
        stored = machine.disk.stored()
        rng = random.Random(self.rng.random())
        now = self.time(machine)
        node = ControlNode(
            machine.address, machine.zone, self.seeds, bootstrap, stored, now, rng, tolerance=self.tolerance
        )
        machine.service = ControlService(node, LeaseGrantor(now, stored.leases))
        self.clients.connect_all(machine)
        self._runner.tick(machine, machine.incarnation)
        for other in self.machines.values():
            if other is not machine:
                self.connect(other, machine)

    def _begin_incarnation(self, machine: Machine) -> None:
        machine.begin_incarnation()
        self.links.incarnations[machine.address] = machine.incarnation

    def connect(self, machine: Machine, other: Machine) -> None:
        """Let a machine's connection to another one stand anew, once a way there and back is open."""

        def connected() -> None:
            there = self.links.is_open(machine.address, other.address)
            if there and self.links.is_open(other.address, machine.address):
                self._runner.submit(machine, lambda service, now: service.connected(now, other.address))

        if other.node is not None:
            self.clock.later(2 * self._delay(machine.address, other.address), connected)

    def add(self, zone: str | None = None) -> Machine:
        """Start a machine with an empty disk at a new address; its settings name machines that are there now."""
        zones = sorted({machine.zone for machine in self.machines.values()})
        machine = self._new_machine(f"10.0.1.{len(self.machines) + 1}", zone or self.rng.choice(zones))
        self.note(f"{machine.address} is new, in zone {machine.zone}")
        self.disturb(self.clock.now)
        self.change_seeds()
        self.start(machine)
        return machine

    # Ends.

    def end(self, machine: Machine, power: bool = False, wipe: bool = False, back_s: float | None = None) -> None:
        """End a process at once, with or without its machine's power and disk; start it again after `back_s`."""
        self.disturb(self.clock.now + (back_s or 0.0))
        if machine.node is None:
            return
        self.note(f"{machine.address} ends{' without power' * power}{', its disk is lost' * wipe}")
        machine.service = None
        machine.dark = power
        machine.terminating = False
        machine.disk.lose_process()
        if wipe:
            machine.disk.wipe()
        self._begin_incarnation(machine)
        if back_s is not None:
            self.clock.later(back_s, lambda: self.start(machine))

    def terminate(self, machine: Machine, back_s: float | None = RESTART_S) -> None:
        """Send SIGTERM: the process hands over its role and ends, within the time of grace."""
        if machine.node is None or machine.terminating:
            return
        incarnation = machine.incarnation
        machine.terminating = True
        self.disturb(self.clock.now)
        self.note(f"{machine.address} is terminated")

        def end() -> None:
            if machine.incarnation == incarnation and machine.node is not None:
                self.end(machine, back_s=back_s)

        def check() -> None:
            if machine.incarnation != incarnation or machine.node is None:
                return
            can_stop = machine.node.can_stop and not machine.inbox
            self.clock.later(STOP_CHECK_S, end if can_stop else check)

        self._runner.submit(machine, lambda service, now: service.stop(now))
        self.clock.later(STOP_CHECK_S, check)
        self.clock.later(GRACE_S, end)

    def remove(self, machine: Machine) -> None:
        """Remove a machine for good, with its disk."""
        self.end(machine, power=True)
        machine.gone = True

    # Settings.

    def change_seeds(self, first: Sequence[Machine] = ()) -> None:
        """Have the settings name other seeds: those given, then the newest machines."""
        present = sorted((machine.address for machine in self.present()), reverse=True)
        named = [machine.address for machine in first]
        self.seeds = [*named, *(address for address in present if address not in named)][:3]

    def reload_settings(self, machine: Machine) -> None:
        """Send SIGHUP: a process reads its settings again."""
        seeds = list(self.seeds)

        def reload(service: ControlService, now: float) -> list[ServiceOutput]:
            service.node.add_seeds(seeds)
            return []

        self._runner.submit(machine, reload)

    # Calls and messages.

    def call(self, machine: Machine, make: MakeCall, taken: Callable[[int], None]) -> None:
        """Have an operator's call reach a machine's sockets; `taken` gets its id once the process takes it."""

        def take(service: ControlService, now: float) -> list[ServiceOutput]:
            taken(service.next_call_id)
            return service.submit(now, make)[1]

        self._runner.submit(machine, take)

    def _delay(self, a: str, b: str) -> float:
        if a not in self.machines or b not in self.machines:
            return FAR_S * self.slow
        same_zone = self.machines[a].zone == self.machines[b].zone
        return (NEAR_S if same_zone else FAR_S) * self.slow

    def _deliver(self, to: str, sender: str, message: AnyMessage) -> None:
        if to in self.machines:
            self._runner.deliver(self.machines[to], sender, message)
        else:
            self.clients.deliver(to, sender, message)
