"""An exhaustive search in the smallest world: every order of what can happen next, to a stated depth.

Three machines in office, two changes, at most one kill, one cut, one loss of a disk, and a few passings of time. What
can happen next is one of: the oldest message of a connection arrives, the oldest write of a disk ends, an operator
sends a change, a fault, time passes. States that have been met are not gone on from. After each step: an epoch has
one primary, one machine at most holds the office, and whoever holds it has every change that was acknowledged; so has
some holder of the newest view, on its disk.

States hold what is to be done after a write as closures, which cannot be copied: each is made anew from its steps.
Cost: one world of `depth` steps a state, about a millisecond at ten.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from roadspur.control.control import Control
from roadspur.control.parts import Answer, Change, Office, Outputs, Send, Write
from roadspur.control.views import Copy, Kept, View
from roadspur.transport.news import Item, State
from simnet.core import Broken

IPS = ("1", "2", "3")
VIEW = View(1, "1", ("2",), {"1": "a", "2": "b", "3": "a"})
PASS_S = 0.95  # of time at once: longer than the guard, so that the next in turn asks
BEGIN = 100.0

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


STEADY = Steady(1)


class World:
    """One state, made by steps."""

    def __init__(self) -> None:
        self.now = BEGIN
        base = State(1, {"config": Item(1, {"v": 0})})
        self.disks: dict[str, dict[str, Any]] = {ip: {"promise": {"e": 1}, "view": VIEW.packed()} for ip in IPS}
        for ip in VIEW.holders:
            self.disks[ip]["copy"] = Copy(1, base).packed()
        self.wires: dict[tuple[str, str], deque[dict[str, Any]]] = {(a, b): deque() for a in IPS for b in IPS if a != b}
        self.writes: dict[str, deque[Write]] = {ip: deque() for ip in IPS}
        self.cut: set[tuple[str, str]] = set()
        self.used = {"change": 0, "kill": 0, "cut": 0, "wipe": 0, "pass": 0}
        self.epochs: dict[int, str] = {}
        self.acked = 0
        self.controls = {ip: self._started(ip) for ip in IPS}
        for control in self.controls.values():  # as in calm, right after a beat
            control.beat_at = control.primary_at = self.now
        self.controls["1"].office = Office(VIEW, dict.fromkeys(IPS, self.now), self.now, {"2": self.now})

    def _started(self, ip: str) -> Control:
        r = self.disks[ip]
        kept = Kept(r["promise"]["e"] if "promise" in r else 0, View.unpacked(r["view"]) if "view" in r else None,
                    Copy.unpacked(r["copy"]) if "copy" in r else Copy())
        return Control(ip, VIEW.electorate[ip], IPS, False, kept, self.now, STEADY)

    def choices(self, budget: Budget) -> Iterator[Step]:
        """All that can happen next."""
        for (a, b), waiting in self.wires.items():
            if waiting:
                yield "arrive", a, b
        for ip, writes in self.writes.items():
            if writes:
                yield "written", ip
        if self.used["change"] < budget.changes:
            yield "change", next((ip for ip, c in self.controls.items() if c.office is not None), "1")
        if self.used["kill"] < budget.kills:
            yield from (("kill", ip) for ip in IPS)
        if self.used["wipe"] < budget.wipes:
            yield from (("wipe", ip) for ip in IPS)
        if self.used["cut"] < budget.cuts:
            yield from (("cut", a, b) for a, b in self.wires)
        if self.used["pass"] < budget.passes:
            yield ("pass",)

    def step(self, what: Step, again: bool = False) -> None:
        """Have one thing happen, and check the rules; `again`: they held here before."""
        kind, *where = what
        if kind in self.used:
            self.used[kind] += 1
        ip = where[0] if where else ""
        if kind == "arrive":
            table = self.wires[where[0], where[1]].popleft()
            self._carry(where[1], self.controls[where[1]].message(self.now, ip, table))
        elif kind == "written":
            write = self.writes[ip].popleft()
            self.disks[ip].update(write.records)
            self._carry(ip, self.controls[ip].written(self.now, write.token, True))
        elif kind == "change":
            number = self.used["change"]
            self._carry(ip, self.controls[ip].call(self.now, Change(
                number, lambda s: bool(s.value("config")["v"] >= number), lambda s: {"config": {"v": number}}, "")))
        elif kind == "cut":  # for good, in one direction; what is under way there is lost
            self.cut.add((where[0], where[1]))
            self.wires[where[0], where[1]].clear()
        elif kind in ("kill", "wipe"):
            self._end(ip, wipe=kind == "wipe")
        elif kind == "pass":
            self.now += PASS_S
            for name, control in self.controls.items():
                self._carry(name, control.tick(self.now))
        for name, control in self.controls.items():
            if control.office is not None and self.epochs.setdefault(control.office.view.epoch, name) != name:
                raise Broken(f"epoch {control.office.view.epoch} has two primaries")
        if not again:
            self.check()

    def _end(self, ip: str, wipe: bool) -> None:
        """A process ends and is back at once; power goes with its disk, and writes that have not ended are lost."""
        self.writes[ip].clear()
        if wipe:
            self.disks[ip] = {}
        for pair, waiting in self.wires.items():
            if ip in pair:
                waiting.clear()
        self.controls[ip] = self._started(ip)
        for other, control in self.controls.items():
            if other != ip:
                self._carry(other, control.linked(self.now, ip))

    def _carry(self, ip: str, outputs: Outputs) -> None:
        for out in outputs:
            if isinstance(out, Send) and out.to in self.controls and (ip, out.to) not in self.cut:
                self.wires[ip, out.to].append(out.table)
            elif isinstance(out, Write):
                self.writes[ip].append(out)
            elif isinstance(out, Answer) and out.answer is None:
                self.acked = max(self.acked, int(out.call))

    def check(self) -> None:
        """The rules that can be seen in one state."""
        holding = []
        for ip, control in self.controls.items():
            if control.office is None:
                continue
            if self.now < control.office.until():
                holding.append(ip)
                if control.copy.state.value("config")["v"] < self.acked:
                    raise Broken(f"LOST: {ip} holds the office without what was acknowledged")
        if len(holding) > 1:
            raise Broken(f"two hold the office: {holding}")
        views = [View.unpacked(d["view"]) for d in self.disks.values() if "view" in d]
        newest = max(views, key=lambda v: v.epoch)
        kept = [self.disks[ip]["copy"] for ip in newest.holders if "copy" in self.disks[ip]]
        if not any(c["e"] >= newest.epoch and State.unpacked(c["s"]).value("config")["v"] >= self.acked for c in kept
                   if State.unpacked(c["s"]).value("config") is not None):
            raise Broken("LOST: no holder of the newest view has what was acknowledged on its disk")

    def mark(self) -> str:
        """What tells this state from others: all that later steps depend on. Times count from now."""
        def since(at: float) -> float:
            return round(max(-9.0, at - self.now), 3)
        parts: list[Any] = [sorted(self.used.items()), sorted(self.cut), self.acked]
        for ip, c in self.controls.items():
            office, attempt = c.office, c.attempt
            parts.append((
                c.promised, c.view, c.copy.packed(), c.forgot, c.asker, c.told, since(c.beat_at), since(c.try_at),
                since(c.next_beat), since(c.primary_at), sorted(c.taught), len(c.queue), self.disks[ip],
                [w.records for w in self.writes[ip]],
                office and (office.view.epoch, {v: since(t) for v, t in office.heard.items()},
                            {v: since(t) for v, t in office.backups_heard.items()},
                            since(office.since)),
                office and office.pending and (office.pending.number, office.pending.here, sorted(office.pending.there),
                                               since(office.pending.since), since(office.pending.asked)),
                attempt and (attempt.epoch, attempt.stage, sorted(attempt.said), sorted(attempt.synced),
                             attempt.next, since(attempt.since), since(attempt.asked)),
                {ip: since(at) for ip, at in c.shunned.items()}, sorted(c.guests)))
        parts.append([list(waiting) for waiting in self.wires.values()])
        return repr(parts)


def made(steps: tuple[Step, ...]) -> World:
    """The state that some steps lead to."""
    world = World()
    for step in steps:
        world.step(step, again=True)
    return world


class Found(NamedTuple):
    """A search's end: states met, the depth that was whole, and the steps to a broken rule, if any."""

    states: int
    depth: int
    steps: tuple[Step, ...] | None
    why: str


def search(depth: int, budget: Budget | None = None, first: tuple[Step, ...] = (),
           go_on: Callable[[], bool] = lambda: True) -> Found:
    """All states within `depth` steps after the `first` ones, nearest first; `go_on` is asked before each."""
    budget = budget or Budget()
    met = {hash(made(first).mark())}
    level: list[tuple[Step, ...]] = [first]
    for at in range(depth):
        following: list[tuple[Step, ...]] = []
        for steps in level:
            if not go_on():
                return Found(len(met), at, None, "")
            for choice in made(steps).choices(budget):
                world, longer = made(steps), (*steps, choice)
                try:
                    world.step(choice)
                except Broken as broken:
                    return Found(len(met), at, longer, str(broken))
                mark = hash(world.mark())
                if mark not in met:
                    met.add(mark)
                    following.append(longer)
        level = following
    return Found(len(met), depth, None, "")
