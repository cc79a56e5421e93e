"""A simulated core: its machines, and the starts and ends of their processes.

The rules are checked after each step.
"""

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

RESTART_S = 0.3  # delay from the end of a terminated process to its next start
STOP_CHECK_S = 0.05  # interval of checks whether a process may exit, and delay from then to its exit
TERMINATION_GRACE_S = 6.0  # delay from SIGTERM to SIGKILL
MAX_CONTACT_AGE_S = 0.7  # maximum age of the newest messages of a majority: slightly more than the lease duration
FAULT_FREE_CHECK_S = 0.2  # interval of the checks of rules that apply without faults
SLOW_LINK_FACTOR = 10.0  # links with at least this factor on the usual delay count as slow
# Time in which a machine that was lost catches up: as required, and for five machines or slow links.
CATCH_UP_S, SLOW_CATCH_UP_S = 4.0, 6.0
SAME_ZONE_S, CROSS_ZONE_S = 0.0002, 0.0015  # one-way delays, within a zone and between zones
ZONES = ("a", "b", "a", "c", "b")


class Cluster:
    """A simulated core of several machines. All random choices derive from one seed."""

    def __init__(self, seed: int, machines: int = 3, followers: int = 2, slow: float = 1.0) -> None:
        """Create the machines and start their processes.

        `slow` is a factor on the delay between machines. A larger delay makes more interleavings of messages likely.
        """
        self.size = machines
        self.slow = slow
        self.tolerance = machines // 2
        self.catch_up_s = CATCH_UP_S if machines == 3 and slow < SLOW_LINK_FACTOR else SLOW_CATCH_UP_S
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.links = Links(self.clock, self.rng, self._deliver, self._delay)
        self.log: list[str] = []
        self.history = History()
        self.operators = Operators(self)
        self.fault_free_since = 0.0  # end of the last fault, in the future during a fault
        self.version = 0  # highest configuration number that an operator has sent
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
        self.clock.later(FAULT_FREE_CHECK_S, self._check_fault_free)

    def _new_machine(self, address: str, zone: str) -> Machine:
        machine = Machine(address, zone, self.rng)
        self.machines[address] = machine
        return machine

    # Queries.

    def time(self, machine: Machine) -> float:
        """Return the reading of a machine's steady clock, in seconds."""
        return machine.time(self.clock.now)

    def running(self) -> list[Machine]:
        """Return the machines whose process runs."""
        return [machine for machine in self.machines.values() if machine.node is not None]

    def present(self) -> list[Machine]:
        """Return the machines that are not removed."""
        return [machine for machine in self.machines.values() if not machine.removed]

    def lease_holder(self) -> Machine | None:
        """Return the leader that holds a valid lease, or None."""
        return next((machine for machine in self.running() if machine.holds_lease(self.clock.now)), None)

    def leader(self) -> Machine | None:
        """Return the leader of the highest epoch, whether or not its lease is valid."""
        leaders = [m for m in self.running() if m.node is not None and m.node.leadership is not None]
        return max(leaders, key=lambda m: m.node.leadership.view.epoch, default=None)  # type: ignore[union-attr]

    def in_contact(self, machine: Machine) -> bool:
        """Return whether a majority of a machine's voters sent it messages in the last `MAX_CONTACT_AGE_S`.

        The times of sending come from the simulated links, not from the machine's own state.
        """
        view = machine.node.view if machine.node is not None else None
        if view is None:
            return False
        since = self.clock.now - MAX_CONTACT_AGE_S
        return view.has_majority([machine.address, *(a for a, at in machine.last_heard.items() if at >= since)])

    # Log and fault periods.

    def note(self, text: str) -> None:
        """Add a line to the log of the run."""
        self.log.append(f"{self.clock.now:8.3f} {text}")

    def extend_fault_period(self, until: float) -> None:
        """Extend the period of faults to the time `until`."""
        self.fault_free_since = max(self.fault_free_since, until)

    def _check_fault_free(self) -> None:
        self.rules.check_fault_free(self.lease_holder(), self.clock.now - self.fault_free_since)
        self.clock.later(FAULT_FREE_CHECK_S, self._check_fault_free)

    # Starts.

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a machine's process with the current settings. A founder first writes its record."""
        if machine.node is not None or machine.starting or machine.removed:
            return
        self._begin_incarnation(machine)
        machine.powered_off = False
        machine.terminating = False
        if bootstrap and machine.disk.may_found():
            self._write_founding_record(machine, machine.incarnation)
        else:
            self._run(machine)

    def _write_founding_record(self, machine: Machine, incarnation: int) -> None:
        """Write the founder's record, again and again while the disk refuses it; then run the process."""
        machine.starting = True

        def written() -> None:
            if machine.incarnation != incarnation:
                return
            if machine.disk.end():
                machine.starting = False
                self._run(machine)
            else:
                self._write_founding_record(machine, incarnation)

        self.clock.at(machine.disk.begin_founding(self.clock.now, self.seeds), written)

    def _run(self, machine: Machine) -> None:
        stored = machine.disk.stored()
        rng = random.Random(self.rng.random())
        now = self.time(machine)
        node = ControlNode(machine.address, machine.zone, self.seeds, stored, now, rng, tolerance=self.tolerance)
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
        """Reconnect a machine to another one, if messages pass in both directions after a round trip."""

        def connected() -> None:
            there = self.links.is_open(machine.address, other.address)
            if there and self.links.is_open(other.address, machine.address):
                self._runner.submit(machine, lambda service, now: service.connected(now, other.address))

        if other.node is not None:
            self.clock.later(2 * self._delay(machine.address, other.address), connected)

    def add(self, zone: str | None = None) -> Machine:
        """Start a machine with an empty disk at a new address; its seed addresses are machines that exist now."""
        zones = sorted({machine.zone for machine in self.machines.values()})
        machine = self._new_machine(f"10.0.1.{len(self.machines) + 1}", zone or self.rng.choice(zones))
        self.note(f"{machine.address} is new, in zone {machine.zone}")
        self.extend_fault_period(self.clock.now)
        self.change_seeds()
        self.start(machine)
        return machine

    # Ends.

    def end(
        self,
        machine: Machine,
        power: bool = False,
        wipe: bool = False,
        restart_s: float | None = None,
        bootstrap: bool = False,
    ) -> None:
        """End a process at once; start it again after `restart_s` seconds, if given.

        `power`: the machine loses power too. `wipe`: its disk is lost. `bootstrap`: as in the settings of that start.
        """
        self.extend_fault_period(self.clock.now + (restart_s or 0.0))
        if machine.node is None and not machine.starting:
            return
        self.note(f"{machine.address} ends{' without power' * power}{', its disk is lost' * wipe}")
        machine.service = None
        machine.starting = False
        machine.powered_off = power
        machine.terminating = False
        machine.disk.abort_writes()
        if wipe:
            machine.disk.wipe()
        self._begin_incarnation(machine)
        if restart_s is not None:
            self.clock.later(restart_s, lambda: self.start(machine, bootstrap))

    def terminate(self, machine: Machine, restart_s: float | None = RESTART_S) -> None:
        """Send SIGTERM: the process hands over its role and exits, at the latest after `TERMINATION_GRACE_S`."""
        if machine.node is None or machine.terminating:
            return
        incarnation = machine.incarnation
        machine.terminating = True
        self.extend_fault_period(self.clock.now)
        self.note(f"{machine.address} is terminated")

        def end() -> None:
            if machine.incarnation == incarnation and machine.node is not None:
                self.end(machine, restart_s=restart_s)

        def check() -> None:
            if machine.incarnation != incarnation or machine.node is None:
                return
            can_stop = machine.node.can_stop and not machine.inbox
            self.clock.later(STOP_CHECK_S, end if can_stop else check)

        self._runner.submit(machine, lambda service, now: service.stop(now))
        self.clock.later(STOP_CHECK_S, check)
        self.clock.later(TERMINATION_GRACE_S, end)

    def remove(self, machine: Machine) -> None:
        """Remove a machine for good; its disk is used again only if a fault restarts the removed machine."""
        self.end(machine, power=True)
        machine.removed = True

    # Settings.

    def change_seeds(self, first: Sequence[Machine] = ()) -> None:
        """Change the seed addresses in the settings to the given machines, then the newest ones."""
        present = sorted((machine.address for machine in self.present()), reverse=True)
        named = [machine.address for machine in first]
        self.seeds = [*named, *(address for address in present if address not in named)][:3]

    def reload_settings(self, machine: Machine) -> None:
        """Send SIGHUP: the process reads its settings again."""
        seeds = list(self.seeds)

        def reload(service: ControlService, now: float) -> list[ServiceOutput]:
            service.node.add_seeds(seeds)
            return []

        self._runner.submit(machine, reload)

    # Calls and messages.

    def call(self, machine: Machine, make: MakeCall, on_accepted: Callable[[int], None]) -> None:
        """Deliver an operator's call to a machine; `on_accepted` gets the call id when the process accepts the call."""

        def take(service: ControlService, now: float) -> list[ServiceOutput]:
            on_accepted(service.next_call_id)
            return service.submit(now, make)[1]

        self._runner.submit(machine, take)

    def _delay(self, a: str, b: str) -> float:
        if a not in self.machines or b not in self.machines:
            return CROSS_ZONE_S * self.slow
        same_zone = self.machines[a].zone == self.machines[b].zone
        return (SAME_ZONE_S if same_zone else CROSS_ZONE_S) * self.slow

    def _deliver(self, to: str, sender: str, message: AnyMessage) -> None:
        if to in self.machines:
            self._runner.deliver(self.machines[to], sender, message)
        else:
            self.clients.deliver(to, sender, message)
