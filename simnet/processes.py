"""The system's processes in the simulation: their own state machines, unchanged, on simulated connections and disks."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from simnet.backends import Attempt
from simnet.disk import Disk
from simnet.places import BOUNDS, CORES, DEADLINE_S, PLACES, ZONES
from thistleusher.common.configuration import RouteMatch
from thistleusher.control.interface import Answer, Change, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.core import events
from thistleusher.core.driver import Driver
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import Ended, Final
from thistleusher.proxy import cluster_view as knowledge
from thistleusher.proxy.cluster_view import ClusterView, InForce, Serving, ToPeer, ToRegistry, ToRing
from thistleusher.proxy.decisions import Asked, Charge, Decisions
from thistleusher.registry.outputs import CallPlatform as PlatformCall
from thistleusher.registry.outputs import Output as RegistryOutput
from thistleusher.registry.outputs import SendToControl
from thistleusher.registry.outputs import SendToSubscriber as RegistryTell
from thistleusher.registry.registry import Registry
from thistleusher.transport.messages import AnyMessage, HandOver, Hello, RingHeartbeat

if TYPE_CHECKING:
    from simnet.system import World

TOLERANCE = 1


class Process:
    """One process on a machine; `life` tells its lives apart."""

    def __init__(self, world: World, kind: str, machine: str) -> None:
        self.world, self.kind, self.machine = world, kind, machine
        self.name = f"{kind}@{machine}"
        self.life = 0
        self.up = False
        self.links: dict[str, int] = {}  # that it has opened: to whom, and which connection
        self.frozen_until = 0.0  # it stands still, and then takes what came meanwhile, in order

    def now(self) -> float:
        return self.world.time(self.machine)

    def begin(self) -> None:
        """A new life."""

    def tick(self) -> None:
        """Time has passed."""

    def opened(self, to: str) -> None:
        """A connection that this process opened stands."""

    def heard(self, sender: str, who: str, message: AnyMessage) -> None:
        """A message on a connection that another opened; `who`: its `me`."""

    def replied(self, sender: str, message: AnyMessage) -> None:
        """A message on a connection that this process opened."""

    def lost(self, who: str) -> None:
        """A connection that another opened has ended."""


class ControlProcess(Process):
    """control."""

    service: ControlService

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "control", machine)
        self.disk = Disk(world.rng)
        self.waiting: dict[int, Callable[[Any], None]] = {}

    def begin(self) -> None:
        stored = self.disk.stored()
        now, rng = self.now(), random.Random(self.world.rng.random())
        zone, bootstrap = PLACES[self.machine][0], self.life == 1
        node = ControlNode(self.machine, zone, sorted(CORES), bootstrap, stored, now, rng, TOLERANCE)
        self.service, self.waiting = ControlService(node, LeaseGrantor(now, stored.leases)), {}

    def tick(self) -> None:
        self.carry(self.service.tick(self.now()))

    def opened(self, to: str) -> None:
        self.carry(self.service.connected(self.now(), to.partition("@")[2]))

    def heard(self, sender: str, who: str, message: AnyMessage) -> None:
        if not isinstance(message, Hello):
            self.carry(self.service.receive(self.now(), who, message))

    def lost(self, who: str) -> None:
        self.service.disconnected(who)

    def call(self, make: Callable[[int], Change], done: Callable[[Any], None]) -> None:
        """An operator's call."""
        number, outputs = self.service.submit(self.now(), make)
        self.waiting[number] = done
        self.carry(outputs)

    def carry(self, outputs: Sequence[ServiceOutput]) -> None:
        """Do what follows from an input."""
        for out in outputs:
            if isinstance(out, Send):
                self.world.send(self, f"control@{out.to}", out.message)
            elif isinstance(out, SendToClient):
                self.world.reply(self, out.name, out.message)
            elif isinstance(out, Write):
                self._write(out)
            elif isinstance(out, Answer) and out.call_id in self.waiting:
                self.waiting.pop(out.call_id)(out.answer)

    def _write(self, write: Write) -> None:
        clock, life = self.world.clock, self.life

        def end() -> None:
            if self.life == life and self.up:
                ok = self.disk.end()
                self.world.when_running(
                    self, lambda: self.carry(self.service.write_completed(self.now(), write.token, ok))
                )

        clock.at(self.disk.begin(clock.now, write.records), end)

    def _write_completed(self, token: int, ok: bool) -> None:
        self.carry(self.service.write_completed(self.now(), token, ok))


class RegistryProcess(Process):
    """registry."""

    registry: Registry

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "registry", machine)

    def begin(self) -> None:
        me, rng = f"{self.machine}/{self.life}", random.Random(self.world.rng.random())
        self.registry = Registry(me, self.machine, self.now(), rng, 50.0, True)

    def tick(self) -> None:
        self.carry(self.registry.tick(self.now()))

    def opened(self, to: str) -> None:
        follower = self.registry.control_state if to.startswith("control") else self.registry.list
        self.world.send(self, to, follower.subscribe_request())

    def replied(self, sender: str, message: AnyMessage) -> None:
        if sender.startswith("control"):
            outputs, reply = self.registry.receive_from_control(self.now(), sender.partition("@")[2], message)
        else:
            outputs, reply = self.registry.receive_from_peer(self.now(), message)
        self.carry(outputs)
        if reply is not None:
            self.world.send(self, sender, reply)

    def heard(self, sender: str, who: str, message: AnyMessage) -> None:
        self.carry(self.registry.receive_from_subscriber(self.now(), who, message))

    def lost(self, who: str) -> None:
        self.registry.subscriber_gone(who)

    def carry(self, outputs: Sequence[RegistryOutput]) -> None:
        """Do what follows from an input."""
        for out in outputs:
            if isinstance(out, RegistryTell):
                if not self.registry.lease.holds_lease(self.now()):
                    self.world.broke(f"LEASE: {self.name} tells {out.name} {type(out.message).__name__} without one")
                self.world.reply(self, out.name, out.message)
            elif isinstance(out, SendToControl):
                for address in CORES:
                    if out.address in ("", address):
                        self.world.send(self, f"control@{address}", out.message)
            elif isinstance(out, PlatformCall):
                self._call(out.target)

    def _call(self, target: str) -> None:
        world = self.world

        def answered() -> None:
            status, body = world.platform(target)
            self.carry(self.registry.platform_answered(self.now(), status, body))

        world.later(self, 0.002 if world.platform_up() else 1.0, answered)


class ProxyProcess(Process):
    """proxy: knowledge, decisions and the driver; its own backends' port."""

    def __init__(self, world: World, machine: str) -> None:
        super().__init__(world, "proxy", machine)
        self.asked = 0

    def begin(self) -> None:
        zone, region = PLACES[self.machine]
        now = self.now()
        self.decisions = Decisions(self.machine, zone, region, BOUNDS, random.Random(self.world.rng.random()), now, now)
        self.knowledge = ClusterView(
            self.machine,
            f"{self.machine}/{self.life}",
            region,
            ZONES.__getitem__,
            {"front": f"{self.machine}:80", "ip": self.machine, "zone": zone, "region": region},
            self.decisions,
            now,
        )
        self.driver = Driver(self.decisions.settings, self.decisions, self, Scheduler(self), self.now)
        self.driver.handlers[Charge] = lambda action: self.carry(self.knowledge.charge(self.now(), action))
        self.serving: set[str] = set()
        self.version = -1

    def ready(self) -> bool:
        return self.knowledge.index is not None and self.knowledge.known and bool(self.serving)

    def tick(self) -> None:
        self.carry(self.knowledge.tick(self.now(), self.ready()))

    def opened(self, to: str) -> None:
        hello = self.knowledge.follow_control() if to.startswith("control") else self.knowledge.follow_list()
        self.world.send(self, to, hello)

    def replied(self, sender: str, message: AnyMessage) -> None:
        if sender.startswith("control"):
            outputs, reply = self.knowledge.from_control(self.now(), message)
        else:
            outputs, reply = self.knowledge.from_registry(self.now(), sender.partition("@")[2], message)
        self.carry(outputs)
        if reply is not None:
            self.world.send(self, sender, reply)

    def carry(self, outputs: Sequence[knowledge.Output]) -> None:
        """Do what follows from an input."""
        for out in outputs:
            if isinstance(out, ToRegistry):
                for address in CORES:
                    if out.ip in ("", address):
                        self.world.send(self, f"registry@{address}", out.message)
            elif isinstance(out, ToRing | ToPeer):
                self.world.datagram(self, out.ip, out.message)
            elif isinstance(out, InForce):
                self.world.in_force(self, out.lookup.config)
                self.driver.classes |= self.decisions.classes
            elif isinstance(out, Serving):
                self.serving = out.names
            elif isinstance(out, knowledge.Verdict):
                counted: Any = out.counted
                self.driver.submit(counted)

    def datagram(self, sender: str, message: AnyMessage) -> None:
        """A beat of the ring, or a copy of the news."""
        if isinstance(message, RingHeartbeat):
            self.carry(self.knowledge.beat(self.now(), message, sender))
        elif isinstance(message, HandOver):
            self.carry(self.knowledge.handed(self.now(), message))

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
        self.decisions.expect(name, Asked(RouteMatch(route, index.config.routes[route]), tenant))
        life, sent = self.life, world.clock.now
        world.open[name] = (self, life, sent + DEADLINE_S)

        def final(final: Final) -> None:
            world.answered(name, route, final, sent)

        self.driver.accept(events.Request(name, route, "all", 0, DEADLINE_S, 1.0), final, (route, tenant))

    # The driver's port to backends.

    def prepare(self, held: InFlightRequest, backend: str, on_end: Callable[[Ended], None]) -> Attempt:
        return Attempt(self, held, backend, on_end)

    def probe(self, backend: str) -> None:
        return

    def close_idle(self, backend: str) -> None:
        return


class Scheduler:
    """The driver's timers, of one life."""

    def __init__(self, proxy: ProxyProcess) -> None:
        self.proxy, self.life = proxy, proxy.life

    def time(self) -> float:
        return self.proxy.now()

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        timer = Timer()

        def fire() -> None:
            if not timer.cancelled:
                callback(*args)

        self.proxy.world.later(self.proxy, max(0.0, delay), fire)
        return timer

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer:
        return self.call_later(when - self.time(), callback, *args)


class Timer:
    """A call that is due."""

    cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
