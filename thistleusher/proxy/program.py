"""The proxy's process: connects the cluster view and the decision module to sockets.

The clock is read again for each input. `loop.time()` would return the start of the loop's iteration, so that a process
that was paused during an iteration would work with an outdated time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from thistleusher.common.background import start_background
from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.common.events import Event, log_event
from thistleusher.common.incarnations import new_incarnation
from thistleusher.common.listening import listening
from thistleusher.common.node_settings import CONTROL, PROXY, REGISTRY, RING
from thistleusher.common.process import serve
from thistleusher.common.process_start import PROCESS_STARTED_AT
from thistleusher.common.settings_file import SettingsFile
from thistleusher.net.backend_connection import UpstreamOptions
from thistleusher.net.body_memory import BodyMemory
from thistleusher.net.connection_limits import proxy_connections
from thistleusher.net.connection_pool import Endpoint
from thistleusher.net.memory_budget import BYTES_PER_MB
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.cluster_view import ClusterView, Reply
from thistleusher.proxy.commands import (
    ApplyConfiguration,
    Command,
    ConnectToCore,
    DeliverChargeAnswer,
    LogEvent,
    SendHandOver,
    SendHeartbeat,
    SendToRegistry,
    SetServing,
    UpdateBackends,
)
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.directory import TTL_S, addresses
from thistleusher.proxy.forwarding import ProxyIngress
from thistleusher.proxy.hand_over import send_hand_over
from thistleusher.proxy.http_messages import ATTEMPT_HEADER, outcome_of
from thistleusher.proxy.invalid_answers import REPORT_INTERVAL_S, InvalidAnswers
from thistleusher.proxy.listener import ProxyServer
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.proxy.ring_socket import RingSocket
from thistleusher.proxy.shutdown import ProxyGracefulShutdown
from thistleusher.services.addresses import read_address
from thistleusher.transport.call_server import CallServer, Handler
from thistleusher.transport.calls import Addresses, Readiness, Ready, Resolve
from thistleusher.transport.codec import MAX_BYTES as MAX_MESSAGE_BYTES
from thistleusher.transport.core_links import CoreLinks
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.frame_memory import FrameMemory
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, HandOver, HandOverAccepted, RingHeartbeat

CONNECT_TIMEOUT_S = 0.6  # connect time-out to a backend of another region
NEAR_CONNECT_TIMEOUT_S = 0.25  # connect time-out to a backend of this region
BACKEND_IDLE_TIMEOUT_S = 16.0  # assumed; pools use half of it, and less if a backend's Keep-Alive says so
UNACKNOWLEDGED_TIMEOUT_S = 1.2  # a backend connection is closed after this time without a TCP acknowledgement
SHUTDOWN_NOTICE_S = 0.4  # minimum time between announcing the shutdown and closing the listener
CLOSE_RESERVE_S = 0.3  # part of the grace period kept for closing all sockets
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Limits of the listeners for the directory and for readiness checks.
CALL_LIMITS = ClientLimits(max_body_bytes=4096, read_timeout_s=3.0, idle_timeout_s=10.0)
REJECTIONS_REPORT_INTERVAL_S = 5.0


class ProxyProgram:
    """Owns the sockets of one proxy process and executes the cluster view's commands."""

    def __init__(self, settings: SettingsFile) -> None:
        self.settings = settings
        node_settings = self.node_settings = settings.node_settings
        loop = self.loop = asyncio.get_running_loop()
        now = time.monotonic()
        self.decisions = Decisions(
            node_settings.node_name,
            node_settings.zone,
            node_settings.region,
            node_settings.bounds,
            random.Random(),
            now,
            PROCESS_STARTED_AT,
        )
        connections = proxy_connections(node_settings.limits.fd_limit, node_settings.limits.mem_mb)
        self.next_rejections_report = now
        self.body_memory = BodyMemory(node_settings.limits.mem_mb, connections.clients)
        self.budget = self.body_memory.budget
        self.invalid_answers = InvalidAnswers(now)
        options = UpstreamOptions(
            MAX_ANSWER_BYTES,
            ATTEMPT_HEADER,
            UNACKNOWLEDGED_TIMEOUT_S,
            outcome_of,
            self.budget,
            self.invalid_answers.record,
        )
        self.upstream = Upstream(loop, CONNECT_TIMEOUT_S, BACKEND_IDLE_TIMEOUT_S, connections.backends, options)
        self.ingress = ProxyIngress(loop, self.decisions, self.upstream, self._charge)
        self.server = ProxyServer(loop, self.ingress, connections.clients, connections.surplus)
        self.directory = CallServer(loop, [Handler(Resolve, self.resolve)], CALL_LIMITS, connections.directory)
        self.readiness = CallServer(loop, [Handler(Readiness, self.ready)], CALL_LIMITS, connections.readiness)
        self.directory.budget = self.readiness.budget = self.budget
        attributes = {
            "front": node_settings.binds.front,
            "ip": node_settings.ip,
            "zone": node_settings.zone,
            "region": node_settings.region,
        }
        # Zones are looked up at call time, as the settings file can be reloaded while the process runs.
        self.cluster_view = ClusterView(
            node_settings.node_name,
            new_incarnation(PROCESS_STARTED_AT),
            node_settings.region,
            lambda zone: self.node_settings.region_of(zone),
            attributes,
            self.decisions,
            now,
        )
        self.ring_socket = RingSocket(self._on_heartbeat)
        frame_memory = FrameMemory.of_process(node_settings.limits.mem_mb)
        self.control = CoreLinks(
            loop,
            lambda: self.node_settings.port(CONTROL),
            self.cluster_view.subscribe_to_control,
            self._from_control,
            memory=frame_memory,
        )
        self.registries = CoreLinks(
            loop,
            lambda: self.node_settings.port(REGISTRY),
            self.cluster_view.subscribe_to_registry,
            self._from_registry,
            memory=frame_memory,
        )
        self.hand_over_listener = Listener(
            loop,
            self._on_hand_over,
            lambda link: None,
            max_links=connections.hand_overs,
            memory=frame_memory,
            first_bytes=MAX_MESSAGE_BYTES,
        )
        self.hand_overs: set[asyncio.Task[None]] = set()
        self.shutting_down = False
        self.executors: dict[type, Callable[[Any], None]] = {
            SendToRegistry: self._send_to_registry,
            DeliverChargeAnswer: self._deliver_charge_answer,
            SendHeartbeat: self._send_heartbeat,
            SendHandOver: self._start_hand_over,
            ConnectToCore: lambda command: self._connect_to_core(command.addresses),
            ApplyConfiguration: lambda command: self.server.apply_configuration(command.configuration),
            UpdateBackends: self._update_backends,
            SetServing: self._set_serving,
            LogEvent: lambda command: log_event(command.event, *command.fields),
        }

    async def run(self) -> None:
        """Serve until the process is asked to shut down."""
        await serve("proxy", self.settings, self.tick, self._settings_changed, self.shut_down, self._start)

    async def _start(self) -> None:
        """Open the listeners, and connect to the core."""
        node_settings, binds = self.node_settings, self.node_settings.binds
        ring = (node_settings.ip, node_settings.port(RING))
        await listening(lambda: self.loop.create_datagram_endpoint(lambda: self.ring_socket, local_addr=ring))
        await listening(lambda: self.hand_over_listener.listen(node_settings.ip, node_settings.port(PROXY)))
        for server, address in (
            (self.readiness, binds.ready),
            (self.directory, binds.directory),
            (self.server, binds.front),
        ):
            if address:
                await listening(partial(server.listen, *read_address(address)))
        self._connect_to_core(node_settings.core_ips)

    async def shut_down(self) -> None:
        """Announce the shutdown, serve clients that still arrive, finish requests in flight, and close all sockets."""
        self.shutting_down = True
        self.server.shutting_down = True
        self._execute(self.cluster_view.report_status(time.monotonic(), self.is_ready()))
        grace_s = self.node_settings.bounds.grace_s
        shutdown = ProxyGracefulShutdown(self.loop.time(), grace_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s - CLOSE_RESERVE_S):
                await self.server.drain(asyncio.sleep(SHUTDOWN_NOTICE_S), shutdown)
        self.ingress.driver.close()
        self.server.close()
        self.directory.close()
        self.readiness.close()
        self.hand_over_listener.close()
        self.control.close()
        self.registries.close()
        self.upstream.close()

    def _settings_changed(self) -> None:
        self.node_settings = self.settings.node_settings
        self._connect_to_core(self.node_settings.core_ips)

    def tick(self) -> None:
        """Send the heartbeats that are due, and report rejected bodies and invalid answers."""
        now = time.monotonic()
        self._execute(self.cluster_view.tick(now, self.is_ready()))
        self.body_memory.update(now)
        if self.budget.rejected and now >= self.next_rejections_report:
            self.next_rejections_report = now + REJECTIONS_REPORT_INTERVAL_S
            self._report_rejected_bodies()
        for report in self.invalid_answers.due(now):
            log_event(Event.ANSWERS_INVALID, report.backend, report.answers, REPORT_INTERVAL_S, report.reason)

    def _report_rejected_bodies(self) -> None:
        budget = self.budget
        held_mb, capacity_mb = budget.held // BYTES_PER_MB, budget.capacity // BYTES_PER_MB
        figures = (held_mb, capacity_mb, budget.waiting, budget.rejected, REJECTIONS_REPORT_INTERVAL_S)
        log_event(Event.BODIES_REJECTED, *figures)
        budget.rejected = 0

    def is_ready(self) -> bool:
        """Return whether this proxy can serve requests: it has configuration and backends and is not shutting down."""
        has_state = self.server.index is not None and self.server.has_backend_list
        return has_state and bool(self.ingress.serving) and not self.shutting_down

    # Commands of the cluster view.

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            self.executors[type(command)](command)

    def _send_to_registry(self, command: SendToRegistry) -> None:
        if command.ip:
            self.registries.send(command.ip, command.message)
        else:
            self.registries.broadcast(command.message)

    def _deliver_charge_answer(self, command: DeliverChargeAnswer) -> None:
        answer: Any = command.answer  # `submit` is typed for the driver's own events only
        self.ingress.submit(answer)

    def _send_heartbeat(self, command: SendHeartbeat) -> None:
        self.ring_socket.send(command.message, (command.ip, self.node_settings.port(RING)))

    def _start_hand_over(self, command: SendHandOver) -> None:
        task = start_background(self.loop, self._hand_over(command), f"a hand-over to {command.name}")
        self.hand_overs.add(task)
        task.add_done_callback(self.hand_overs.discard)

    def _connect_to_core(self, ips: Sequence[str]) -> None:
        self.control.connect_to(ips)
        self.registries.connect_to(ips)

    def _update_backends(self, command: UpdateBackends) -> None:
        for name, backend in command.changes.items():
            if backend is None:
                self.upstream.update(name, None)
            else:
                connect_timeout_s = NEAR_CONNECT_TIMEOUT_S if backend.is_same_region else CONNECT_TIMEOUT_S
                self.upstream.update(name, Endpoint(backend.address, 0.0, connect_timeout_s))

    def _set_serving(self, command: SetServing) -> None:
        for name in self.ingress.serving - command.names:
            self.upstream.close_idle(name)
        self.ingress.serving.clear()
        self.ingress.serving |= command.names
        self.server.has_backend_list = self.cluster_view.has_backend_list

    # Messages.

    def _charge(self, action: ChargeTenant) -> None:
        self._execute(self.cluster_view.charge(time.monotonic(), action))

    def _from_control(self, link: ReconnectingLink, message: AnyMessage) -> None:
        commands, reply = self.cluster_view.receive_from_control(time.monotonic(), message)
        self._execute_and_reply(link, commands, reply)

    def _from_registry(self, link: ReconnectingLink, message: AnyMessage) -> None:
        commands, reply = self.cluster_view.receive_from_registry(time.monotonic(), link.host, message)
        self._execute_and_reply(link, commands, reply)

    def _execute_and_reply(self, link: ReconnectingLink, commands: list[Command], reply: Reply | None) -> None:
        """Execute the commands before replying, as only updates in force may be acknowledged."""
        self._execute(commands)
        if reply is not None:
            link.send(reply)

    def _on_heartbeat(self, heartbeat: RingHeartbeat, ip: str) -> None:
        self._execute(self.cluster_view.receive_heartbeat(time.monotonic(), heartbeat, ip))

    async def _hand_over(self, command: SendHandOver) -> None:
        copy = command.message
        if await send_hand_over(self.loop, command.ip, self.node_settings.port(PROXY), copy):
            log_event(Event.STATE_HANDED_OVER, command.name, copy.control.base or 0, copy.registry.base or 0)

    def _on_hand_over(self, link: Link, message: AnyMessage) -> None:
        if not isinstance(message, HandOver):
            raise UnexpectedMessageError(message)
        self._execute(self.cluster_view.receive_hand_over(time.monotonic(), message))
        link.send(HandOverAccepted())

    # Calls.

    def ready(self, call: Readiness, done: Callable[[Any], None]) -> None:
        """Answer the platform's readiness check."""
        done(Ready() if self.is_ready() else ServiceError(ErrorKind.STARTING))

    def resolve(self, call: Resolve, done: Callable[[Any], None]) -> None:
        """Answer with addresses of proxies; for this proxy its current readiness counts, not the listed one."""
        members = self.cluster_view.members()
        own = members.get(self.node_settings.node_name)
        if own is not None:
            members[self.node_settings.node_name] = {**own, "up": self.is_ready()}
        silent = self.cluster_view.ring.silent(time.monotonic())
        found = addresses(members, silent, call.region, call.zone)
        done(
            Addresses(tuple(found), min(TTL_S, self.node_settings.bounds.ttl_max_s))
            if found
            else ServiceError(ErrorKind.STARTING)
        )


async def main(settings: SettingsFile) -> None:
    """Run the proxy: `python -m thistleusher.system proxy`."""
    await ProxyProgram(settings).run()
