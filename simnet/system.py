"""The whole system in the simulation: control, registry and proxy processes with their own state machines, unchanged,
a platform, backends, clients and an operator; and the users' rules that can be seen there, checked as things happen.

Rules, by the users' names: TWICE and REFUSED (what may not be repeated), QUOTA (over every five seconds), DRAIN and
EVAC (what arrives at a backend that is to get nothing), CONFIG (no proxy goes back, all have in time what was
acknowledged), LOST (each request gets its one answer in time), and that calm brings service back. Of the design's own:
LEASE (a registry tells nothing without the duty's lease, of which there is one at a time). Bounds in time hold once
nothing has been in trouble for `CONTACT_S`, as on the users' page.

A connection is opened by one process to another and is held; it ends with either process, or where a cut lasts; what
was under way is lost. A process that is frozen takes what came meanwhile when it goes on. Clocks are of their own
origin for each machine. All that happens is drawn from one seed.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from simnet.backends import Backend
from simnet.clock import Clock
from simnet.core import Broken
from simnet.places import BOUNDS, BURST, CORES, DEADLINE_S, PLACES, PROXIES, RATE, document, way
from simnet.processes import ControlProcess, Process, ProxyProcess, RegistryProcess
from thistleusher.common import config_items
from thistleusher.common.configuration import Configuration
from thistleusher.common.errors import ServiceError
from thistleusher.control.interface import Change
from thistleusher.core.ports import Final, Verdict
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import AnyMessage, Hello

TICK_S = 0.06
CONTACT_S = 5.0
SILENT_S = 1.5
DIAL_S = 0.1
LAG_S = 0.8  # of the platform's list
ASKED_S = 0.06  # between requests at one proxy, on average

Trouble = tuple[float, str, float]  # when, what, for how long


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
            self._add(ControlProcess(self, machine))
            self._add(RegistryProcess(self, machine))
        for machine in PROXIES:
            self._add(ProxyProcess(self, machine))

    def time(self, machine: str) -> float:
        return self.origins[machine] + self.clock.now

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        self.start(process)

    # Processes and connections.

    def start(self, process: Process) -> None:
        """A new life begins; what others had with the old one is over."""
        process.life += 1
        process.up, process.links, process.frozen_until = True, {}, 0.0
        process.begin()
        life = process.life

        def tick() -> None:
            process.tick()
            self.later(process, TICK_S * (0.9 + 0.2 * self.rng.random()), tick)

        def dial() -> None:
            if process.up and process.life == life:
                self._dial(process)
                self.clock.later(DIAL_S, dial)

        def ask() -> None:
            assert isinstance(process, ProxyProcess)
            process.request()
            self.later(process, self.rng.expovariate(1 / ASKED_S), ask)

        self.later(process, 0.0, tick)
        self.clock.later(0.01 * self.rng.random(), dial)
        if process.kind == "proxy":
            self.later(process, 0.1, ask)

    def stop(self, process: Process, for_s: float, power: bool = False, wipe: bool = False) -> None:
        """A process is killed and begins anew after a while."""
        if not process.up:
            return
        process.up = False
        process.life += 1
        if isinstance(process, ControlProcess):
            if power:
                process.disk.lose_process()
            while process.disk.pending:
                process.disk.end()
            if wipe:
                process.disk.wipe()
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
                    self.send(process, to, Hello(process.machine))
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

    def when_running(self, process: Process, what: Callable[[], None]) -> None:
        """Now, or once a process that is frozen goes on; never in another life of it."""
        life = process.life

        def run() -> None:
            if not process.up or process.life != life:
                return
            if process.frozen_until > self.clock.now:
                self.clock.at(process.frozen_until, run)  # what waits keeps its order
            else:
                what()

        run()

    def later(self, process: Process, delay: float, what: Callable[[], None]) -> None:
        """After a while, by a process that is in the same life then."""
        life = process.life

        def due() -> None:
            if process.life == life:
                self.when_running(process, what)

        self.clock.later(delay, due)

    def _arrive(self, a: Process, b: Process, what: Callable[[], None]) -> None:
        """In order, after the way; never where a cut lasts."""
        cut = self.cuts.get((a.machine, b.machine), 0.0)
        due = self.clock.now + way(PLACES[a.machine][0], PLACES[b.machine][0]) * (1 + 0.3 * self.rng.random())
        if cut > self.clock.now:
            due = cut + due - self.clock.now  # held up; the connection may have ended by then
        due = max(due, self.last.get((a.name, b.name), 0.0))
        self.last[a.name, b.name] = due
        self.later(b, due - self.clock.now, what)

    def send(self, process: Process, to: str, message: AnyMessage) -> None:
        """A message on a connection that `process` has opened."""
        link = process.links.get(to)
        if link is None:
            return
        other, data, who = self.processes[to], encode(message), self._who(process)

        def arrive() -> None:
            if process.links.get(to) == link:
                self.by_name[to, who] = process.name, link
                other.heard(process.name, who, decode(data))

        self._arrive(process, other, arrive)

    @staticmethod
    def _who(process: Process) -> str:
        return process.registry.name if isinstance(process, RegistryProcess) else process.machine

    def reply(self, process: Process, who: str, message: AnyMessage) -> None:
        """A message back on the connection of one that is known by its name."""
        known = self.by_name.get((process.name, who))
        if known is None:
            return
        other, data = self.processes[known[0]], encode(message)

        def arrive() -> None:
            if other.links.get(process.name) == known[1]:
                other.replied(process.name, decode(data))

        self._arrive(process, other, arrive)

    def datagram(self, process: Process, ip: str, message: AnyMessage) -> None:
        """One that may be lost."""
        other, data = self.processes[f"proxy@{ip}"], encode(message)
        assert isinstance(other, ProxyProcess)
        if self.rng.random() > 0.02 and self.cuts.get((process.machine, ip), 0.0) <= self.clock.now:
            self._arrive(process, other, lambda: other.datagram(process.machine, decode(data)))

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

    def order(self, make: Callable[[int], Change], done: Callable[[], None], until: float) -> None:
        """Sent to one store after the other until one keeps it."""
        process = self.processes[f"control@{self.rng.choice(sorted(CORES))}"]
        state = {"open": True}

        def again() -> None:
            if state["open"] and self.clock.now < until:
                state["open"] = False
                self.order(make, done, until)

        def answered(answer: Any) -> None:
            if state["open"] and isinstance(answer, ServiceError):
                self.clock.later(0.1, again)
            elif state["open"]:
                state["open"] = False
                done()

        self.clock.later(1.0, again)
        if process.up and isinstance(process, ControlProcess):
            process.call(make, answered)

    def put(self, version: int) -> None:
        """A new configuration."""

        def done() -> None:
            if version > self.acked[0]:
                self.acked = version, self.clock.now

        self.order(
            lambda call: Change(
                call,
                lambda state: config_items.number_of(state) >= version,
                lambda state: config_items.changes(state, version, document(version)),
                "",
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

    @staticmethod
    def _answer_until(proxy: ProxyProcess, sent: float) -> float:
        """When a request is to be answered at the latest; one whose proxy stood still has its time after that."""
        return max(sent, proxy.frozen_until) + DEADLINE_S

    def answered(self, name: str, route: str, final: Final, sent: float) -> None:
        """A client has its one answer."""
        if name not in self.open:
            self.broke(f"LOST: {name} is answered twice")
            return
        proxy = self.open.pop(name)[0]
        if self.clock.now > self._answer_until(proxy, sent):
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
            if isinstance(p, RegistryProcess)
            and p.up
            and p.registry.holds_role
            and p.registry.lease.holds_lease(p.now())
        ]
        if len(holding) > 1:
            self.broke(f"LEASE: two hold the duty: {holding}")

    def look(self) -> None:
        """Each half second: what is overdue."""
        now = self.clock.now
        for name, (proxy, life, until) in list(self.open.items()):
            if not proxy.up or proxy.life != life:
                del self.open[name]  # its client's connection ended with the process
            elif now > self._answer_until(proxy, until - DEADLINE_S) + 0.1:
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
            assert isinstance(process, ControlProcess)
            process.disk.stalled_until = now + for_s
        elif kind in ("freeze", "core freeze"):
            for process in here:
                process.frozen_until = now + for_s
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

    def play(self, troubles: list[Trouble], plan: list[tuple[float, str]]) -> None:
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
    "freeze",
    "core freeze",
    "stall",
    "platform",
    "crash",
    "answers lost",
    "hot",
)


def draw(seed: int) -> tuple[list[Trouble], list[tuple[float, str]]]:
    """A day's troubles and planned work. A disk is lost only when no other machine of the core has been in trouble."""
    rng = random.Random(seed * 7907 + 3)
    at = 5.0
    troubles: list[Trouble] = []
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


def run(seed: int, troubles: list[Trouble] | None = None) -> World:
    """Play a seed's day, with its own troubles or fewer. Broken says which rule."""
    drawn, plan = draw(seed)
    world = World(seed)
    try:
        world.play(drawn if troubles is None else troubles, plan)
    except Broken as broken:
        broken.add_note("\n".join([*world.log, f"at {world.clock.now:.3f}"]))
        raise
    return world


def shrink(seed: int) -> list[Trouble]:
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
