"""The proxy as a process: news from the core, the counter, heartbeats, clients' doors.

The clock is read anew for each input: `loop.time()` is that of the loop's iteration, and a process that stood still in
one would take it for the present.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, cast

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.common.events import Event, log_event
from thistleusher.common.node_settings import CONTROL, PROXY, REGISTRY, RING
from thistleusher.common.process import SettingsFile, new_incarnation, serve
from thistleusher.common.process_start import PROCESS_STARTED_AT
from thistleusher.net.backend_connection import UpstreamOptions
from thistleusher.net.connection_pool import Endpoint
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.cluster_view import (
    Backends,
    ClusterView,
    Core,
    InForce,
    Output,
    Serving,
    ToPeer,
    ToRegistry,
    ToRing,
    Verdict,
)
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.directory import TTL_S, addresses
from thistleusher.proxy.listener import ATTEMPT, ProxyGracefulShutdown, ProxyIngress, ProxyServer, outcome_of
from thistleusher.services.addresses import read_address
from thistleusher.transport.call_server import CallServer, Handler
from thistleusher.transport.calls import Addresses, Readiness, Ready, Resolve
from thistleusher.transport.codec import MalformedMessageError, decode, encode
from thistleusher.transport.core_links import CoreLinks
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, HandOver, HandOverAccepted, RingHeartbeat

CONNECT_S = 0.6  # to a backend of another region
NEAR_S = 0.25  # to one of this region
IDLE_S = 16.0  # of which the pools trust half; a backend's Keep-Alive may say less
SILENT_S = 1.2  # without a word from a backend's kernel, after which a connection ends
SPARE = 120  # descriptors that are neither clients' nor backends'
NOTICE_S = 0.4  # between telling that this ingress ends and closing the door at the earliest
BODY_MOST = 64 * 1024 * 1024
DOOR = ClientLimits(max_body_bytes=4096, read_timeout_s=3.0, idle_timeout_s=10.0)
HAND_OVER_S = 1.0  # for a copy of the news to be taken
MOST_WATCHERS = 64  # whose copies are taken at once


class Heartbeats(asyncio.DatagramProtocol):
    """Datagrams of the ring."""

    def __init__(self, heard: Callable[[RingHeartbeat, str], None]) -> None:
        self.heard = heard
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """What is no beat of the ring is dropped: a datagram is nobody's promise."""
        try:
            message = decode(data)
        except MalformedMessageError:
            return
        if isinstance(message, RingHeartbeat):
            self.heard(message, addr[0])

    def send(self, beat: RingHeartbeat, address: tuple[str, int]) -> None:
        """Send one; it may be lost."""
        if self.transport is not None:
            self.transport.sendto(encode(beat), address)

    def error_received(self, exc: Exception) -> None:
        return


class ProxyProgram:
    """One process on a front machine."""

    def __init__(self, settings: SettingsFile) -> None:
        self.settings = settings
        boot = self.boot = settings.node_settings
        loop = self.loop = asyncio.get_running_loop()
        now = time.monotonic()
        self.decisions = Decisions(
            boot.node_name, boot.zone, boot.region, boot.bounds, random.Random(), now, PROCESS_STARTED_AT
        )
        share = max(32, (boot.limits.fd_limit - 200 - SPARE) // 2)
        self.upstream = Upstream(
            loop, CONNECT_S, IDLE_S, share, UpstreamOptions(BODY_MOST, ATTEMPT, SILENT_S, outcome_of)
        )
        self.ingress = ProxyIngress(
            loop,
            self.decisions,
            self.upstream,
            lambda action: self._carry(self.knowledge.charge(time.monotonic(), action)),
        )
        self.server = ProxyServer(loop, self.ingress, share)
        self.directory = CallServer(loop, [Handler(Resolve, self.resolve)], DOOR)
        self.readiness = CallServer(loop, [Handler(Readiness, self.ready)], DOOR)
        attributes = {"front": boot.binds.front, "ip": boot.ip, "zone": boot.zone, "region": boot.region}
        self.knowledge = ClusterView(
            boot.node_name,
            new_incarnation(),
            boot.region,
            lambda zone: self.boot.region_of(zone),
            attributes,
            self.decisions,
            now,
        )
        self.beats = Heartbeats(self._beat)
        self.control = CoreLinks(
            loop, lambda: self.boot.port(CONTROL), self.knowledge.follow_control, self._from_control
        )
        self.registries = CoreLinks(
            loop, lambda: self.boot.port(REGISTRY), self.knowledge.follow_list, self._from_registry
        )
        self.handing = Listener(loop, self._handed, lambda link: None, max_links=MOST_WATCHERS)
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
        self._meet(boot.core_ips)
        self.tick()
        await serve("proxy", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Tell that this ingress ends, go on for as long as somebody comes, finish what is held, close."""
        self.leaving = True
        self.server.shutting_down = True
        self._carry(self.knowledge.here(time.monotonic(), self.is_ready()))
        grace = self.boot.bounds.grace_s
        farewell = ProxyGracefulShutdown(self.loop.time(), grace)
        try:
            async with asyncio.timeout(grace - 0.3):
                await self.server.drain(asyncio.sleep(NOTICE_S), farewell)
        except TimeoutError:
            pass
        self.ingress.driver.close()
        self.server.close()
        self.directory.close()
        self.readiness.close()
        self.handing.close()
        self.control.close()
        self.registries.close()
        self.upstream.close()

    def _changed(self) -> None:
        self.boot = self.settings.node_settings
        self._meet(self.boot.core_ips)

    def _meet(self, addresses: tuple[str, ...] | list[str]) -> None:
        self.control.connect_to(addresses)
        self.registries.connect_to(addresses)

    # Time.

    def tick(self) -> None:
        """Beats to the counter and to the ring."""
        self._carry(self.knowledge.tick(time.monotonic(), self.is_ready()))

    def is_ready(self) -> bool:
        """Whether a request could be served here."""
        return bool(self.server.index is not None and self.server.known and self.ingress.serving and not self.leaving)

    # What the machine says.

    def _carry(self, outputs: list[Output]) -> None:
        for out in outputs:
            if isinstance(out, ToRegistry):
                if out.ip:
                    self.registries.send(out.ip, out.message)
                else:
                    self.registries.broadcast(out.message)
            elif isinstance(out, ToRing):
                self.beats.send(out.message, (out.ip, self.boot.port(RING)))
            elif isinstance(out, Core):
                self._meet(out.addresses)
            elif isinstance(out, Verdict):
                counted: Any = out.counted
                self.ingress.submit(counted)
            elif isinstance(out, ToPeer):
                self.loop.create_task(self._hand_over(out))
            elif isinstance(out, InForce):
                self.server.follow(out.lookup)
            elif isinstance(out, Backends):
                for name, where in out.changes.items():
                    self.upstream.update(
                        name, None if where is None else Endpoint(where[0], 0.0, NEAR_S if where[1] else CONNECT_S)
                    )
            elif isinstance(out, Serving):
                for name in self.ingress.serving - out.names:
                    self.upstream.close_idle(name)
                self.ingress.serving.clear()
                self.ingress.serving |= out.names
                self.server.known = self.knowledge.known
            else:
                log_event(out.event, *out.fields)

    def _from_control(self, dial: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.knowledge.from_control(time.monotonic(), message)
        self._carry(outputs)
        if reply is not None:  # only what is in force here is acknowledged
            dial.send(reply)

    def _from_registry(self, dial: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.knowledge.from_registry(time.monotonic(), dial.host, message)
        self._carry(outputs)
        if reply is not None:
            dial.send(reply)

    # The ring.

    def _beat(self, beat: RingHeartbeat, ip: str) -> None:
        self._carry(self.knowledge.beat(time.monotonic(), beat, ip))

    async def _hand_over(self, peer: ToPeer) -> None:
        """Give one that came back what it should have had, while the core does not."""
        done: asyncio.Future[bool] = self.loop.create_future()

        def end(taken: bool) -> None:
            if not done.done():
                done.set_result(taken)

        link = Link(
            self.loop,
            lambda link: link.send(peer.message),
            lambda link, message: end(isinstance(message, HandOverAccepted)),
            lambda link, why: end(False),
        )
        try:
            async with asyncio.timeout(HAND_OVER_S):
                await self.loop.create_connection(lambda: link, peer.ip, self.boot.port(PROXY))
                taken = await done
        except (OSError, TimeoutError):
            return
        finally:
            link.close()
        if taken:
            copy = peer.message
            log_event(Event.STATE_HANDED_OVER, peer.name, copy.control.previous or 0, copy.registry.previous or 0)

    def _handed(self, link: Link, message: AnyMessage) -> None:
        if not isinstance(message, HandOver):
            raise UnexpectedMessageError(message)
        self._carry(self.knowledge.handed(time.monotonic(), message))
        link.send(HandOverAccepted())

    # Doors.

    def ready(self, call: Readiness, done: Callable[[Any], None]) -> None:
        """The platform's check."""
        done(Ready() if self.is_ready() else ServiceError(ErrorKind.STARTING))

    def resolve(self, call: Resolve, done: Callable[[Any], None]) -> None:
        """Where a client should go."""
        members = self.knowledge.list.state.values("m:")
        me = members.get(self.boot.node_name)
        if me is not None:
            members[self.boot.node_name] = {**me, "up": self.is_ready()}
        found = addresses(members, self.knowledge.ring.silent(time.monotonic()), call.region, call.zone)
        done(
            Addresses(tuple(found), min(TTL_S, self.boot.bounds.ttl_max_s))
            if found
            else ServiceError(ErrorKind.STARTING)
        )


async def main(settings: SettingsFile) -> None:
    """What `python -m thistleusher.system proxy` runs."""
    await ProxyProgram(settings).run()
