"""The control program as a process: its service's connections, its disk, its API, ticks.

Each input is taken at the time that the clock shows then, not at the event loop's, which stands still while a batch of
events is worked off: what lay in the sockets of a process that stood still must meet a lease that is over.
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

BODY_MOST = 64 * 1024 * 1024
LAST_WORDS_S = 0.15  # for last messages to go out
HAND_OVER_S = 0.03  # between looks at whether this process may end
GRACE_LEFT_S = 0.8  # of the grace that the platform gives, for the end itself
LOAD_S = 2.0  # after its start, when this process loads what configurations are checked by, if none has come

Done = Callable[[Any], None]


class ControlProgram:
    """One process on a core machine."""

    def __init__(self, settings: SettingsFile) -> None:
        self.settings = settings
        boot = self.boot = settings.node_settings
        self.loop = asyncio.get_running_loop()
        self.storage = Storage(Path(boot.data_dir or "."), boot.limits.disk_mb, self._written)
        stored = self.storage.read()
        now = time.monotonic()
        node = ControlNode(
            boot.ip, boot.zone, boot.core_ips, boot.bootstrap, stored, now, random.Random(), boot.tolerance.machines
        )
        self.service = ControlService(node, LeaseGrantor(now, stored.leases))
        self.dials: dict[str, ReconnectingLink] = {}
        self.links: dict[str, Link] = {}  # those that came, by name
        self.listener = Listener(self.loop, self._heard, self._gone)
        self.api = CallServer(
            self.loop,
            self._handlers(),
            ClientLimits(max_body_bytes=BODY_MOST, read_timeout_s=10.0, idle_timeout_s=30.0),
        )
        self.waiting: dict[int, Done] = {}
        self.control_port = read_address(boot.binds.control)[1] if boot.binds.control else 0

    def _handlers(self) -> list[Handler[Any]]:
        return [
            Handler(ReplaceConfiguration, self.replace),
            Handler(ReadConfiguration, self.read),
            Handler(BeginEvacuation, lambda call, done: self.evacuate(call.zone, True, done)),
            Handler(FinishEvacuation, lambda call, done: self.evacuate(call.zone, False, done)),
        ]

    async def run(self) -> None:
        """Until it is told to end."""
        boot = self.boot
        await self.listener.listen(boot.ip, boot.port(CONTROL))
        if boot.binds.control:
            await self.api.listen(*read_address(boot.binds.control))
        self.tick()
        self.loop.call_later(LOAD_S, orders.checks)
        await serve("control", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Hand over what this machine holds, answer what waits, close."""
        self.api.shutting_down = self.api.draining = True
        self._carry(self.service.stop(time.monotonic()))
        until = time.monotonic() + self.boot.bounds.grace_s - GRACE_LEFT_S
        while not self.service.node.can_stop and time.monotonic() < until:
            await asyncio.sleep(HAND_OVER_S)
        await asyncio.sleep(LAST_WORDS_S)
        self.api.close()
        self.listener.close()
        for dial in self.dials.values():
            dial.close()
        self.storage.close()

    def _changed(self) -> None:
        self.boot = self.settings.node_settings
        self.service.node.add_seeds(self.boot.core_ips)

    def tick(self) -> None:
        """A tick of the service; connections to all of the core that is known."""
        for ip in self.service.node.known_peers():
            if ip not in self.dials:
                self.dials[ip] = self._dial(ip)
        self._carry(self.service.tick(time.monotonic()))

    def _dial(self, ip: str) -> ReconnectingLink:
        return ReconnectingLink(self.loop, ip, self.boot.port(CONTROL), lambda: self._hello(ip), self._from_dial)

    def _hello(self, ip: str) -> Hello:
        self.loop.call_soon(lambda: self._carry(self.service.connected(time.monotonic(), ip)))
        return Hello(self.boot.ip)

    # Messages.

    def _from_dial(self, dial: ReconnectingLink, message: AnyMessage) -> None:
        """Nothing comes back on a connection that this side opened: each opens its own."""

    def _heard(self, link: Link, message: AnyMessage) -> None:
        if isinstance(message, Hello):
            if link.name in self.dials:
                self.dials[link.name].retry_now()
            return
        if link.name:
            self.links[link.name] = link
            self._carry(self.service.receive(time.monotonic(), link.name, message))

    def _gone(self, link: Link) -> None:
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.service.disconnected(link.name)

    def _written(self, token: int, ok: bool) -> None:
        self.loop.call_soon_threadsafe(self._ended, token, ok)

    def _ended(self, token: int, ok: bool) -> None:
        self._carry(self.service.write_completed(time.monotonic(), token, ok))

    # Outputs.

    def _carry(self, outputs: Iterable[ServiceOutput]) -> None:
        for out in outputs:
            if isinstance(out, Send):
                dial = self.dials.get(out.to)
                if dial is not None:
                    dial.send(out.message)
            elif isinstance(out, SendToClient):
                link = self.links.get(out.name)
                if link is not None:
                    link.send(out.message)
            elif isinstance(out, Write):
                self.storage.write(out.token, out.records)
            elif isinstance(out, Answer):
                done = self.waiting.pop(out.call_id, None)
                if done is not None:
                    done(out.answer)
            elif isinstance(out, LogEvent):
                log_event(out.event, *out.fields)

    # Calls.

    def _call(self, make: Callable[[int], Call], done: Done) -> None:
        number = self.service.calls + 1
        self.waiting[number] = self._answered(done)
        _, outputs = self.service.submit(time.monotonic(), make)
        self._carry(outputs)

    def _answered(self, done: Done) -> Done:
        """What a leader says of an order or its state counts only while its lease stands as the answer leaves."""

        def tell(answer: Any) -> None:
            if isinstance(answer, ServiceError) and answer.kind is ErrorKind.REDIRECTED:
                answer = ServiceError(ErrorKind.REDIRECTED, where=f"{answer.where}:{self.control_port}")
            elif self._rests_on_lease(answer) and not self.service.node.holds_lease(time.monotonic()):
                answer = ServiceError(ErrorKind.NO_LEADER)
            done(ChangeCommitted() if answer is None else answer)

        return tell

    @staticmethod
    def _rests_on_lease(answer: Any) -> bool:
        """What is kept stays kept; a refusal for good or a document may be out of date."""
        return isinstance(answer, bytes) or (
            isinstance(answer, ServiceError) and answer.kind is ErrorKind.INVALID_CONFIGURATION
        )

    def replace(self, call: ReplaceConfiguration, done: Done) -> None:
        """Checked whole before anything else, by the leader; INVALID with all faults in one line."""
        self._call(lambda number: orders.replace_unread(number, call.document), done)

    def read(self, call: ReadConfiguration, done: Done) -> None:
        """The newest configuration, from the leader."""

        def told(answer: Any) -> None:
            done(ConfigurationDocument(answer) if isinstance(answer, bytes) else answer)

        self._call(orders.read, told)

    def evacuate(self, zone: str, begin: bool, done: Done) -> None:
        """A zone is to be left, or taken back."""
        self._call(lambda number: orders.evacuate_unread(number, zone, begin), done)


async def main(settings: SettingsFile) -> None:
    """What `python -m thistleusher.system control` runs."""
    await ControlProgram(settings).run()
