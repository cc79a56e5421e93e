"""The control program: the runtime that connects `ControlService` to sockets, clock, disk and the operators' API.

Each input is handled at the time that the clock shows then, not at the event loop's, which does not advance while a
batch of events is handled: what lay in the sockets of a stopped process has to meet a lease that is over.
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
from thistleusher.common.node_settings import CONTROL
from thistleusher.common.process import SettingsFile, serve
from thistleusher.control import orders
from thistleusher.control.interface import Answer, Call, LogEvent, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.control.storage import Storage
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
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, Hello

MAX_BODY_BYTES = 64 * 1024 * 1024
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 30.0
FLUSH_S = 0.15  # for the last messages to go out before the sockets are closed
HAND_OVER_POLL_S = 0.03  # between checks whether this process may stop
CLOSING_RESERVE_S = 0.8  # of the platform's grace period, left for closing
PRELOAD_DELAY_S = 2.0  # after its start, when this process imports the validation of configurations

OnAnswer = Callable[[Any], None]


class ControlProgram:
    """One control process on a machine of the core."""

    def __init__(self, settings: SettingsFile) -> None:
        """Read the disk; nothing is sent before `run`."""
        self.settings = settings
        node_settings = self.node_settings = settings.node_settings
        self.loop = asyncio.get_running_loop()
        self.storage = Storage(Path(node_settings.data_dir or "."), node_settings.limits.disk_mb, self._write_completed)
        stored = self.storage.read()
        now = time.monotonic()
        node = ControlNode(
            node_settings.ip,
            node_settings.zone,
            node_settings.core_ips,
            node_settings.bootstrap,
            stored,
            now,
            random.Random(),
            node_settings.tolerance.machines,
        )
        self.service = ControlService(node, LeaseGrantor(now, stored.leases))
        # Each control process opens its own connection to each other one, and sends on that one only.
        self.outgoing: dict[str, ReconnectingLink] = {}  # by address
        self.incoming: dict[str, Link] = {}  # by the name in their Hello
        self.listener = Listener(self.loop, self._received, self._disconnected)
        self.api = CallServer(
            self.loop,
            self._handlers(),
            ClientLimits(max_body_bytes=MAX_BODY_BYTES, read_timeout_s=READ_TIMEOUT_S, idle_timeout_s=IDLE_TIMEOUT_S),
        )
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
        """Run until the process gets a signal to stop."""
        node_settings = self.node_settings
        await self.listener.listen(node_settings.ip, node_settings.port(CONTROL))
        if node_settings.binds.control:
            await self.api.listen(*read_address(node_settings.binds.control))
        self.tick()
        self.loop.call_later(PRELOAD_DELAY_S, orders.validation_module)
        await serve("control", self.settings, self.tick, self._settings_changed, self.shut_down)

    async def shut_down(self) -> None:
        """Hand over what this machine holds, answer waiting calls, and close.

        It closes when nothing depends on it any more, or when the grace period is nearly over.
        """
        self.api.shutting_down = self.api.draining = True
        self._carry_out(self.service.stop(time.monotonic()))
        deadline = time.monotonic() + self.node_settings.bounds.grace_s - CLOSING_RESERVE_S
        while not self.service.node.can_stop and time.monotonic() < deadline:  # noqa: ASYNC110 (the node is pure)
            await asyncio.sleep(HAND_OVER_POLL_S)
        await asyncio.sleep(FLUSH_S)
        self.api.close()
        self.listener.close()
        for link in self.outgoing.values():
            link.close()
        self.storage.close()

    def _settings_changed(self) -> None:
        self.node_settings = self.settings.node_settings
        self.service.node.add_seeds(self.node_settings.core_ips)

    def tick(self) -> None:
        """Connect to all known machines of the core, and do what is due."""
        for ip in self.service.node.known_peers():
            if ip not in self.outgoing:
                self.outgoing[ip] = self._connect(ip)
        self._carry_out(self.service.tick(time.monotonic()))

    def _connect(self, ip: str) -> ReconnectingLink:
        port = self.node_settings.port(CONTROL)
        return ReconnectingLink(self.loop, ip, port, lambda: self._hello(ip), self._received_on_outgoing)

    def _hello(self, ip: str) -> Hello:
        """Return the first message on a new connection; the service learns of it after that was sent."""
        self.loop.call_soon(lambda: self._carry_out(self.service.connected(time.monotonic(), ip)))
        return Hello(self.node_settings.ip)

    # Messages.

    def _received_on_outgoing(self, link: ReconnectingLink, message: AnyMessage) -> None:
        """Ignore the message: the other side sends on a connection of its own."""

    def _received(self, link: Link, message: AnyMessage) -> None:
        if isinstance(message, Hello):
            if link.name in self.outgoing:  # the machine is back: connect to it at once
                self.outgoing[link.name].retry_now()
            return
        if link.name:
            self.incoming[link.name] = link
            self._carry_out(self.service.receive(time.monotonic(), link.name, message))

    def _disconnected(self, link: Link) -> None:
        if self.incoming.get(link.name) is link:  # not an older connection of a client that is connected again
            del self.incoming[link.name]
            self.service.disconnected(link.name)

    def _write_completed(self, token: int, ok: bool) -> None:
        """Pass the end of a write from the storage's thread to the event loop."""
        self.loop.call_soon_threadsafe(self._handle_write_completed, token, ok)

    def _handle_write_completed(self, token: int, ok: bool) -> None:
        self._carry_out(self.service.write_completed(time.monotonic(), token, ok))

    # Outputs.

    def _carry_out(self, outputs: Iterable[ServiceOutput]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                outgoing = self.outgoing.get(output.to)
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
        # The answer may be among the outputs, so the call is registered first.
        self.pending_calls[self.service.next_call_id] = self._answered(on_answer)
        _, outputs = self.service.submit(time.monotonic(), make)
        self._carry_out(outputs)

    def _answered(self, on_answer: OnAnswer) -> OnAnswer:
        """Return `on_answer` with a last check: an answer that relies on the lease leaves only while it is valid."""

        def check_and_answer(answer: Any) -> None:
            if isinstance(answer, ServiceError) and answer.kind is ErrorKind.REDIRECTED:
                answer = ServiceError(ErrorKind.REDIRECTED, location=f"{answer.location}:{self.control_port}")
            elif self._relies_on_lease(answer) and not self.service.node.holds_lease(time.monotonic()):
                answer = ServiceError(ErrorKind.NO_LEADER)
            on_answer(ChangeCommitted() if answer is None else answer)

        return check_and_answer

    @staticmethod
    def _relies_on_lease(answer: Any) -> bool:
        """Return whether an answer may be out of date: a document or a refusal for good, not an acknowledgement."""
        if isinstance(answer, ServiceError):
            return answer.kind is ErrorKind.INVALID_CONFIGURATION
        return isinstance(answer, bytes)

    def replace(self, call: ReplaceConfiguration, on_answer: OnAnswer) -> None:
        """Replace the configuration; the leader answers INVALID_CONFIGURATION with all faults in one line."""
        self._submit(lambda call_id: orders.deferred_configuration_change(call_id, call.document), on_answer)

    def read(self, call: ReadConfiguration, on_answer: OnAnswer) -> None:
        """Read the configuration in force from the leader."""

        def answer_document(answer: Any) -> None:
            on_answer(ConfigurationDocument(answer) if isinstance(answer, bytes) else answer)

        self._submit(orders.read_configuration, answer_document)

    def evacuate(self, zone: str, begin: bool, on_answer: OnAnswer) -> None:
        """Begin or finish the evacuation of a zone."""
        self._submit(lambda call_id: orders.deferred_evacuation_change(call_id, zone, begin), on_answer)


async def main(settings: SettingsFile) -> None:
    """Run the control program; `python -m thistleusher.system control` calls this."""
    await ControlProgram(settings).run()
