"""An exhaustive search in a small world: every order of what can happen next, to a stated depth.

Three voters and two changes, at most one kill, one cut, one loss of a disk, and a few passings of time; a fourth
machine waits for a vote where a membership change is searched. What can happen next is one of: the oldest message of a
connection arrives, the oldest write of a disk ends, an operator sends a change, a fault, time passes. States that have
been met are not gone on from. After each step: an epoch has one leader and three voters, one machine at most holds the
lease, and whoever holds it has every change that was acknowledged; so has some holder of the newest view, on its disk.

A search begins where the core is calm, where a leader has just been lost, or where a voter has just been lost while a
learner waits. These worlds are driven there in one order, and copied.
"""

from __future__ import annotations

import copy
import functools
import random
import types
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from simnet.core.history import CONFIG, order_in
from simnet.errors import RuleViolationError
from thistleusher.control.interface import Answer, Change, Output, Send, StoredState, Write
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import AnyMessage, Position, RecordView, ViewRecord, VoteRequest
from thistleusher.transport.state_updates import State

VOTERS = {"1": "a", "2": "b", "3": "a"}
LEARNER, LEARNER_ZONE = "4", "b"
VIEW = ViewRecord(1, "1", ("2",), VOTERS)
BEGIN = 100.0
STEP_S = 0.05  # of time at once while a world is driven to where a search begins
PASS_S = 0.95  # of time at once in a search: longer than a voter's guard, so that the next in turn asks
SETTLE_S = 6.0  # in which a driven world must be where the search begins
LONG_AGO_S = 9.0  # times that lie further back are all alike
TIMES = (BEGIN - 50.0, BEGIN + 200.0)  # numbers between these are times

Step = tuple[str, ...]


class Budget(NamedTuple):
    """What may happen at most, on one path."""

    changes: int = 2
    kills: int = 1
    cuts: int = 1
    wipes: int = 1
    passes: int = 2


class Steady(random.Random):
    """Draws nothing: the search goes through the orders itself."""

    def random(self) -> float:
        return 0.5

    def __deepcopy__(self, memo: dict[int, Any]) -> Steady:
        return self


STEADY = Steady(1)


class World:
    """One state, made by steps."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.disks = {ip: StoredState(promised=1, view=VIEW) for ip in VOTERS}
        for ip in VIEW.replica_set:
            disk = self.disks[ip]
            disk.items, disk.position = {CONFIG: (1, {"v": 0, "z": ""})}, Position(1, 1, 1)
        self.wires: dict[tuple[str, str], deque[AnyMessage]] = {}
        self.writes: dict[str, deque[Write]] = {ip: deque() for ip in VOTERS}
        self.cut: set[tuple[str, str]] = set()
        self.gone: set[str] = set()
        self.used = {"change": 0, "kill": 0, "cut": 0, "wipe": 0, "pass": 0}
        self.epochs: dict[int, str] = {}
        self.acknowledged = 0
        self.nodes: dict[str, ControlNode] = {ip: self._started(ip, VOTERS[ip]) for ip in VOTERS}

    def _started(self, ip: str, zone: str) -> ControlNode:
        stored = copy.deepcopy(self.disks[ip])
        return ControlNode(ip, zone, sorted(VOTERS), False, stored, self.now, STEADY, tolerance=1)

    def add(self, ip: str, zone: str) -> None:
        """A machine with an empty disk."""
        self.disks[ip] = StoredState()
        self.writes[ip] = deque()
        self.nodes[ip] = self._started(ip, zone)

    def lose(self, ip: str) -> None:
        """A machine is gone for good."""
        self.gone.add(ip)
        del self.nodes[ip], self.writes[ip]
        for pair, waiting in self.wires.items():
            if ip in pair:
                waiting.clear()

    def leader(self) -> str | None:
        """Who holds the lease."""
        return next(
            (ip for ip, node in self.nodes.items() if node.leadership is not None and node.holds_lease(self.now)), None
        )

    # What can happen.

    def choices(self, budget: Budget) -> Iterator[Step]:
        """All that can happen next."""
        yield from self.due()
        if self.used["change"] < budget.changes:
            yield "change", self.leader() or min(self.nodes)
        if self.used["kill"] < budget.kills:
            yield from (("kill", ip) for ip in self.nodes)
        if self.used["wipe"] < budget.wipes and not self.gone:
            yield from (("wipe", ip) for ip in self.nodes)
        if self.used["cut"] < budget.cuts:
            yield from (("cut", a, b) for a in self.nodes for b in self.nodes if a != b and (a, b) not in self.cut)
        if self.used["pass"] < budget.passes:
            yield ("pass",)

    def due(self) -> Iterator[Step]:
        """What is under way: arrivals and ends of writes."""
        for (a, b), waiting in self.wires.items():
            if waiting:
                yield "arrive", a, b
        for ip, writes in self.writes.items():
            if writes:
                yield "written", ip

    def step(self, what: Step) -> None:
        """Have one thing happen, and check the rules."""
        kind, *where = what
        if kind in self.used:
            self.used[kind] += 1
        if kind == "arrive":
            self._arrive(where[0], where[1])
        elif kind == "written":
            self._written(where[0])
        elif kind == "change":
            self._change(where[0])
        elif kind == "cut":  # for good, in one direction; what is under way there is lost
            self.cut.add((where[0], where[1]))
            self.wires.pop((where[0], where[1]), None)
        elif kind in ("kill", "wipe"):
            self._end(where[0], wipe=kind == "wipe")
        elif kind == "pass":
            self.advance(PASS_S)
        self.check()

    def advance(self, for_s: float) -> None:
        """Time passes, and each process sees it once."""
        self.now += for_s
        for ip, node in list(self.nodes.items()):
            self._carry(ip, node.tick(self.now))

    def _arrive(self, sender: str, to: str) -> None:
        message = self.wires[sender, to].popleft()
        self._carry(to, self.nodes[to].receive(self.now, sender, message))

    def _written(self, ip: str) -> None:
        write = self.writes[ip].popleft()
        store(self.disks[ip], write)
        self._carry(ip, self.nodes[ip].write_completed(self.now, write.token, True))

    def _change(self, ip: str) -> None:
        number = self.used["change"]
        change = Change(number, AtLeast(number), Configuration(number), "")
        self._carry(ip, self.nodes[ip].submit(self.now, change))

    def _end(self, ip: str, wipe: bool) -> None:
        """A process ends and is back at once; power goes with its disk, and writes that have not ended are lost."""
        self.writes[ip].clear()
        if wipe:
            self.disks[ip] = StoredState()
        for pair, waiting in self.wires.items():
            if ip in pair:
                waiting.clear()
        self.nodes[ip] = self._started(ip, {**VOTERS, LEARNER: LEARNER_ZONE}[ip])
        for other, node in self.nodes.items():
            if other != ip:
                self._carry(other, node.connected(self.now, ip))

    def _carry(self, ip: str, outputs: Iterable[Output]) -> None:
        for out in outputs:
            if isinstance(out, Send) and out.to in self.nodes and (ip, out.to) not in self.cut:
                self.wires.setdefault((ip, out.to), deque()).append(out.message)
            elif isinstance(out, Write):
                self.writes[ip].append(copy.deepcopy(out))
            elif isinstance(out, Answer) and out.answer is None:
                self.acknowledged = max(self.acknowledged, out.call_id)
            elif isinstance(out, Answer) and isinstance(out.answer, State):
                if order_in(out.answer).number < self.acknowledged:
                    raise RuleViolationError(f"LOST: {ip} answers a read without what was acknowledged")

    # Rules.

    def check(self) -> None:
        """The rules that can be seen in one state."""
        holding = []
        for ip, node in self.nodes.items():
            if node.leadership is None:
                continue
            view = node.leadership.view
            if self.epochs.setdefault(view.epoch, ip) != ip:
                raise RuleViolationError(f"epoch {view.epoch} has two leaders")
            if len(view.voters) != len(VOTERS):
                raise RuleViolationError(f"epoch {view.epoch} has {len(view.voters)} voters")
            if node.holds_lease(self.now):
                holding.append(ip)
                self._check_read(ip, node)
        if len(holding) > 1:
            raise RuleViolationError(f"two hold the lease: {holding}")
        self._check_disks()

    def _check_read(self, ip: str, node: ControlNode) -> None:
        """Who holds the lease has what was acknowledged."""
        if order_in(node.state).number < self.acknowledged:
            raise RuleViolationError(f"LOST: {ip} holds the lease without what was acknowledged")

    def _check_disks(self) -> None:
        views = [disk.view for disk in self.disks.values() if disk.view is not None]
        newest = max(views, key=lambda v: v.epoch)
        holders = [self.disks[ip] for ip in newest.replica_set if ip in self.nodes]
        if not any(d.position.epoch >= newest.epoch and self._stored_number(d) >= self.acknowledged for d in holders):
            raise RuleViolationError("LOST: no holder of the newest view has what was acknowledged on its disk")

    def _stored_number(self, disk: StoredState) -> int:
        return order_in(State(0, disk.items)).number

    def mark(self) -> int:
        """What tells this state from others: all that later steps depend on. Times count from now."""
        nodes = [(ip, Walk(self.now).of(node)) for ip, node in self.nodes.items()]
        rest = Walk(self.now)
        under_way = {pair: waiting for pair, waiting in self.wires.items() if waiting}
        parts = rest.of([self.used, self.cut, self.acknowledged, self.disks, self.writes, under_way])
        return hash((tuple(nodes), parts))


@dataclass(frozen=True, slots=True)
class AtLeast:
    """Whether a state has a configuration of some number or a higher one."""

    number: int

    def __call__(self, state: State) -> bool:
        return order_in(state).number >= self.number


@dataclass(frozen=True, slots=True)
class Configuration:
    """The item of a configuration."""

    number: int

    def __call__(self, state: State) -> dict[str, Any]:
        return {CONFIG: {"v": self.number, "z": ""}}


def store(disk: StoredState, write: Write) -> None:
    """A write is on disk, all of it."""
    records = write.records
    if records.promised is not None:
        disk.promised = records.promised
    if records.view is not None:
        disk.view = records.view
    if records.position is not None:
        disk.position, disk.floor = records.position, records.floor
    if records.items is not None:
        disk.items = {**({} if records.complete else disk.items), **records.items}


class Walk:
    """Turns whatever a process holds in memory into plain values; times become times from now."""

    def __init__(self, now: float) -> None:
        self.now = now
        self._seen: dict[int, int] = {}  # objects that were walked, in the order in which they were met

    def of(self, value: Any) -> Any:
        """One value, with all that it holds."""
        kind = type(value)
        if kind is float:
            return round(max(-LONG_AGO_S, value - self.now), 3) if TIMES[0] < value < TIMES[1] else value
        if kind in PLAIN or isinstance(value, Enum | type):
            return value
        if kind is tuple or kind is list or kind is deque:
            return tuple(map(self.of, value))
        if isinstance(value, Mapping):
            return frozenset((key, self.of(each)) for key, each in value.items())
        if isinstance(value, set | frozenset):
            return frozenset(value)
        if isinstance(value, random.Random):
            return None
        if isinstance(value, types.MethodType):
            return value.__qualname__, self.of(value.__self__)
        if isinstance(value, types.FunctionType) and value.__closure__:
            raise TypeError(f"{value.__qualname__} can not be copied with the state that it refers to")
        return self._object(value)

    def _object(self, value: Any) -> Any:
        met = self._seen.setdefault(id(value), len(self._seen))
        if met < len(self._seen) - 1:
            return met
        return type(value), *(self.of(getattr(value, name, None)) for name in _fields(type(value), value))


PLAIN = frozenset({type(None), bool, int, str, bytes})


@functools.cache
def _slots(kind: type) -> tuple[str, ...]:
    """Names of the fields that a type's objects have, where they have no dictionary."""
    if issubclass(kind, msgspec.Struct):
        return kind.__struct_fields__
    return tuple(name for base in kind.__mro__ for name in getattr(base, "__slots__", ()))


def _fields(kind: type, value: Any) -> tuple[str, ...]:
    return (*_slots(kind), *sorted(getattr(value, "__dict__", ())))


# Where a search begins.


def drive(world: World, until: Callable[[World], bool]) -> World:
    """Let all happen in the order in which it was caused, until something is so."""
    end = world.now + SETTLE_S
    while world.now < end:
        while (step := next(world.due(), None)) is not None:
            if until(world):
                return world
            world.step(step)
        if until(world):
            return world
        world.advance(STEP_S)
    raise AssertionError("the world did not come to where the search begins")


def calm() -> World:
    """A leader holds the lease, and nothing is under way."""

    def settled(world: World) -> bool:
        return world.leader() is not None and world.now > BEGIN + 2.0 and next(world.due(), None) is None

    return drive(World(), settled)


def under_way(world: World, wanted: type[AnyMessage]) -> list[AnyMessage]:
    """Messages of a type that have not arrived."""
    return [m for waiting in world.wires.values() for m in waiting if isinstance(m, wanted)]


def taking_over() -> World:
    """A change was acknowledged, its leader is gone, and a replica has just asked for votes."""
    world = acknowledged()
    leader = world.leader()
    assert leader is not None
    world.step(("kill", leader))
    for other in world.nodes:  # it stays silent
        if other != leader:
            world.cut |= {(leader, other), (other, leader)}
    return drive(world, lambda w: bool(under_way(w, VoteRequest)))


def acknowledged() -> World:
    """A change was acknowledged a moment ago."""
    world = calm()
    world.step(("change", world.leader() or ""))
    return drive(world, lambda w: w.acknowledged == 1)


def exchanging() -> World:
    """A voter is gone for good, and the view that has a learner in its place is under way."""
    world = acknowledged()
    gone = next(ip for ip in VOTERS if ip != world.leader())
    world.add(LEARNER, LEARNER_ZONE)
    world.lose(gone)

    def exchanged(w: World) -> bool:
        records = [m for m in under_way(w, RecordView) if isinstance(m, RecordView)]
        return any(LEARNER in m.view.voters for m in records)

    return drive(world, exchanged)


BEGINNINGS: dict[str, Callable[[], World]] = {
    "calm": calm,
    "acknowledged": acknowledged,
    "taking over": taking_over,
    "exchanging": exchanging,
}


class SearchResult(NamedTuple):
    """A search's end: states met, the depth that was whole, and the steps to a broken rule, if any."""

    states: int
    depth: int
    steps: tuple[Step, ...] | None
    why: str


class Reached(NamedTuple):
    """A state that is to be gone on from, and how it was reached."""

    world: World
    steps: tuple[Step, ...]


def search(
    depth: int,
    budget: Budget | None = None,
    beginning: str = "calm",
    go_on: Callable[[], bool] = lambda: True,
) -> SearchResult:
    """All states within `depth` steps after a beginning, nearest first; `go_on` is asked before each."""
    budget = budget or Budget()
    first = BEGINNINGS[beginning]()
    first.used = dict.fromkeys(first.used, 0)
    first.used["change"] = first.acknowledged
    met = {first.mark()}
    level = [Reached(first, ())]
    for at in range(depth):
        following: list[Reached] = []
        for reached in level:
            if not go_on():
                return SearchResult(len(met), at, None, "")
            for choice in list(reached.world.choices(budget)):
                world, steps = copy.deepcopy(reached.world), (*reached.steps, choice)
                try:
                    world.step(choice)
                except RuleViolationError as broken:
                    return SearchResult(len(met), at, steps, str(broken))
                mark = world.mark()
                if mark not in met:
                    met.add(mark)
                    following.append(Reached(world, steps))
        level = following
    return SearchResult(len(met), depth, None, "")
