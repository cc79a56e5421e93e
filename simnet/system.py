"""The whole system in the simulation: stores, registries and proxies with their own machines, unchanged, a platform,
backends, clients and an operator; and the users' rules that can be seen there, checked as things happen.

Rules, by the users' names: TWICE and REFUSED (what may not be repeated), QUOTA (over every five seconds), DRAIN and
EVAC (what arrives at a backend that is to get nothing), CONFIG (no proxy goes back, all have in time what was
acknowledged), LOST (each request gets its one answer in time), and that calm brings service back. Bounds in time hold
once nothing has been in trouble for `CONTACT_S`, as on the users' page.

A connection is opened by one process to another and is held; it ends with either process, or where a cut lasts; what
was under way is lost. Clocks are of their own origin for each machine. All that happens is drawn from one seed.
"""

from __future__ import annotations

import copy
import json
import random
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from roadspur import interface as io
from roadspur.common.boot import Bounds
from roadspur.common.configuration import Configuration, Found
from roadspur.common.failures import Failure
from roadspur.control.control import Control
from roadspur.control.leases import Grantor
from roadspur.control.parts import Answer, Change, Send, Write
from roadspur.control.store import Outward, Store, Tell
from roadspur.core.driver import Driver, Held
from roadspur.core.ports import Ended, Final, Verdict
from roadspur.proxy.decisions import Asked, Charge, Decisions
from roadspur.proxy.knowledge import HandOver, Heartbeat, InForce, Knowledge, Serving, ToRegistry
from roadspur.proxy.knowledge import Verdict as Counted
from roadspur.registry.registry import Call as PlatformCall
from roadspur.registry.registry import Registry, ToStore
from roadspur.registry.registry import Tell as RegistryTell
from simnet.clock import Clock
from simnet.core import Broken, Disk

TICK_S = 0.06
CONTACT_S = 5.0
SILENT_S = 1.5
DIAL_S = 0.1
LAG_S = 0.8  # of the platform's list
RATE = BURST = 40.0
BOUNDS = Bounds()
CORES = {"c1": ("a1", "a"), "c2": ("a1", "a"), "c3": ("a2", "a")}
PROXIES = {"d1": ("a1", "a"), "d2": ("a2", "a"), "d3": ("b1", "b"), "d4": ("b2", "b")}
PLACES = {**CORES, **PROXIES}
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
ASKED_S = 0.06  # between requests at one proxy, on average
DEADLINE_S = 2.0

Table = dict[str, Any]


def document(version: int) -> bytes:
    """A configuration: two routes, one limited tenant and one that is not."""

    def route(name: str, variant: str) -> Table:
        return {
            "hostname": "h",
            "path_prefix": f"/{name}/",
            "variant": variant,
            "deadline_ms": 2000,
            "target_ms": 600,
            "target": "s",
            "tries": 2,
        }

    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"pure": route("p", "pure"), "once": route("o", "x")},
            "services": {"s": {"max_conns": 100}},
            "limits": {},
            "tenants": {"t": {"rate_per_s": RATE, "burst": BURST}, "free": {}},
        }
    ).encode()


class Backend:
    """One life of a backend."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.listed_draining: float | None = None  # since when the platform's list shows it
        self.drains = self.dead = False
        self.loses_answers = False


class Process:
    """One process on a machine; `life` tells its lives apart."""

    def __init__(self, world: World, kind: str, machine: str) -> None:
        self.world, self.kind, self.machine = world, kind, machine
        self.name = f"{kind}@{machine}"
        self.life = 0
        self.up = False
        self.links: dict[str, int] = {}  # that it has opened: to whom, and which connection

    def now(self) -> float:
        return self.world.time(self.machine)

    def begin(self) -> None:
        """A new life."""

    def tick(self) -> None:
        """Time has passed."""

    def opened(self, to: str) -> None:
        """A connection that this process opened stands."""

    def heard(self, sender: str, who: str, table: Table) -> None:
        """A table on a connection that another opened; `who`: its `me`."""

    def replied(self, sender: str, table: Table) -> None:
        """A table on a connection that this process opened."""

    def lost(self, who: str) -> None:
        """A connection that another opened has ended."""


class StoreProcess(Process):
    """control."""

    store: Store

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "control", machine)
        self.disk = Disk()
        self.writes: list[Table] = []
        self.waiting: dict[Any, Callable[[Any], None]] = {}

    def begin(self) -> None:
        kept = self.disk.kept()
        grants = {d: (p[0], p[1]) for d, p in self.disk.records.get("grants", {}).items()}
        control = Control(
            self.machine,
            PLACES[self.machine][0],
            sorted(CORES),
            self.life == 1,
            kept,
            self.now(),
            random.Random(self.world.rng.random()),
            1,
        )
        self.store, self.waiting = Store(control, Grantor(self.now(), grants)), {}

    def tick(self) -> None:
        self.carry(self.store.tick(self.now()))

    def opened(self, to: str) -> None:
        self.carry(self.store.linked(self.now(), to.partition("@")[2]))

    def heard(self, sender: str, who: str, table: Table) -> None:
        if table["t"] != "hello":
            self.carry(self.store.heard(self.now(), who, table))

    def lost(self, who: str) -> None:
        self.store.gone(who)

    def call(self, make: Callable[[Any], Change], done: Callable[[Any], None]) -> None:
        self.waiting[self.store.calls + 1] = done
        self.carry(self.store.call(self.now(), make)[1])

    def carry(self, outputs: list[Outward]) -> None:
        for out in outputs:
            if isinstance(out, Send):
                self.world.send(self, f"control@{out.to}", out.table)
            elif isinstance(out, Tell):
                self.world.reply(self, out.name, out.table)
            elif isinstance(out, Write):
                self._write(out)
            elif isinstance(out, Answer) and out.call in self.waiting:
                self.waiting.pop(out.call)(out.answer)

    def _write(self, write: Write) -> None:
        world, life, disk = self.world, self.life, self.disk
        records = copy.deepcopy(write.records)
        self.writes.append(records)
        disk.busy_until = max(world.clock.now, disk.busy_until, disk.stalled_until) + 0.001 + 0.004 * world.rng.random()

        def end() -> None:
            if self.life == life and self.up:
                self.writes.remove(records)
                disk.records.update(records)
                self.carry(self.store.written(self.now(), write.token, True))

        world.clock.at(disk.busy_until, end)


class RegistryProcess(Process):
    """registry."""

    registry: Registry

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "registry", machine)

    def begin(self) -> None:
        self.registry = Registry(
            f"{self.machine}/{self.life}", self.machine, self.now(), random.Random(self.world.rng.random()), 50.0, True
        )

    def tick(self) -> None:
        self.carry(self.registry.tick(self.now()))

    def opened(self, to: str) -> None:
        follower = self.registry.kept if to.startswith("control") else self.registry.list
        self.world.send(self, to, {"t": "follow", "me": self.registry.me, "n": follower.state.number})

    def replied(self, sender: str, table: Table) -> None:
        if sender.startswith("control"):
            outputs, reply = self.registry.from_store(self.now(), sender.partition("@")[2], table)
            self.carry(outputs)
        else:
            reply = self.registry.from_fellow(table)
        if reply is not None:
            self.world.send(self, sender, reply)

    def heard(self, sender: str, who: str, table: Table) -> None:
        self.carry(self.registry.from_follower(self.now(), who, table))

    def lost(self, who: str) -> None:
        self.registry.gone(who)

    def carry(self, outputs: list[Any]) -> None:
        for out in outputs:
            if isinstance(out, RegistryTell):
                self.world.reply(self, out.name, out.table)
            elif isinstance(out, ToStore):
                for ip in CORES:
                    if out.ip in ("", ip):
                        self.world.send(self, f"control@{ip}", out.table)
            elif isinstance(out, PlatformCall):
                self._call(out.target)

    def _call(self, target: str) -> None:
        world, life = self.world, self.life

        def answered() -> None:
            if self.life == life and self.up:
                status, body = world.platform(target)
                self.carry(self.registry.answered(self.now(), status, body))

        world.clock.later(0.002 if world.platform_up() else 1.0, answered)


class ProxyProcess(Process):
    """proxy: knowledge, decisions and the driver; its own backends' port."""

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "proxy", machine)
        self.asked = 0

    def begin(self) -> None:
        zone, region = PLACES[self.machine]
        now = self.now()
        self.decisions = Decisions(self.machine, zone, region, BOUNDS, random.Random(self.world.rng.random()), now, now)
        self.knowledge = Knowledge(
            self.machine,
            f"{self.machine}/{self.life}",
            region,
            ZONES.__getitem__,
            {"front": f"{self.machine}:80", "ip": self.machine, "zone": zone, "region": region},
            self.decisions,
            now,
        )
        self.driver = Driver(self.decisions.settings, self.decisions, self, Scheduler(self), self.now)
        self.driver.carry[Charge] = lambda a: self.carry(self.knowledge.charge(a))
        self.serving: set[str] = set()
        self.version = -1

    def ready(self) -> bool:
        return self.knowledge.index is not None and self.knowledge.known and bool(self.serving)

    def tick(self) -> None:
        self.carry(self.knowledge.tick(self.now(), self.ready()))

    def opened(self, to: str) -> None:
        hello = self.knowledge.follow_kept() if to.startswith("control") else self.knowledge.follow_list()
        self.world.send(self, to, hello)

    def replied(self, sender: str, table: Table) -> None:
        if sender.startswith("control"):
            outputs, reply = self.knowledge.from_store(self.now(), table)
        else:
            outputs, reply = self.knowledge.from_registry(self.now(), sender.partition("@")[2], table)
        self.carry(outputs)
        if reply is not None:
            self.world.send(self, sender, reply)

    def carry(self, outputs: list[Any]) -> None:
        for out in outputs:
            if isinstance(out, ToRegistry):
                for ip in CORES:
                    if out.ip in ("", ip):
                        self.world.send(self, f"registry@{ip}", out.table)
            elif isinstance(out, Heartbeat):
                self.world.datagram(
                    self,
                    out.ip,
                    lambda to, t=out.table: to.carry(  # type: ignore[misc]
                        to.knowledge.beat(to.now(), t, self.machine)
                    ),
                )
            elif isinstance(out, HandOver):
                self.world.datagram(
                    self,
                    out.ip,
                    lambda to, t=out.table: to.carry(  # type: ignore[misc]
                        to.knowledge.handed(to.now(), copy.deepcopy(t))
                    ),
                )
            elif isinstance(out, InForce):
                self.world.in_force(self, out.lookup.config)
                self.driver.classes |= self.decisions.classes
            elif isinstance(out, Serving):
                self.serving = out.names
            elif isinstance(out, Counted):
                counted: Any = out.counted
                self.driver.submit(counted)

    def request(self) -> None:
        """A client's request comes, as the clients of this proxy's zone ask."""
        world = self.world
        self.asked += 1
        name = f"{self.machine}.{self.life}.{self.asked}"
        route = "once" if world.rng.random() < 0.4 else "pure"
        tenant = "t" if world.rng.random() < world.pressing else "free"
        if not self.ready():
            return  # 503 before anything else
        index = self.knowledge.index
        assert index is not None
        self.decisions.expect(name, Asked(Found(route, index.config.routes[route]), tenant))
        life, sent = self.life, world.clock.now
        world.open[name] = (self, life, sent + DEADLINE_S)

        def final(final: Final) -> None:
            world.answered(name, route, final, sent)

        self.driver.take(io.Request(name, route, "all", 0, DEADLINE_S, 1.0), final, (route, tenant))

    # The driver's port to backends.

    def prepare(self, held: Held, backend: str, on_end: Callable[[Ended], None]) -> Attempt:
        return Attempt(self, held, backend, on_end)

    def probe(self, backend: str) -> None:
        return

    def close_idle(self, backend: str) -> None:
        return


class Attempt:
    """One attempt: a connection, the request, an answer; each may fail."""

    def __init__(self, proxy: ProxyProcess, held: Held, backend: str, on_end: Callable[[Ended], None]) -> None:
        self.proxy, self.held, self.backend, self.on_end = proxy, held, backend, on_end
        self.written = self.over = False
        self.life = proxy.life

    def end(self, outcome: io.Outcome) -> None:
        if not self.over and self.proxy.life == self.life:
            self.over = True
            self.on_end(Ended(outcome))

    def start(self, timeout: float) -> None:
        world = self.proxy.world
        backend = world.backends[self.backend]
        way = world.way(PLACES[self.proxy.machine][0], backend.zone)
        if self.backend not in self.proxy.serving:
            world.clock.later(0.0, lambda: self.end(io.Outcome.MOOT))
        elif backend.dead or world.rng.random() < 0.01:
            world.clock.later(2 * way, lambda: self.end(io.Outcome.CONNECT_FAILED))
        else:
            self.written = True
            world.clock.later(way, lambda: self.arrive(backend, way))
        world.clock.later(timeout, lambda: self.end(io.Outcome.TIMEOUT))

    def arrive(self, backend: Backend, way: float) -> None:
        world = self.proxy.world
        if backend.dead:
            world.clock.later(way, lambda: self.end(io.Outcome.RESET))
            return
        if world.rng.random() < 0.01:  # its queue is full: turned away, with proof
            world.clock.later(way, lambda: self.end(io.Outcome.FULL))
            return
        route, tenant = self.held.context
        world.arrived(self.proxy, self.held.request.id, route, tenant, backend)
        took = 0.05 + 0.15 * world.rng.random()

        def done() -> None:
            broken = backend.dead or (backend.loses_answers and world.rng.random() < 0.3)
            world.clock.later(way, lambda: self.end(io.Outcome.RESET if broken else io.Outcome.OK))

        world.clock.later(took, done)

    def expire(self) -> None:
        self.end(io.Outcome.TIMEOUT if self.written else io.Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        self.end(io.Outcome.CANCELLED if self.written else io.Outcome.MOOT)


class Scheduler:
    """The driver's timers, of one life."""

    def __init__(self, proxy: ProxyProcess) -> None:
        self.proxy, self.life = proxy, proxy.life

    def time(self) -> float:
        return self.proxy.now()

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        timer = Timer()

        def fire() -> None:
            if not timer.cancelled and self.proxy.life == self.life and self.proxy.up:
                callback(*args)

        self.proxy.world.clock.later(max(0.0, delay), fire)
        return timer

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer:
        return self.call_later(when - self.time(), callback, *args)


class Timer:
    """A call that is due."""

    cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class World:
    """All of it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.after_each = self.check
        self.origins = {m: self.rng.random() * 1e5 for m in PLACES}
        self.cuts: dict[tuple[str, str], float] = {}
        self.count = 0
        self.by_name: dict[tuple[str, str], tuple[str, int]] = {}  # (listener, who): its process, its connection
        self.last: dict[tuple[str, str], float] = {}
        self.processes: dict[str, Process] = {}
        self.backends: dict[str, Backend] = {}
        self.platform_down_until = 0.0
        self.trouble_until = 0.0
        self.pressing = 0.35  # share of requests that are the limited tenant's
        self.open: dict[str, tuple[ProxyProcess, int, float]] = {}
        self.ran: dict[str, list[str]] = {}
        self.refused: set[str] = set()
        self.runs: deque[float] = deque()
        self.acked = (-1, 0.0)  # newest version, and when
        self.evacuated: dict[str, tuple[bool, float]] = {}
        self.served = self.ended = 0
        self.log: list[str] = []
        self.broken = ""
        for n, zone in enumerate(("a1", "a1", "a2", "b1", "b1", "b2")):
            self.backends[f"i{n}"] = Backend(f"i{n}", zone)
        for machine in CORES:
            self._add(StoreProcess(self, machine))
            self._add(RegistryProcess(self, machine))
        for machine in PROXIES:
            self._add(ProxyProcess(self, machine))

    def time(self, machine: str) -> float:
        return self.origins[machine] + self.clock.now

    def way(self, a: str, b: str) -> float:
        """Seconds from one zone to another."""
        return 0.0002 if a == b else 0.0014 if ZONES[a] == ZONES[b] else 0.055

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        self.start(process)

    # Processes and connections.

    def start(self, process: Process) -> None:
        """A new life begins; what others had with the old one is over."""
        process.life += 1
        process.up, process.links = True, {}
        process.begin()
        life = process.life

        def tick() -> None:
            if process.up and process.life == life:
                process.tick()
                self.clock.later(TICK_S * (0.9 + 0.2 * self.rng.random()), tick)

        def dial() -> None:
            if process.up and process.life == life:
                self._dial(process)
                self.clock.later(DIAL_S, dial)

        def ask() -> None:
            if process.up and process.life == life and isinstance(process, ProxyProcess):
                process.request()
                self.clock.later(self.rng.expovariate(1 / ASKED_S), ask)

        self.clock.later(0.0, tick)
        self.clock.later(0.01 * self.rng.random(), dial)
        if process.kind == "proxy":
            self.clock.later(0.1, ask)

    def stop(self, process: Process, for_s: float, power: bool = False, wipe: bool = False) -> None:
        """A process is killed and begins anew after a while."""
        if not process.up:
            return
        process.up = False
        process.life += 1
        if isinstance(process, StoreProcess):
            for records in process.writes:
                if not power or self.rng.random() < 0.5:
                    process.disk.records.update(records)
                else:
                    break
            process.writes = []
            if wipe:
                process.disk.records = {}
        for other in self.processes.values():
            self._drop(other, process)
            self._drop(process, other)
        self.clock.later(for_s, lambda: self.start(process) if not process.up else None)

    def _wants(self, process: Process) -> list[str]:
        if process.kind == "control":
            return [f"control@{m}" for m in CORES if m != process.machine]
        fellows = [f"registry@{m}" for m in CORES if m != process.machine]
        return [f"control@{m}" for m in CORES] + fellows

    def _dial(self, process: Process) -> None:
        """Open what does not stand, and end what a cut has silenced."""
        for to in self._wants(process):
            other = self.processes[to]
            cut = max(
                self.cuts.get((process.machine, other.machine), 0.0),
                self.cuts.get((other.machine, process.machine), 0.0),
            )
            if to in process.links:
                if cut > self.clock.now + SILENT_S:
                    self._drop(process, other)
            elif other.up and cut <= self.clock.now:
                self.count += 1
                process.links[to] = self.count
                if process.kind == "control":
                    self.send(process, to, {"t": "hello", "me": process.machine})
                process.opened(to)

    def _drop(self, dialer: Process, listener: Process) -> None:
        link = dialer.links.pop(listener.name, None)
        if link is None:
            return
        for (at, who), (_, number) in list(self.by_name.items()):
            if at == listener.name and number == link:
                del self.by_name[at, who]
                if listener.up:
                    listener.lost(who)

    def _later(self, a: Process, b: Process, what: Callable[[], None]) -> None:
        """In order, after the way; never where a cut lasts."""
        cut = self.cuts.get((a.machine, b.machine), 0.0)
        due = self.clock.now + self.way(PLACES[a.machine][0], PLACES[b.machine][0]) * (1 + 0.3 * self.rng.random())
        if cut > self.clock.now:
            due = cut + due - self.clock.now  # held up; the connection may have ended by then
        due = max(due, self.last.get((a.name, b.name), 0.0))
        self.last[a.name, b.name] = due
        life = b.life

        def arrive() -> None:
            if b.up and b.life == life:
                what()

        self.clock.at(due, arrive)

    def send(self, process: Process, to: str, table: Table) -> None:
        """A table on a connection that `process` has opened."""
        link = process.links.get(to)
        if link is None:
            return
        other, table, who = self.processes[to], copy.deepcopy(table), self._who(process)

        def arrive() -> None:
            if process.links.get(to) == link:
                self.by_name[to, who] = process.name, link
                other.heard(process.name, who, table)

        self._later(process, other, arrive)

    @staticmethod
    def _who(process: Process) -> str:
        return process.registry.me if isinstance(process, RegistryProcess) else process.machine

    def reply(self, process: Process, who: str, table: Table) -> None:
        """A table back on the connection of one that is known by its name."""
        known = self.by_name.get((process.name, who))
        if known is None:
            return
        other, table = self.processes[known[0]], copy.deepcopy(table)

        def arrive() -> None:
            if other.links.get(process.name) == known[1]:
                other.replied(process.name, table)

        self._later(process, other, arrive)

    def datagram(self, process: Process, ip: str, what: Callable[[Any], None]) -> None:
        """One that may be lost."""
        other = self.processes[f"proxy@{ip}"]
        if self.rng.random() > 0.02 and self.cuts.get((process.machine, ip), 0.0) <= self.clock.now:
            self._later(process, other, lambda: what(other))

    # The platform.

    def platform_up(self) -> bool:
        return self.clock.now >= self.platform_down_until

    def platform(self, target: str) -> tuple[int, bytes]:
        """The list in two pages; now and then too many calls, or bytes that are no list."""
        if not self.platform_up():
            return 0, b""
        if self.rng.random() < 0.03:
            return self.rng.choice(((429, b""), (200, b'{"instances": ['), (500, b"")))
        rows = [
            {
                "target": "s",
                "id": b.name,
                "address": f"10.9.0.{n + 1}:80",
                "zone": b.zone,
                "capacity": 6,
                "phase": "draining"
                if b.listed_draining is not None and self.clock.now >= b.listed_draining
                else "ready",
            }
            for n, b in enumerate(self.backends.values())
        ]
        second = "page_token" in target
        return 200, json.dumps(
            {"instances": rows[3:] if second else rows[:3], "next_token": None if second else "2"}
        ).encode()

    # The operator.

    def order(self, make: Callable[[Any], Change], done: Callable[[], None], until: float) -> None:
        """Sent to one store after the other until one keeps it."""
        process = self.processes[f"control@{self.rng.choice(sorted(CORES))}"]
        state = {"open": True}

        def again() -> None:
            if state["open"] and self.clock.now < until:
                state["open"] = False
                self.order(make, done, until)

        def answered(answer: Any) -> None:
            if state["open"] and isinstance(answer, Failure):
                self.clock.later(0.1, again)
            elif state["open"]:
                state["open"] = False
                done()

        self.clock.later(1.0, again)
        if process.up and isinstance(process, StoreProcess):
            process.call(make, answered)

    def put(self, version: int) -> None:
        """A new configuration."""
        held = {"v": version, "z": zlib.compress(document(version))}

        def done() -> None:
            if version > self.acked[0]:
                self.acked = version, self.clock.now

        self.order(
            lambda call: Change(
                call, lambda s: (s.value("config") or {"v": -1})["v"] >= version, lambda s: {"config": held}, ""
            ),
            done,
            self.clock.now + 8.0,
        )

    def evacuate(self, zone: str, on: bool) -> None:
        """A zone's backends are to get nothing, or something again."""
        name = f"evac:{zone}"
        if not on:
            self.evacuated[zone] = False, self.clock.now
        self.order(
            lambda call: Change(
                call, lambda s: (s.value(name) or {"on": False})["on"] == on, lambda s: {name: {"on": on, "n": 1}}, ""
            ),
            lambda: self.evacuated.update({zone: (on, self.clock.now)}),
            self.clock.now + 8.0,
        )

    # What is seen.

    def broke(self, why: str) -> None:
        """A rule is broken; raised after the step, as what runs in it may go on after any error."""
        self.broken = self.broken or why

    def calm_since(self, when: float) -> bool:
        """Whether nothing has been in trouble since some time before a moment."""
        return when - self.trouble_until > CONTACT_S

    def in_force(self, proxy: ProxyProcess, config: Configuration) -> None:
        if config.number <= proxy.version:
            self.broke(f"CONFIG: {proxy.name} goes back from {proxy.version} to {config.number}")
        proxy.version = config.number

    def arrived(self, proxy: ProxyProcess, name: str, route: str, tenant: str, backend: Backend) -> None:
        """A backend begins to work on a request."""
        now = self.clock.now
        ran = self.ran.setdefault(name, [])
        ran.append(backend.name)
        if route == "once" and len(ran) > 1:
            self.broke(f"TWICE: {name} ran on {ran}")
        if route == "once" and name in self.refused:
            self.broke(f"REFUSED: {name} runs after it was refused")
        if tenant == "t":
            self.runs.append(now)
            while self.runs[0] <= now - BOUNDS.quota_window_s:
                self.runs.popleft()
            most = (RATE * BOUNDS.quota_window_s + BURST) * (1 + BOUNDS.quota_excess) + BOUNDS.quota_slack
            if len(self.runs) > most:
                self.broke(f"QUOTA: {len(self.runs)} in five seconds, {most:.0f} allowed")
        since = backend.listed_draining
        if since is not None and self.calm_since(now) and now - since > BOUNDS.drain_ms / 1000:
            self.broke(f"DRAIN: {backend.name} gets {name} {now - since:.2f} s after it was listed")
        on, acked = self.evacuated.get(backend.zone, (False, 0.0))
        if on and self.calm_since(now) and now - acked > BOUNDS.evacuate_ms / 1000:
            self.broke(f"EVAC: {backend.name} gets {name} {now - acked:.2f} s after the zone was to be left")

    def answered(self, name: str, route: str, final: Final, sent: float) -> None:
        """A client has its one answer."""
        if name not in self.open:
            self.broke(f"LOST: {name} is answered twice")
            return
        del self.open[name]
        if self.clock.now > sent + DEADLINE_S:
            self.broke(f"LOST: {name} is answered after its deadline")
        if final.verdict in (Verdict.OVER_QUOTA, Verdict.NO_ROOM):
            if route == "once":
                self.refused.add(name)
                if self.ran.get(name):
                    self.broke(f"REFUSED: {name} has run and is refused")
        self.ended += 1
        self.served += final.verdict is Verdict.SERVED

    def check(self) -> None:
        """After every step."""
        if self.broken:
            raise Broken(self.broken)
        holding = [
            p.name
            for p in self.processes.values()
            if isinstance(p, RegistryProcess) and p.up and p.registry.on_duty and p.registry.holder.holds(p.now())
        ]
        if len(holding) > 1:
            self.broke(f"two hold the duty: {holding}")

    def look(self) -> None:
        """Each half second: what is overdue."""
        now = self.clock.now
        for name, (proxy, life, until) in list(self.open.items()):
            if not proxy.up or proxy.life != life:
                del self.open[name]  # its client's connection ended with the process
            elif now > until + 0.1:
                self.broke(f"LOST: {name} has no answer")
        version, at = self.acked
        if version >= 0 and self.calm_since(now) and now - at > BOUNDS.apply_within_ms / 1000:
            for process in self.processes.values():
                if isinstance(process, ProxyProcess) and process.up and process.version < version:
                    self.broke(f"CONFIG: {process.name} has {process.version}, acknowledged was {version}")
        self.clock.later(0.5, self.look)

    # Days.

    def trouble(self, kind: str, for_s: float) -> None:
        """One fault, now."""
        now = self.clock.now
        self.trouble_until = max(self.trouble_until, now + for_s)
        machine = self.rng.choice(sorted(PLACES))
        core = self.rng.choice(sorted(CORES))
        self.log.append(f"{now:7.3f} {kind} {machine if 'core' not in kind else core} for {for_s:.2f}")
        here = [p for p in self.processes.values() if p.machine == (core if "core" in kind else machine)]
        if kind in ("kill", "core kill"):
            self.stop(self.rng.choice(here), for_s)
        elif kind in ("power", "core power"):
            for process in here:
                self.stop(process, for_s, power=True)
        elif kind == "core wipe":
            for process in here:
                self.stop(process, for_s, power=True, wipe=True)
        elif kind in ("kill all", "power all", "kill core"):
            for process in self.processes.values():
                if kind != "kill core" or process.machine in CORES:
                    self.stop(process, for_s * (0.5 + 0.5 * self.rng.random()), power=kind == "power all")
        elif kind in ("cut", "core cut", "cut one way"):
            one = core if "core" in kind else machine
            for other in PLACES:
                if other != one:
                    self.cuts[one, other] = now + for_s
                    if kind != "cut one way":
                        self.cuts[other, one] = now + for_s
        elif kind == "region cut":
            for a, (_, region) in PLACES.items():
                for b, (_, other_region) in PLACES.items():
                    if region != other_region:
                        self.cuts[a, b] = now + for_s
        elif kind == "stall":
            process = self.processes[f"control@{core}"]
            assert isinstance(process, StoreProcess)
            process.disk.stalled_until = now + for_s
        elif kind == "platform":
            self.platform_down_until = now + for_s
        elif kind == "crash":
            backend = self.rng.choice(list(self.backends.values()))
            backend.dead = True
            self.clock.later(for_s, lambda: setattr(backend, "dead", False))
        elif kind == "answers lost":
            backend = self.rng.choice(list(self.backends.values()))
            backend.loses_answers = True
            self.clock.later(for_s, lambda: setattr(backend, "loses_answers", False))
        elif kind == "hot":
            self.pressing = 0.9
            self.clock.later(for_s, lambda: setattr(self, "pressing", 0.35))

    def drain(self) -> None:
        """A backend is taken out of service, as long as three stay."""
        staying = [b for b in self.backends.values() if b.listed_draining is None]
        if len(staying) > 3:
            self.rng.choice(staying).listed_draining = self.clock.now + LAG_S

    def play(self, troubles: list[tuple[float, str, float]], plan: list[tuple[float, str]]) -> None:
        """A day: founding, a configuration, traffic with troubles and planned work, calm, a verdict."""
        self.clock.at(2.0, lambda: self.put(1))
        self.clock.at(3.0, self.look)
        for at, kind, for_s in troubles:
            self.clock.at(at, lambda kind=kind, for_s=for_s: self.trouble(kind, for_s))  # type: ignore[misc]
        version = 1
        for at, what in plan:
            if what == "put":
                version += 1
                self.clock.at(at, lambda version=version: self.put(version))  # type: ignore[misc]
            elif what == "drain":
                self.clock.at(at, self.drain)
            else:
                zone = what.partition(" ")[2]
                on = what.startswith("begin")
                self.clock.at(at, lambda zone=zone, on=on: self.evacuate(zone, on))  # type: ignore[misc]
        end = max([6.0, *(at + for_s for at, _, for_s in troubles), *(at for at, _ in plan)]) + CONTACT_S + 5.0
        self.clock.run(end)
        self.pressing, self.served, self.ended = 0.1, 0, 0
        self.clock.run(end + 4.0)
        if self.ended < 100 or self.served < 0.9 * self.ended:
            raise Broken(f"calm does not bring service back: {self.served} of {self.ended} served")
        if self.acked[0] < 1:
            raise Broken("no configuration was ever acknowledged")


KINDS = (
    "kill",
    "power",
    "core kill",
    "core power",
    "core wipe",
    "kill core",
    "kill all",
    "power all",
    "cut",
    "core cut",
    "cut one way",
    "region cut",
    "stall",
    "platform",
    "crash",
    "answers lost",
    "hot",
)


def draw(seed: int) -> tuple[list[tuple[float, str, float]], list[tuple[float, str]]]:
    """A day's troubles and planned work. A disk is lost only when no other machine of the core has been in trouble."""
    rng = random.Random(seed * 7907 + 3)
    at = 5.0
    troubles: list[tuple[float, str, float]] = []
    for _ in range(rng.randint(1, 4)):
        at += rng.choice((0.1, 1.0, 3.0)) * (0.5 + rng.random())
        kind = rng.choice(KINDS)
        if kind == "core wipe" or (troubles and troubles[-1][1] == "core wipe"):
            at = max([at, *(t + for_s + 6.0 for t, _, for_s in troubles)])
        troubles.append((at, kind, rng.choice((0.4, 1.2, 3.0)) * (0.5 + rng.random())))
    plan: list[tuple[float, str]] = []
    for _ in range(rng.randint(1, 5)):
        plan.append((5.0 + rng.random() * (at - 2.0), rng.choice(("put", "put", "drain", "begin a1", "end a1"))))
    return troubles, sorted(plan)


def run(seed: int, troubles: list[tuple[float, str, float]] | None = None) -> World:
    """Play a seed's day, with its own troubles or fewer. Broken says which rule."""
    drawn, plan = draw(seed)
    world = World(seed)
    try:
        world.play(drawn if troubles is None else troubles, plan)
    except Broken as broken:
        broken.add_note("\n".join([*world.log, f"at {world.clock.now:.3f}"]))
        raise
    return world


def shrink(seed: int) -> list[tuple[float, str, float]]:
    """The fewest of a seed's troubles that still break a rule, each tried without."""
    troubles, at = draw(seed)[0], 0
    while at < len(troubles):
        fewer = troubles[:at] + troubles[at + 1 :]
        try:
            run(seed, fewer)
            at += 1
        except Broken:
            troubles = fewer
    return troubles
