"""The core in the simulation: control machines with disks, operators, faults, and the rules checked after each step.

Rules, by the users' names: LOST and CONFIG (what was acknowledged is read back, and no number changes its content),
one holder of the office at a time, one primary an epoch, numbers of followers that never fall, and that the core
comes back.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from roadspur.common.failures import Failure, Kind
from roadspur.control.control import Control
from roadspur.control.parts import SHRINK_S, Answer, Change, Note, Outputs, Publish, Read, Send, Write
from roadspur.control.views import Copy, Kept, View
from roadspur.transport.news import Follower, Publisher, State
from simnet.clock import Clock
from simnet.wires import Wires

TICK_S = 0.06
CALL_S = 1.0   # an operator's patience with one machine
AIM_S = 2.0    # for which a fault that is aimed waits for an acknowledgement
QUIET_S = 6.0  # after the last fault, in which the core must be back


class Broken(AssertionError):
    """A rule does not hold."""


class Fault(NamedTuple):
    """One fault: when, which kind, where, how long."""

    at: float
    kind: str
    where: tuple[int, ...]
    for_s: float


class Disk:
    """One disk: what is synced, how slow it is, whether it refuses."""

    def __init__(self) -> None:
        self.records: dict[str, Any] = {}
        self.busy_until = 0.0
        self.stalled_until = 0.0
        self.refuses_until = 0.0

    def kept(self) -> Kept:
        """What a process reads at its start."""
        r = copy.deepcopy(self.records)
        return Kept(r["promise"]["e"] if "promise" in r else 0, View.unpacked(r["view"]) if "view" in r else None,
                    Copy.unpacked(r["copy"]) if "copy" in r else Copy())


class Machine:
    """One core machine: a disk, and a process while it runs."""

    def __init__(self, ip: str, zone: str) -> None:
        self.ip, self.zone = ip, zone
        self.disk = Disk()
        self.control: Control | None = None
        self.gone = False  # for good
        self.offset, self.rate = 0.0, 1.0  # of its steady clock
        self.publisher = Publisher(State())
        self.life = 0
        self.paused_until = 0.0
        self.writes: list[dict[str, Any]] = []  # begun and not ended


class Core:
    """A core of some machines. All that happens is drawn from one seed."""

    def __init__(self, seed: int, machines: int = 3, followers: int = 2, slow: float = 1.0) -> None:
        """`slow`: times the usual way between machines, which makes more orders of messages likely."""
        self.slow = slow
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.after_each = self.check
        self.wires = Wires(self.clock, self.rng, self._deliver, self._delay)
        zones = ["a", "b", "a", "c", "b"]
        self.machines = {f"10.0.0.{n + 1}": Machine(f"10.0.0.{n + 1}", zones[n]) for n in range(machines)}
        self.seeds = sorted(self.machines)[:3]
        self.tolerance = machines // 2
        self.followers = {f"f{n}": Follower() for n in range(followers)}
        self.calls: dict[int, dict[str, Any]] = {}
        self.count = 0
        self.acked = -1               # the highest number that was acknowledged
        self.contents: dict[int, Any] = {}
        self.epochs: dict[int, str] = {}
        self.evacuated: dict[str, bool] = {}
        self.acks: list[float] = []
        self.aimed: list[Fault] = []  # faults that wait for the next acknowledgement, for `AIM_S` at most
        self.log: list[str] = []
        self.version = 0
        for machine in self.machines.values():
            self._set_clock(machine)
            self._start(machine, bootstrap=True)

    def _set_clock(self, machine: Machine) -> None:
        machine.offset, machine.rate = self.rng.random() * 1e5, 1.0 + 0.02 * (self.rng.random() - 0.5)

    def _time(self, machine: Machine) -> float:
        """A machine's own steady clock: it began when the machine did, and runs a little fast or slow."""
        return machine.offset + self.clock.now * machine.rate

    def _delay(self, a: str, b: str) -> float:
        same = self.machines[a].zone == self.machines[b].zone if a in self.machines and b in self.machines else False
        return (0.0002 if same else 0.0015) * self.slow

    # Processes.

    def _start(self, machine: Machine, bootstrap: bool = False) -> None:
        machine.life += 1
        self.wires.lives[machine.ip] = machine.life
        machine.publisher = Publisher(State())
        machine.control = Control(machine.ip, machine.zone, self.seeds, bootstrap, machine.disk.kept(),
                                  self._time(machine), random.Random(self.rng.random()), self.tolerance)
        for name, follower in self.followers.items():
            machine.publisher.sent[name] = machine.publisher.acked[name] = follower.state.number
        self._tick(machine, machine.life)
        for other in self.machines.values():  # connections to it stand again
            if other is not machine and other.control is not None and self.wires.open(other.ip, machine.ip):
                self.clock.later(2 * self._delay(other.ip, machine.ip),
                                 lambda other=other: self._linked(other, machine.ip))  # type: ignore[misc]

    def _linked(self, machine: Machine, ip: str) -> None:
        if machine.control is not None and self.clock.now >= machine.paused_until:
            self._carry(machine, machine.control.linked(self._time(machine), ip))

    def _tick(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.control is None:
            return
        if self.clock.now < machine.paused_until:
            self.clock.at(machine.paused_until, lambda: self._tick(machine, life))
            return
        self._carry(machine, machine.control.tick(self._time(machine)))
        self.clock.later(TICK_S * (0.9 + 0.2 * self.rng.random()), lambda: self._tick(machine, life))

    def stop(self, machine: Machine, for_s: float, power: bool = False, wipe: bool = False,
             order: bool = False) -> None:
        """A process ends (kill, loss of power, or in order) and starts again; a disk may be lost meanwhile."""
        if machine.control is None:
            return
        if order:
            self._carry(machine, machine.control.stop(self._time(machine)))
        machine.control = None
        machine.life += 1
        self.wires.lives[machine.ip] = machine.life
        for records in machine.writes:  # begun: after a loss of power each is there or not, whole (lmdb); else it ends
            if not power or self.rng.random() < 0.5:
                machine.disk.records.update(copy.deepcopy(records))
            elif power:
                break
        machine.writes = []
        if wipe:
            machine.disk.records = {}

        def again() -> None:
            if machine.control is None:
                self._start(machine)
        self.clock.later(for_s, again)

    def add(self) -> Machine:
        """A machine is added: it has no disk's worth of memory, and is told three that are there now."""
        zones = sorted({m.zone for m in self.machines.values()})
        ip = f"10.0.1.{len(self.machines) + 1}"
        machine = self.machines[ip] = Machine(ip, self.rng.choice(zones))
        self._set_clock(machine)
        self._reseed()
        self._start(machine)
        return machine

    def leave(self, machine: Machine) -> None:
        """A machine is taken away for good, while a majority, of three at least, stays without it."""
        voters = max((m.control.view for m in self.machines.values() if m.control is not None
                      and m.control.view is not None), key=lambda v: v.epoch, default=None)
        stays = [ip for ip in voters.electorate if ip != machine.ip and self.machines[ip].control is not None
                 and not self.machines[ip].gone] if voters is not None else []
        if voters is None or len(stays) < max(3, voters.majority):
            return
        machine.gone = True
        self.stop(machine, 1e9, order=True)
        self._reseed()

    def _reseed(self) -> None:
        """The settings name other machines, the newest first, some of them new to all."""
        here = [ip for ip, m in sorted(self.machines.items(), reverse=True) if not m.gone]
        self.seeds = here[:3]
        for other in self.machines.values():
            if other.control is not None:
                other.control.reseed(self.seeds)

    def _deliver(self, to: str, sender: str, table: dict[str, Any]) -> None:
        machine = self.machines[to]
        if machine.control is None:
            return
        if self.clock.now < machine.paused_until:
            life = machine.life

            def later() -> None:
                if machine.life == life:
                    self._deliver(to, sender, table)
            self.clock.at(machine.paused_until, later)
            return
        self._carry(machine, machine.control.message(self._time(machine), sender, table))

    def _carry(self, machine: Machine, outputs: Outputs) -> None:
        for out in outputs:
            if isinstance(out, Send):
                if out.to in self.machines:
                    self.wires.send(machine.ip, out.to, out.table)
            elif isinstance(out, Write):
                self._write(machine, out)
            elif isinstance(out, Answer):
                self._answered(out)
            elif isinstance(out, Publish):
                self._publish(machine, out.state)
            elif isinstance(out, Note):
                self.log.append(f"{self.clock.now:8.3f} {machine.ip} " + out.event.value.text % out.fields)

    def _write(self, machine: Machine, write: Write) -> None:
        disk, life = machine.disk, machine.life
        records = copy.deepcopy(write.records)
        machine.writes.append(records)
        begin = max(self.clock.now, disk.busy_until, disk.stalled_until)
        refused = begin < disk.refuses_until
        disk.busy_until = begin + 0.001 + 0.004 * self.rng.random()

        def end() -> None:
            if machine.life != life:
                return
            machine.writes.remove(records)
            if not refused:
                disk.records.update(records)
            if machine.control is not None:
                self._carry(machine, machine.control.written(self._time(machine), write.token, not refused))
        self.clock.at(disk.busy_until, end)

    # Followers.

    def _publish(self, machine: Machine, state: State) -> None:
        held = state.value("config")
        if held is not None:
            known = self.contents.setdefault(held["v"], held["z"])
            if known != held["z"]:
                raise Broken(f"CONFIG: number {held['v']} has changed its content")
        machine.publisher.state = State(state.number, state.items, state.floor)
        for name, message in machine.publisher.tell():
            follower = self.followers[name]
            before = follower.state.number
            if self.rng.random() < 0.2:  # lost with its connection, which is opened anew
                machine.publisher.sent[name] = before
                continue
            _, reply = follower.heard(copy.deepcopy(message))
            if follower.state.number < before:
                raise Broken("CONFIG: a follower has gone back")
            if reply is not None and reply["t"] == "follow":
                for _, whole in machine.publisher.follow(name, reply["n"]):
                    follower.heard(copy.deepcopy(whole))
            machine.publisher.sent[name] = follower.state.number

    # Operators.

    def put(self, number: int, content: str, ips: Sequence[str] | None = None) -> None:
        """An operator sends a configuration until somebody acknowledges it."""
        self._order(lambda call: Change(
            call, lambda s: (s.value("config") or {"v": -1})["v"] >= number,
            lambda s: {"config": {"v": number, "z": content}}, f"configuration {number}"),
            {"what": "put", "number": number, "content": content}, list(ips or self.machines), self.clock.now + 8.0)

    def evacuate(self, zone: str, on: bool) -> None:
        """An operator begins or ends an evacuation."""
        name = f"evac:{zone}"
        self._order(lambda call: Change(
            call, lambda s: (s.value(name) or {"on": False})["on"] == on, lambda s: {name: {"on": on}}, name),
            {"what": "evac", "zone": zone, "on": on}, list(self.machines), self.clock.now + 8.0)

    def read(self) -> None:
        """An operator reads; what was acknowledged before must be there."""
        self._order(lambda call: Read(call, lambda s: copy.deepcopy(s.packed())),
                    {"what": "read", "least": self.acked, "evac": dict(self.evacuated)}, list(self.machines),
                    self.clock.now + 8.0)

    def _order(self, make: Any, about: dict[str, Any], ips: list[str], until: float, at: str | None = None,
               hops: int = 0) -> None:
        if self.clock.now > until:
            return
        ip = at or self.rng.choice([ip for ip in ips if not self.machines[ip].gone])
        machine = self.machines[ip]
        self.count += 1
        number = self.count
        # Until it has its answer: where to go on after a failure, after silence, after a redirect.
        self.calls[number] = {**about, "make": make, "ips": ips, "until": until, "hops": hops}

        def late() -> None:
            call = self.calls.get(number)
            if call is not None and not call.get("late"):
                call["late"] = True
                self._order(make, about, ips, until)
        self.clock.later(CALL_S, late)
        if machine.control is not None and self.clock.now >= machine.paused_until:
            self._carry(machine, machine.control.call(self._time(machine), make(number)))

    def _answered(self, out: Answer) -> None:
        call = self.calls.pop(out.call, None)
        if call is None or call.get("late"):
            return
        if isinstance(out.answer, Failure):
            again = {k: v for k, v in call.items() if k not in ("make", "ips", "until", "hops", "late")}
            at = out.answer.where if out.answer.kind is Kind.ELSEWHERE and call["hops"] < 2 else None
            self.clock.later(0.001 if at else 0.1, lambda: self._order(
                call["make"], again, call["ips"], call["until"], at, call["hops"] + 1 if at else 0))
        elif call["what"] == "put":
            if call["number"] > self.acked:
                self.acked = call["number"]
            self.acks.append(self.clock.now)
            self.log.append(f"{self.clock.now:8.3f} acknowledged {call['number']}")
            for fault in [f for f in self.aimed if self.clock.now - f.at < AIM_S]:
                self.clock.later(0.004 * self.rng.random(), lambda fault=fault: self.strike(fault))  # type: ignore[misc]
            self.aimed.clear()
        elif call["what"] == "evac":
            self.evacuated[call["zone"]] = call["on"]
            self.acks.append(self.clock.now)
        elif call["what"] == "read":
            state = State.unpacked(out.answer)
            held = (state.value("config") or {"v": -1})["v"]
            if held < call["least"]:
                raise Broken(f"LOST: read {held}, acknowledged was {call['least']}")
            self.last_read = state

    # Rules.

    def check(self) -> None:
        """After every step."""
        holders = []
        for machine in self.machines.values():
            control = machine.control
            if control is None or control.office is None:
                continue
            office = control.office
            first = self.epochs.setdefault(office.view.epoch, machine.ip)
            if first != machine.ip:
                raise Broken(f"epoch {office.view.epoch} has two primaries: {first} and {machine.ip}")
            if self._time(machine) < office.until() and self.clock.now >= machine.paused_until:
                holders.append(machine.ip)
        if len(holders) > 1:
            raise Broken(f"two hold the office: {holders}")

    # Days.

    def strike(self, fault: Fault) -> None:
        """Have a fault happen now; one that is aimed, right after the next acknowledgement."""
        if fault.kind.startswith("aimed "):
            self.aimed.append(fault._replace(kind=fault.kind.removeprefix("aimed "), at=self.clock.now))
            return
        order = sorted(self.machines)
        where = [m for n in fault.where if not (m := self.machines[order[n % len(order)]]).gone]
        if not where:
            return
        leader = next((m for m in self.machines.values() if m.control is not None and m.control.office), None)
        if fault.kind.startswith("leader") and leader is not None:
            where = [leader]
        if fault.kind.startswith("leader pair") and leader is not None and leader.control is not None:
            view = leader.control.view
            where += [self.machines[ip] for ip in (view.backups if view is not None else ())]
        kind = fault.kind.removeprefix("leader ").removeprefix("pair ")
        self.log.append(f"{self.clock.now:8.3f} FAULT {fault.kind} {[m.ip for m in where]} for {fault.for_s:.2f}")
        if kind == "kill":
            self.stop(where[0], fault.for_s)
        elif kind == "power":
            self.stop(where[0], fault.for_s, power=True)
        elif kind == "wipe":
            self.stop(where[0], fault.for_s, power=True, wipe=True)
        elif kind == "term":
            self.stop(where[0], 0.3, order=True)
        elif kind == "kill all":
            for machine in [m for m in self.machines.values() if not m.gone]:
                self.stop(machine, fault.for_s * (0.5 + self.rng.random()))
        elif kind == "power all":
            for machine in [m for m in self.machines.values() if not m.gone]:
                self.stop(machine, fault.for_s * (0.5 + self.rng.random()), power=True)
        elif kind == "wipe one, power all":
            for machine in [m for m in self.machines.values() if not m.gone]:
                self.stop(machine, fault.for_s * (0.5 + self.rng.random()), power=True, wipe=machine is where[0])
        elif kind in ("cut", "cut one way"):
            for other in self.machines.values():
                if other is not where[0] and (len(where) < 2 or other in where[1:]):
                    self.wires.cut(where[0].ip, other.ip, fault.for_s, both=kind == "cut")
        elif kind == "cut in":
            for other in self.machines.values():
                if other is not where[0]:
                    self.wires.cut(other.ip, where[0].ip, fault.for_s, both=False)
        elif kind == "fading":  # cut off from its backups, and from all others as these ask for its office
            for other in self.machines.values():
                if other is not where[0]:
                    later = 0.0 if where[0].control is not None and where[0].control.view is not None and (
                        other.ip in where[0].control.view.backups) else 0.8 + 0.4 * self.rng.random()
                    self.clock.later(later, lambda a=where[0].ip, b=other.ip:  # type: ignore[misc]
                                     self.wires.cut(a, b, fault.for_s))
        elif kind == "wipe, kill all":
            self.stop(where[0], 0.2, power=True, wipe=True)
            for machine in [m for m in self.machines.values() if not m.gone]:
                self.clock.later(0.3 + 0.5 * self.rng.random(), lambda m=machine: self.stop(  # type: ignore[misc]
                    m, 0.2 + self.rng.random()))
        elif kind == "add":
            self.add()
        elif kind == "leave":
            self.leave(where[0])
        elif kind == "stall":
            where[0].disk.stalled_until = self.clock.now + fault.for_s
        elif kind == "refuse":
            where[0].disk.refuses_until = self.clock.now + fault.for_s
        elif kind == "pause":
            where[0].paused_until = self.clock.now + fault.for_s
        else:
            raise ValueError(f"no such fault: {fault.kind}")

    def play(self, faults: Sequence[Fault], orders: Sequence[tuple[float, str, int]], until: float) -> None:
        """A day: faults and orders at their times, then quiet; at its end all that was acknowledged is read back."""
        for fault in faults:
            self.clock.at(fault.at, lambda fault=fault: self.strike(fault))  # type: ignore[misc]
        for at, what, extra in orders:
            if what == "put":
                self.version += 1 + extra % 3
                number = self.version
                self.clock.at(at, lambda n=number: self.put(n, f"c{n}"))  # type: ignore[misc]
            elif what == "race":  # two operators send the same number at once, with other contents
                self.version += 1
                number = self.version
                for side in "xy":
                    self.clock.at(at, lambda n=number, s=side: self.put(n, f"c{n}{s}"))  # type: ignore[misc]
            elif what == "evac":
                self.clock.at(at, lambda e=extra: self.evacuate("abc"[e % 3], e % 2 == 0))  # type: ignore[misc]
            else:
                self.clock.at(at, self.read)
        self.clock.run(until)
        end = max([until, *(f.at + f.for_s for f in faults)]) + QUIET_S
        self.clock.run(end)
        self.finish()

    def finish(self) -> None:
        """What must hold at the end of a day, in calm."""
        before = len(self.acks)
        self.version += 1
        final = self.version
        self.put(final, f"c{final}")
        self.clock.run(self.clock.now + 4.0)
        if len(self.acks) == before:
            raise Broken("the core did not come back: a change in calm was not acknowledged")
        self.last_read = State()
        self.read()
        self.clock.run(self.clock.now + 6.0)
        held = (self.last_read.value("config") or {"v": -1})["v"]
        if held < self.acked:
            raise Broken(f"LOST: at the end {held} is read, acknowledged was {self.acked}")

    last_read = State()


KINDS = ("aimed leader power", "aimed leader wipe", "aimed wipe one, power all", "add", "leave", "kill", "power",
         "wipe", "term", "kill all", "power all", "wipe one, power all", "cut", "cut one way", "cut in", "stall",
         "refuse", "pause", "leader kill", "leader power", "leader wipe", "leader term", "leader cut",
         "leader cut one way", "leader fading", "wipe, kill all", "leader pair cut", "leader pair cut one way",
         "leader stall", "leader pause", "leader refuse")


def draw(seed: int) -> tuple[list[Fault], list[tuple[float, str, int]], int]:
    """A day's faults, orders and number of machines.

    Disks are lost one at a time, whatever else happens then, with calm between two in which copies are made again.
    """
    rng = random.Random(seed * 7919 + 1)
    machines = rng.choice((3, 3, 3, 5))
    faults: list[Fault] = []
    at, wiped, left = 4.0, -99.0, -99.0
    for _ in range(rng.randint(1, 6)):
        at += rng.choice((0.05, 0.5, 1.5, 3.0)) * (0.5 + rng.random())
        kind = rng.choice(KINDS)
        if kind == "leave":  # a loss, until its vote is taken from it: no other comes on top
            at = max([at, left + SHRINK_S + 6.0, wiped + 12.0, *(f.at + f.for_s + 6.0 for f in faults)])
            left = at
        elif "wipe" in kind:
            at = max(at, left + SHRINK_S + 6.0 if left > 0 else at)
            if wiped > 0:  # what the first one held has been copied again
                at = max([at, wiped + 12.0, *(f.at + f.for_s + 8.0 for f in faults)])
            wiped = at + AIM_S if kind.startswith("aimed") else at
        elif left > 0 and at < left + SHRINK_S + 6.0 and kind not in ("kill", "power", "term", "stall", "pause"):
            at = left + SHRINK_S + 6.0
        where: tuple[int, ...] = (rng.randrange(machines),)
        if rng.random() < 0.5:
            where += (rng.randrange(machines),)
        if len(where) == 2 and where[0] == where[1]:
            where = where[:1]
        faults.append(Fault(at, kind, where, rng.choice((0.2, 1.0, 3.0, 6.0)) * (0.5 + rng.random())))
    end = at + 6.0
    orders = [(1.5 + rng.random(), "put", 0)]
    orders += [(f.at + 0.02, "put", 0) for f in faults if f.kind.startswith("aimed")]
    for _ in range(rng.randint(4, 14)):
        near = rng.choice(faults).at + rng.random() * 0.8 - 0.2 if rng.random() < 0.6 else 3 + rng.random() * end
        what = rng.choice(("put", "put", "put", "race", "evac", "read", "read"))
        orders.append((max(2.0, near), what, rng.randrange(12)))
    orders.sort()
    return faults, orders, machines


def run(seed: int, faults: Sequence[Fault] | None = None) -> Core:
    """Play a seed's day, with its own faults or fewer. Broken says which rule."""
    drawn, orders, machines = draw(seed)
    core = Core(seed, machines, slow=(1.0, 1.0, 20.0)[seed % 3])
    used = list(drawn if faults is None else faults)
    end = max([8.0, *(f.at for f in drawn), *(at for at, _, _ in orders)])
    try:
        core.play(used, orders, end + 1.0)
    except Broken as broken:
        broken.add_note("\n".join(core.log[-60:]))
        raise
    return core


def shrink(seed: int) -> list[Fault]:
    """The fewest of a seed's faults that still break a rule, each tried without."""
    faults, _, _ = draw(seed)
    at = 0
    while at < len(faults):
        fewer = faults[:at] + faults[at + 1:]
        try:
            run(seed, fewer)
            at += 1
        except Broken:
            faults = fewer
    return faults
