"""The proxy as a process: news from the core, the counter, heartbeats, clients' doors."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgpack

from roadspur.common.birth import BORN
from roadspur.common.boot import CONTROL, PROXY, REGISTRY, RING
from roadspur.common.events import Event, say
from roadspur.common.failures import Failure, Kind
from roadspur.common.process import Settings, life, serve
from roadspur.net.server import Bounds
from roadspur.net.upstream import Endpoint, Terms, Upstream
from roadspur.proxy.decisions import Decisions
from roadspur.proxy.directory import TTL_S, addresses
from roadspur.proxy.front import ATTEMPT, ProxyFarewell, ProxyIngress, ProxyServer, outcome_of
from roadspur.proxy.knowledge import (
    Backends,
    HandOver,
    Heartbeat,
    InForce,
    Knowledge,
    Output,
    Serving,
    ToRegistry,
    Verdict,
)
from roadspur.services.wire import read_address
from roadspur.transport.api import Addresses, CallServer, Handler, Readiness, Ready, Resolve
from roadspur.transport.links import Dial, Link, Listener

CONNECT_S = 0.6      # to a backend of another region
NEAR_S = 0.25        # to one of this region
IDLE_S = 16.0        # of which the pools trust half; a backend's Keep-Alive may say less
SILENT_S = 1.2       # without a word from a backend's kernel, after which a connection ends
SPARE = 120          # descriptors that are neither clients' nor backends'
NOTICE_S = 0.4       # between telling that this ingress ends and closing the door at the earliest
BODY_MOST = 64 * 1024 * 1024
DOOR = Bounds(body=4096, slow=3.0, idle=10.0)


class Heartbeats(asyncio.DatagramProtocol):
    """Datagrams of the ring."""

    def __init__(self, heard: Callable[[dict[str, Any], str], None]) -> None:
        self.heard = heard
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            table = msgpack.unpackb(data)
            self.heard({"n": str(table["n"]), "k": int(table["k"]), "m": int(table["m"])}, addr[0])
        except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException):
            return  # a datagram is nobody's promise

    def error_received(self, exc: Exception) -> None:
        return


class ProxyProgram:
    """One process on a front machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        loop = self.loop = asyncio.get_running_loop()
        now = loop.time()
        self.decisions = Decisions(boot.node_name, boot.zone, boot.region, boot.bounds, random.Random(), now,
                                   BORN)
        share = max(32, (boot.limits.fd_limit - 200 - SPARE) // 2)
        self.upstream = Upstream(loop, CONNECT_S, IDLE_S, share, Terms(BODY_MOST, ATTEMPT, SILENT_S, outcome_of))
        self.ingress = ProxyIngress(loop, self.decisions, self.upstream,
                                   lambda a: self._carry(self.knowledge.charge(a)))
        self.server = ProxyServer(loop, self.ingress, share)
        self.directory = CallServer(loop, [Handler(Resolve, self.resolve)], DOOR)
        self.readiness = CallServer(loop, [Handler(Readiness, self.ready)], DOOR)
        self.cores = set(boot.core_ips)
        self.control: dict[str, Dial] = {}
        self.registries: dict[str, Dial] = {}
        about = {"front": boot.binds.front, "ip": boot.ip, "zone": boot.zone, "region": boot.region}
        self.knowledge = Knowledge(boot.node_name, life(), boot.region, lambda zone: self.boot.region_of(zone), about,
                                   self.decisions, now)
        self.beats = Heartbeats(self._beat)
        self.handing = Listener(loop, self._handed, lambda link: None, most=64)
        self.leaving = False

    async def run(self) -> None:
        """Until it is told to end."""
        boot = self.boot
        await self.loop.create_datagram_endpoint(lambda: self.beats, local_addr=(boot.ip, boot.port(RING)))
        await self.handing.listen(boot.ip, boot.port(PROXY))
        if boot.binds.ready:
            await self.readiness.listen(*read_address(boot.binds.ready))
        if boot.binds.directory:
            await self.directory.listen(*read_address(boot.binds.directory))
        if boot.binds.front:
            await self.server.listen(*read_address(boot.binds.front))
        self.tick()
        await serve("proxy", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Tell that this ingress ends, go on for as long as somebody comes, finish what is held, close."""
        self.leaving = True
        self.server.stopping = True
        self._carry(self.knowledge.here(self.loop.time(), self.is_ready()))
        grace = self.boot.bounds.grace_s
        farewell = ProxyFarewell(self.loop.time(), grace)
        try:
            async with asyncio.timeout(grace - 0.3):
                await self.server.leave(asyncio.sleep(NOTICE_S), farewell)
        except TimeoutError:
            pass
        self.ingress.driver.close()
        self.server.close()
        self.directory.close()
        self.readiness.close()
        self.handing.close()
        for dial in (*self.control.values(), *self.registries.values()):
            dial.close()
        self.upstream.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.cores |= set(self.boot.core_ips)

    # Time.

    def tick(self) -> None:
        """Connections, beats to the counter and to the ring."""
        now = self.loop.time()
        for ip in self.cores:
            if ip not in self.control:
                self.control[ip] = Dial(self.loop, ip, self.boot.port(CONTROL), self.knowledge.follow_kept,
                                       self._from_control)
                self.registries[ip] = Dial(self.loop, ip, self.boot.port(REGISTRY), self.knowledge.follow_list,
                                           self._from_list)
        self._carry(self.knowledge.tick(now, self.is_ready()))

    def is_ready(self) -> bool:
        """Whether a request could be served here."""
        return bool(self.server.index is not None and self.server.known and self.ingress.serving and not self.leaving)

    # What the machine says.

    def _carry(self, outputs: list[Output]) -> None:
        for out in outputs:
            if isinstance(out, ToRegistry):
                for ip, dial in self.registries.items():
                    if out.ip in ("", ip):
                        dial.send(out.table)
            elif isinstance(out, Heartbeat):
                if self.beats.transport is not None:
                    self.beats.transport.sendto(msgpack.packb(out.table), (out.ip, self.boot.port(RING)))
            elif isinstance(out, Verdict):
                counted: Any = out.counted
                self.ingress.submit(counted)
            elif isinstance(out, HandOver):
                self.loop.create_task(self._hand_over(out))
            elif isinstance(out, InForce):
                self.server.follow(out.lookup)
            elif isinstance(out, Backends):
                for name, where in out.changes.items():
                    self.upstream.update(name, None if where is None else Endpoint(
                        where[0], 0.0, NEAR_S if where[1] else CONNECT_S))
            elif isinstance(out, Serving):
                for name in self.ingress.serving - out.names:
                    self.upstream.close_idle(name)
                self.ingress.serving.clear()
                self.ingress.serving |= out.names
                self.server.known = self.knowledge.known
            else:
                say(out.event, *out.fields)

    def _from_control(self, dial: Dial, table: dict[str, Any]) -> None:
        if table["t"] == "core":
            self.cores |= set(table["ips"])
            return
        outputs, reply = self.knowledge.from_store(self.loop.time(), table)
        self._carry(outputs)
        if reply is not None:  # only what is in force here is acknowledged
            dial.send(reply)

    def _from_list(self, dial: Dial, table: dict[str, Any]) -> None:
        outputs, reply = self.knowledge.from_registry(self.loop.time(), dial.host, table)
        self._carry(outputs)
        if reply is not None:
            dial.send(reply)

    # The ring.

    def _beat(self, table: dict[str, Any], ip: str) -> None:
        self._carry(self.knowledge.beat(self.loop.time(), table, ip))

    async def _hand_over(self, hand: HandOver) -> None:
        """Give one that came back what it should have had, while the core does not."""
        done = self.loop.create_future()

        def ended(link: Link, why: str) -> None:
            if not done.done():
                done.set_result(why)
        try:
            async with asyncio.timeout(1.0):
                _, link = await self.loop.create_connection(
                    lambda: Link(self.loop, lambda k: k.send(hand.table), lambda k, t: ended(k, "taken"), ended),
                    hand.ip, self.boot.port(PROXY))
                await done
            link.close()
            say(Event.HANDED, hand.name, hand.table["kept"]["prev"] or 0, hand.table["list"]["prev"] or 0)
        except (OSError, TimeoutError):
            return

    def _handed(self, link: Link, table: dict[str, Any]) -> None:
        if table["t"] == "hand":
            self._carry(self.knowledge.handed(self.loop.time(), table))
            link.send({"t": "taken"})

    # Doors.

    def ready(self, call: Readiness, done: Callable[[Any], None]) -> None:
        """The platform's check."""
        done(Ready() if self.is_ready() else Failure(Kind.STARTING))

    def resolve(self, call: Resolve, done: Callable[[Any], None]) -> None:
        """Where a client should go."""
        members = self.knowledge.list.state.values("m:")
        me = members.get(self.boot.node_name)
        if me is not None:
            members[self.boot.node_name] = {**me, "up": self.is_ready()}
        found = addresses(members, self.knowledge.ring.silent(self.loop.time()), call.region, call.zone)
        done(Addresses(tuple(found), min(TTL_S, self.boot.bounds.ttl_max_s)) if found else Failure(Kind.STARTING))


async def main(settings: Settings) -> None:
    """What `python -m roadspur.system proxy` runs."""
    await ProxyProgram(settings).run()
