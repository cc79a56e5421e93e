"""The small world that is searched: three voters, their disks, and the messages in flight between them.

Rules after each step: an epoch has one leader and three voters, at most one machine holds the lease, and the lease
holder has every acknowledged change. At least one member of the newest view's replica set has them on its disk.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from simnet.core.history import CONFIG, order_in
from simnet.errors import RuleViolationError
from simnet.search.fingerprint import Fingerprint
from simnet.search.steps import LIMITED_KINDS, Budget, Step, StepKind
from thistleusher.control.interface import Answer, Change, Output, Send, StoredState, Write
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import AnyMessage, Position, ViewRecord
from thistleusher.transport.state_updates import State

VOTERS = {"1": "a", "2": "b", "3": "a"}  # address -> zone
LEARNER, LEARNER_ZONE = "4", "b"
ZONES = {**VOTERS, LEARNER: LEARNER_ZONE}
FIRST_VIEW = ViewRecord(1, "1", ("2",), VOTERS)
START_TIME = 100.0
EARLIEST_TIME, LATEST_TIME = START_TIME - 50.0, START_TIME + 200.0  # floats between these are times
TIME_STEP_S = 0.95  # time step, longer than a voter's guard time, so that the next candidate requests votes


class ConstantRandom(random.Random):
    """A random generator without randomness: the search itself covers all orders."""

    def random(self) -> float:
        """Return a constant."""
        return 0.5

    def __deepcopy__(self, memo: dict[int, Any]) -> ConstantRandom:
        return self


CONSTANT_RANDOM = ConstantRandom(1)


class SmallWorld:
    """One state of the world; steps change it."""

    def __init__(self) -> None:
        self.now = START_TIME
        self.disks = {address: StoredState(promised=1, view=FIRST_VIEW) for address in VOTERS}
        for address in FIRST_VIEW.replica_set:
            disk = self.disks[address]
            disk.items = {CONFIG: (1, {"v": 0, "z": ""})}
            disk.position = Position(1, 1, 1)
        self.in_flight: dict[tuple[str, str], deque[AnyMessage]] = {}  # (sender, receiver) -> messages
        self.pending_writes: dict[str, deque[Write]] = {address: deque() for address in VOTERS}
        self.cut: set[tuple[str, str]] = set()
        self.removed: set[str] = set()
        self.counts: dict[StepKind, int] = dict.fromkeys(LIMITED_KINDS, 0)
        self.epochs: dict[int, str] = {}  # epoch -> its leader
        self.acknowledged = 0  # highest number of an acknowledged change
        self.nodes: dict[str, ControlNode] = {address: self._started(address) for address in VOTERS}

    def _started(self, address: str) -> ControlNode:
        stored = copy.deepcopy(self.disks[address])
        zone = ZONES[address]
        return ControlNode(address, zone, sorted(VOTERS), stored, self.now, CONSTANT_RANDOM, tolerance=1)

    def add(self, address: str) -> None:
        """Start a machine with an empty disk."""
        self.disks[address] = StoredState()
        self.pending_writes[address] = deque()
        self.nodes[address] = self._started(address)

    def remove(self, address: str) -> None:
        """Remove a machine for good."""
        self.removed.add(address)
        del self.nodes[address], self.pending_writes[address]
        self._drop_in_flight(address)

    def _drop_in_flight(self, address: str) -> None:
        for pair, messages in self.in_flight.items():
            if address in pair:
                messages.clear()

    def lease_holder(self) -> str | None:
        """Return the address of the lease holder, or None."""
        for address, node in self.nodes.items():
            if node.leadership is not None and node.holds_lease(self.now):
                return address
        return None

    # Steps.

    def choices(self, budget: Budget) -> Iterator[Step]:
        """Yield all steps that are possible next, within the budget."""
        yield from self.due()
        if self._allows(budget, StepKind.CHANGE):
            yield Step(StepKind.CHANGE, (self.lease_holder() or min(self.nodes),))
        if self._allows(budget, StepKind.KILL):
            yield from (Step(StepKind.KILL, (address,)) for address in self.nodes)
        if self._allows(budget, StepKind.WIPE) and not self.removed:
            yield from (Step(StepKind.WIPE, (address,)) for address in self.nodes)
        if self._allows(budget, StepKind.CUT):
            pairs = [(a, b) for a in self.nodes for b in self.nodes if a != b]
            yield from (Step(StepKind.CUT, pair) for pair in pairs if pair not in self.cut)
        if self._allows(budget, StepKind.PASS):
            yield Step(StepKind.PASS)

    def _allows(self, budget: Budget, kind: StepKind) -> bool:
        return budget.allows(kind, self.counts[kind])

    def due(self) -> Iterator[Step]:
        """Yield the steps that are in progress: arrivals of messages and ends of writes."""
        for pair, messages in self.in_flight.items():
            if messages:
                yield Step(StepKind.ARRIVE, pair)
        for address, writes in self.pending_writes.items():
            if writes:
                yield Step(StepKind.WRITTEN, (address,))

    def step(self, step: Step) -> None:
        """Execute one step. Raises RuleViolationError if a rule is broken afterwards."""
        kind, machines = step
        if kind in self.counts:
            self.counts[kind] += 1
        if kind is StepKind.ARRIVE:
            self._arrive(*machines)
        elif kind is StepKind.WRITTEN:
            self._complete_write(*machines)
        elif kind is StepKind.CHANGE:
            self._change(*machines)
        elif kind is StepKind.CUT:
            self._cut(*machines)
        elif kind is StepKind.PASS:
            self.advance(TIME_STEP_S)
        else:
            self._restart(machines[0], disk_lost=kind is StepKind.WIPE)
        self.check()

    def advance(self, duration_s: float) -> None:
        """Advance the time, and tick each process once."""
        self.now += duration_s
        for address, node in list(self.nodes.items()):
            self._execute(address, node.tick(self.now))

    def _arrive(self, sender: str, to: str) -> None:
        message = self.in_flight[sender, to].popleft()
        self._execute(to, self.nodes[to].receive(self.now, sender, message))

    def _complete_write(self, address: str) -> None:
        write = self.pending_writes[address].popleft()
        apply_write(self.disks[address], write)
        self._execute(address, self.nodes[address].write_completed(self.now, write.token, True))

    def _change(self, address: str) -> None:
        number = self.counts[StepKind.CHANGE]
        change = Change(number, IsAtLeast(number), ConfigurationItem(number), "")
        self._execute(address, self.nodes[address].submit(self.now, change))

    def _cut(self, sender: str, to: str) -> None:
        """Partition two machines for good, in one direction; messages in flight there are lost."""
        self.cut.add((sender, to))
        self.in_flight.pop((sender, to), None)

    def _restart(self, address: str, disk_lost: bool) -> None:
        """End a process and start it at once; its pending writes are lost, and its disk too if `disk_lost` is set."""
        self.pending_writes[address].clear()
        if disk_lost:
            self.disks[address] = StoredState()
        self._drop_in_flight(address)
        self.nodes[address] = self._started(address)
        for other, node in self.nodes.items():
            if other != address:
                self._execute(other, node.connected(self.now, address))

    def _execute(self, address: str, outputs: Iterable[Output]) -> None:
        for out in outputs:
            if isinstance(out, Send) and out.destination in self.nodes and (address, out.destination) not in self.cut:
                self.in_flight.setdefault((address, out.destination), deque()).append(out.message)
            elif isinstance(out, Write):
                self.pending_writes[address].append(copy.deepcopy(out))
            elif isinstance(out, Answer):
                self._take_answer(address, out)

    def _take_answer(self, address: str, answer: Answer) -> None:
        if answer.answer is None:
            self.acknowledged = max(self.acknowledged, answer.call_id)
        elif isinstance(answer.answer, State) and order_in(answer.answer).number < self.acknowledged:
            raise RuleViolationError(
                f"LOST: {address} answers a read without change {self.acknowledged}, which was acknowledged"
            )

    # Rules.

    def check(self) -> None:
        """Check the rules on the current state."""
        holders = []
        for address, node in self.nodes.items():
            if node.leadership is None:
                continue
            view = node.leadership.view
            if self.epochs.setdefault(view.epoch, address) != address:
                raise RuleViolationError(f"epoch {view.epoch} has two leaders")
            if len(view.voters) != len(VOTERS):
                raise RuleViolationError(f"epoch {view.epoch} has {len(view.voters)} voters")
            if node.holds_lease(self.now):
                holders.append(address)
                self._check_lease_holder(address, node)
        if len(holders) > 1:
            raise RuleViolationError(f"several machines hold the lease: {holders}")
        self._check_disks()

    def _check_lease_holder(self, address: str, node: ControlNode) -> None:
        if order_in(node.state).number < self.acknowledged:
            raise RuleViolationError(
                f"LOST: {address} holds the lease without change {self.acknowledged}, which was acknowledged"
            )

    def _check_disks(self) -> None:
        views = [disk.view for disk in self.disks.values() if disk.view is not None]
        newest = max(views, key=lambda view: view.epoch)
        holders = [self.disks[address] for address in newest.replica_set if address in self.nodes]
        if not any(d.position.epoch >= newest.epoch and self._has_acknowledged(d) for d in holders):
            raise RuleViolationError(f"LOST: no replica of the newest view has change {self.acknowledged} on its disk")

    def _has_acknowledged(self, disk: StoredState) -> bool:
        return order_in(State(0, disk.items)).number >= self.acknowledged

    def fingerprint(self) -> int:
        """Return a hash of all that later steps depend on, with times relative to now."""
        nodes = [(address, self._new_fingerprint().of(node)) for address, node in self.nodes.items()]
        in_flight = {pair: messages for pair, messages in self.in_flight.items() if messages}
        others = [self.counts, self.cut, self.acknowledged, self.disks, self.pending_writes, in_flight]
        return hash((tuple(nodes), self._new_fingerprint().of(others)))

    def _new_fingerprint(self) -> Fingerprint:
        return Fingerprint(self.now, EARLIEST_TIME, LATEST_TIME)


@dataclass(frozen=True, slots=True)
class IsAtLeast:
    """A predicate: the configuration of a state has at least this number. Unlike a closure it can be copied."""

    number: int

    def __call__(self, state: State) -> bool:
        """Return whether the predicate holds for a state."""
        return order_in(state).number >= self.number


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """A function that returns the item of a configuration. Unlike a closure it can be copied."""

    number: int

    def __call__(self, state: State) -> dict[str, Any]:
        """Return the item, whatever the state is."""
        return {CONFIG: {"v": self.number, "z": ""}}


def apply_write(disk: StoredState, write: Write) -> None:
    """Apply all records of a write to a disk."""
    records = write.records
    if records.promised is not None:
        disk.promised = records.promised
    if records.view is not None:
        disk.view = records.view
    if records.position is not None:
        disk.position = records.position
        disk.floor = records.floor
    if records.items is not None:
        disk.items = {**({} if records.complete else disk.items), **records.items}
