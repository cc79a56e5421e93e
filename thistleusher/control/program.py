"""The control program: the runtime that connects `ControlService` to sockets, clock, disk and the operators' API.

Each input is handled with the current time of the clock. The event loop's time would not do: it does not advance while
a batch of events is handled, and input that waited in the sockets of a suspended process must find its lease expired.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.common.events import log_event
from thistleusher.common.listening import listening
from thistleusher.common.node_settings import CONTROL
from thistleusher.common.process import serve
from thistleusher.common.settings_file import SettingsFile
from thistleusher.control import orders
from thistleusher.control.interface import Answer, Call, LogEvent, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.control.storage import Storage
from thistleusher.control.store_file import OpenedStore
from thistleusher.control.store_opener import RETRY_DELAY_S, store_arguments, try_opening
from thistleusher.net.body_memory import BodyMemory
from thistleusher.net.connection_limits import core_connections
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.services.addresses import read_address
from thistleusher.transport.call_server import CallServer, Handler
from thistleusher.transport.calls import (
    BeginEvacuation,
    ChangeCommitted,
    ConfigurationDocument,
    FinishEvacuation,
    ReadConfiguration,
    ReplaceConfiguration,
)
from thistleusher.transport.frame_memory import FrameMemory
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, Hello

MAX_BODY_BYTES = 64 * 1024 * 1024
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 30.0
FLUSH_DELAY_S = 0.15  # time for the last messages to be sent before the sockets are closed
HAND_OVER_POLL_INTERVAL_S = 0.03  # interval between checks whether this process may stop
CLOSING_RESERVE_S = 0.8  # part of the platform's grace period that is reserved for closing
PRELOAD_DELAY_S = 2.0  # time after the start at which this process imports the validation of configurations

OnAnswer = Callable[[Any], None]


class ControlProgram:
    """One control process on a machine of the core."""

    def __init__(self, settings: SettingsFile, store: OpenedStore) -> None:
        """Read the stored state. Nothing is sent before `run`."""
        self.settings = settings
        node_settings = self.node_settings = settings.node_settings
        self.loop = asyncio.get_running_loop()
        folder = Path(node_settings.data_dir or ".")
        self.storage = Storage(folder, node_settings.limits.disk_mb, self._write_completed, store)
        stored = self.storage.read()
        now = time.monotonic()
        node = ControlNode(
            node_settings.ip,
            node_settings.zone,
            node_settings.core_ips,
            stored,
            now,
            random.Random(),
            node_settings.tolerance.machines,
        )
        self.service = ControlService(node, LeaseGrantor(now, stored.leases))
        # Each control process opens its own connection to every other one, and sends messages on that connection only.
        self.outgoing: dict[str, ReconnectingLink] = {}  # keyed by address
        self.incoming: dict[str, Link] = {}  # keyed by the name in the peer's Hello
        self.frame_memory = FrameMemory.of_process(node_settings.limits.mem_mb)
        limits = node_settings.limits
        connections = core_connections(limits.fd_limit, limits.mem_mb, takes_calls=True)
        self.listener = Listener(
            self.loop, self._received, self._disconnected, connections.links, memory=self.frame_memory
        )
        self.api = CallServer(
            self.loop,
            self._handlers(),
            ClientLimits(max_body_bytes=MAX_BODY_BYTES, read_timeout_s=READ_TIMEOUT_S, idle_timeout_s=IDLE_TIMEOUT_S),
            connections.calls,
        )
        self.body_memory = BodyMemory(limits.mem_mb, connections.calls)
        self.api.budget = self.body_memory.budget
        self.pending_calls: dict[int, OnAnswer] = {}
        self.control_port = read_address(node_settings.binds.control)[1] if node_settings.binds.control else 0

    def _handlers(self) -> list[Handler[Any]]:
        return [
            Handler(ReplaceConfiguration, self.replace),
            Handler(ReadConfiguration, self.read),
            Handler(BeginEvacuation, lambda call, on_answer: self.evacuate(call.zone, True, on_answer)),
            Handler(FinishEvacuation, lambda call, on_answer: self.evacuate(call.zone, False, on_answer)),
        ]

    async def run(self) -> None:
        """Run until the process receives a signal to stop."""
        await serve("control", self.settings, self.tick, self._settings_changed, self.shut_down, self._start)

    async def _start(self) -> None:
        """Open the listeners."""
        node_settings = self.node_settings
        await listening(lambda: self.listener.listen(node_settings.ip, node_settings.port(CONTROL)))
        if node_settings.binds.control:
            host, port = read_address(node_settings.binds.control)
            await listening(lambda: self.api.listen(host, port))
        self.loop.call_later(PRELOAD_DELAY_S, orders.validation_module)

    async def shut_down(self) -> None:
        """Hand over this machine's roles, answer waiting calls, and close.

        Closes once no other machine depends on this process, or when the grace period is nearly over.
        """
        self.api.shutting_down = self.api.draining = True
        self._execute(self.service.stop(time.monotonic()))
        deadline = time.monotonic() + self.node_settings.bounds.grace_s - CLOSING_RESERVE_S
        while not self.service.node.can_stop and time.monotonic() < deadline:  # noqa: ASYNC110 (the node is pure)
            await asyncio.sleep(HAND_OVER_POLL_INTERVAL_S)
        await asyncio.sleep(FLUSH_DELAY_S)
        self.api.close()
        self.listener.close()
        for link in self.outgoing.values():
            link.close()
        self.storage.close()

    def _settings_changed(self) -> None:
        self.node_settings = self.settings.node_settings
        self.service.node.add_seeds(self.node_settings.core_ips)

    def tick(self) -> None:
        """Connect to all known machines of the core, and run all actions that are due."""
        for ip in self.service.node.known_peers():
            if ip not in self.outgoing:
                self.outgoing[ip] = self._connect(ip)
        now = time.monotonic()
        self._execute(self.service.tick(now))
        self.body_memory.update(now)

    def _connect(self, ip: str) -> ReconnectingLink:
        port = self.node_settings.port(CONTROL)
        return ReconnectingLink(
            self.loop, ip, port, lambda: self._hello(ip), self._received_on_outgoing, memory=self.frame_memory
        )

    def _hello(self, ip: str) -> Hello:
        """Return the first message on a new connection. The service is notified after the message has been sent."""
        self.loop.call_soon(lambda: self._execute(self.service.connected(time.monotonic(), ip)))
        return Hello(self.node_settings.ip)

    # Messages.

    def _received_on_outgoing(self, link: ReconnectingLink, message: AnyMessage) -> None:
        """Ignore the message: the peer sends its messages on its own connection."""

    def _received(self, link: Link, message: AnyMessage) -> None:
        if isinstance(message, Hello):
            if link.name in self.outgoing:  # the machine can be reached again: connect to it at once
                self.outgoing[link.name].retry_now()
            return
        if link.name:
            self.incoming[link.name] = link
            self._execute(self.service.receive(time.monotonic(), link.name, message))

    def _disconnected(self, link: Link) -> None:
        if self.incoming.get(link.name) is link:  # ignore an older connection of a client that has reconnected
            del self.incoming[link.name]
            self.service.disconnected(link.name)

    def _write_completed(self, token: int, ok: bool) -> None:
        """Pass the end of a write from the storage's thread to the event loop."""
        self.loop.call_soon_threadsafe(self._handle_write_completed, token, ok)

    def _handle_write_completed(self, token: int, ok: bool) -> None:
        self._execute(self.service.write_completed(time.monotonic(), token, ok))

    # Outputs.

    def _execute(self, outputs: Iterable[ServiceOutput]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                outgoing = self.outgoing.get(output.destination)
                if outgoing is not None:
                    outgoing.send(output.message)
            elif isinstance(output, SendToClient):
                incoming = self.incoming.get(output.name)
                if incoming is not None:
                    incoming.send(output.message)
            elif isinstance(output, Write):
                self.storage.write(output.token, output.records)
            elif isinstance(output, Answer):
                on_answer = self.pending_calls.pop(output.call_id, None)
                if on_answer is not None:
                    on_answer(output.answer)
            elif isinstance(output, LogEvent):
                log_event(output.event, *output.fields)

    # Calls.

    def _submit(self, make: Callable[[int], Call], on_answer: OnAnswer) -> None:
        # The outputs may already include the answer, so the call is registered first.
        self.pending_calls[self.service.next_call_id] = self._answered(on_answer)
        _, outputs = self.service.submit(time.monotonic(), make)
        self._execute(outputs)

    def _answered(self, on_answer: OnAnswer) -> OnAnswer:
        """Return `on_answer` with a final check: an answer that relies on the lease is sent only while it is valid."""

        def check_and_answer(answer: Any) -> None:
            if isinstance(answer, ServiceError) and answer.kind is ErrorKind.REDIRECTED:
                answer = ServiceError(ErrorKind.REDIRECTED, location=f"{answer.location}:{self.control_port}")
            elif self._relies_on_lease(answer) and not self.service.node.holds_lease(time.monotonic()):
                answer = ServiceError(ErrorKind.NO_LEADER)
            on_answer(ChangeCommitted() if answer is None else answer)

        return check_and_answer

    @staticmethod
    def _relies_on_lease(answer: Any) -> bool:
        """Return whether an answer is wrong without a valid lease: a document or a final rejection may be stale.

        An acknowledgement of a change stays true without the lease.
        """
        if isinstance(answer, ServiceError):
            return answer.kind is ErrorKind.INVALID_CONFIGURATION
        return isinstance(answer, bytes)

    def replace(self, call: ReplaceConfiguration, on_answer: OnAnswer) -> None:
        """Replace the configuration; the leader answers INVALID_CONFIGURATION with all faults in one line.

        A document that would not fit into this process's memory once it is parsed is refused.
        """
        orders.check_size(call.document, self.body_memory.budget.capacity)
        self._submit(lambda call_id: orders.deferred_configuration_change(call_id, call.document), on_answer)

    def read(self, call: ReadConfiguration, on_answer: OnAnswer) -> None:
        """Read the configuration in force from the leader."""

        def answer_document(answer: Any) -> None:
            on_answer(ConfigurationDocument(answer) if isinstance(answer, bytes) else answer)

        self._submit(orders.read_configuration, answer_document)

    def evacuate(self, zone: str, begin: bool, on_answer: OnAnswer) -> None:
        """Begin or finish the evacuation of a zone."""
        self._submit(lambda call_id: orders.deferred_evacuation_change(call_id, zone, begin), on_answer)


async def main(settings: SettingsFile, store: OpenedStore | None) -> None:
    """Run the control program; `python -m thistleusher.system control` calls this.

    `store`: the result of the first attempt to open it; further ones are made while the disk refuses.
    """
    while store is None:
        await asyncio.sleep(RETRY_DELAY_S)
        store = try_opening(*store_arguments(settings.node_settings))
    await ControlProgram(settings, store).run()
