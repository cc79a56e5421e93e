"""The registry process: links to other processes, calls to the platform, and ticks.

The clock is read for each input and before each reply. `loop.time()` is fixed for one iteration of the event loop, so
a process that was paused within an iteration would use an outdated time.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable

from thistleusher.common.background import start_background
from thistleusher.common.events import log_event
from thistleusher.common.incarnations import new_incarnation
from thistleusher.common.listening import listening
from thistleusher.common.node_settings import CONTROL, REGISTRY
from thistleusher.common.process import serve
from thistleusher.common.process_start import PROCESS_STARTED_AT
from thistleusher.common.settings_file import SettingsFile
from thistleusher.net.connection_limits import core_connections
from thistleusher.registry.outputs import CallPlatform, ConnectToCore, Output, SendToControl, SendToSubscriber
from thistleusher.registry.platform_client import PlatformClient
from thistleusher.registry.registry import Registry
from thistleusher.services.addresses import read_address
from thistleusher.transport.core_links import CoreLinks
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.frame_memory import FrameMemory
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, SubscribeRequest

SHUTDOWN_DELAY_S = 0.1  # Delay before links are closed, so that the last messages are sent.


class RegistryProgram:
    """One registry process on a core machine."""

    def __init__(self, settings: SettingsFile) -> None:
        self.settings = settings
        self.node_settings = settings.node_settings
        self.loop = asyncio.get_running_loop()
        platform = self.node_settings.cloud_api
        self.platform = PlatformClient(read_address(platform.address)) if platform.address else None
        self.registry = Registry(
            f"{self.node_settings.node_name}/{new_incarnation(PROCESS_STARTED_AT)}",
            self.node_settings.ip,
            time.monotonic(),
            random.Random(),
            platform.rate_per_s,
            self.platform is not None,
            self.node_settings.bounds.quota_window_s,
            self.node_settings.bootstrap,
        )
        self.platform_call: asyncio.Task[None] | None = None
        limits = self.node_settings.limits
        connections = core_connections(limits.fd_limit, limits.mem_mb, takes_calls=False)
        memory = FrameMemory.of_process(limits.mem_mb)
        self.control = CoreLinks(
            self.loop,
            lambda: self.node_settings.port(CONTROL),
            self.registry.control_state.subscribe_request,
            self._receive_from_control,
            memory=memory,
        )
        self.peers = CoreLinks(
            self.loop,
            lambda: self.node_settings.port(REGISTRY),
            self.registry.list.subscribe_request,
            self._receive_from_peer,
            own_address=self.node_settings.ip,
            memory=memory,
        )
        self.listener = Listener(
            self.loop, self._receive_from_subscriber, self._remove_subscriber, connections.links, memory=memory
        )
        self.subscribers: dict[str, Link] = {}

    async def run(self) -> None:
        """Serve until the process receives a signal to shut down."""
        await serve("registry", self.settings, self.tick, self._settings_changed, self.shut_down, self._start)

    async def _start(self) -> None:
        """Open the listener, and connect to the core."""
        node_settings = self.node_settings
        await listening(lambda: self.listener.listen(node_settings.ip, node_settings.port(REGISTRY)))
        self._connect_to(node_settings.core_ips)

    async def shut_down(self) -> None:
        """Release the singleton role, then close all links."""
        self._execute(self.registry.stop())
        await asyncio.sleep(SHUTDOWN_DELAY_S)
        self.listener.close()
        self.control.close()
        self.peers.close()

    def _settings_changed(self) -> None:
        self.node_settings = self.settings.node_settings
        self._connect_to(self.node_settings.core_ips)

    def _connect_to(self, addresses: Iterable[str]) -> None:
        self.control.connect_to(addresses)
        self.peers.connect_to(addresses)

    def tick(self) -> None:
        """Run one tick of the state machine and carry out its outputs."""
        self._execute(self.registry.tick(time.monotonic()))

    # Outputs.

    def _execute(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, SendToSubscriber):
                self._send_to_subscriber(output)
            elif isinstance(output, SendToControl):
                if output.address:
                    self.control.send(output.address, output.message)
                else:
                    self.control.broadcast(output.message)
            elif isinstance(output, CallPlatform):
                self._start_call(output)
            elif isinstance(output, ConnectToCore):
                self._connect_to(output.addresses)
            else:
                log_event(output.event, *output.fields)

    def _send_to_subscriber(self, output: SendToSubscriber) -> None:
        """Send a message that only the holder of the role may send, if the role is still held."""
        link = self.subscribers.get(output.name)
        if link is not None and self.registry.can_answer(time.monotonic()):
            link.send(output.message)

    def _start_call(self, call: CallPlatform) -> None:
        """Start a call; cancel an earlier one that is still in flight, as the state machine has abandoned it."""
        if self.platform_call is not None:
            self.platform_call.cancel()
        self.platform_call = start_background(self.loop, self._call_platform(call), "a call to the platform")

    async def _call_platform(self, call: CallPlatform) -> None:
        assert self.platform is not None
        response = await self.platform.get(call.target)
        status, body = (response.status, response.body) if response is not None else (0, b"")
        self._execute(self.registry.receive_platform_response(time.monotonic(), call.number, status, body))

    # Messages.

    def _receive_from_control(self, link: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.registry.receive_from_control(time.monotonic(), link.host, message)
        if reply is not None:
            link.send(reply)
        self._execute(outputs)

    def _receive_from_peer(self, link: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.registry.receive_from_peer(time.monotonic(), message)
        if reply is not None:
            link.send(reply)
        self._execute(outputs)

    def _receive_from_subscriber(self, link: Link, message: AnyMessage) -> None:
        if not link.name:
            raise UnexpectedMessageError(message)  # The sender has not identified itself.
        if isinstance(message, SubscribeRequest):
            self.subscribers[link.name] = link
            for links in (self.control, self.peers):  # If the peer is a core machine, it is up: reconnect now.
                links.retry_now(link.peer_address)
        elif self.subscribers.get(link.name) is not link:
            return  # A newer connection, possibly of a newer incarnation, has replaced this one.
        self._execute(self.registry.receive_from_subscriber(time.monotonic(), link.name, message))

    def _remove_subscriber(self, link: Link) -> None:
        if self.subscribers.get(link.name) is link:
            del self.subscribers[link.name]
            self.registry.remove_subscriber(link.name)


async def main(settings: SettingsFile) -> None:
    """Run the registry process, which `python -m thistleusher.system registry` starts."""
    await RegistryProgram(settings).run()
