"""The registry as a process: its machine's connections, the platform's calls, ticks.

The clock is read anew for each input and before each answer: `loop.time()` is that of the loop's iteration, and a
process that stood still in one would take it for the present.
"""

from __future__ import annotations

import asyncio
import random
import time

from thistleusher.common.events import log_event
from thistleusher.common.node_settings import CONTROL, REGISTRY
from thistleusher.common.process import SettingsFile, new_incarnation, serve
from thistleusher.registry.platform import Platform
from thistleusher.registry.registry import Call, Core, Output, Registry, Tell, ToControl
from thistleusher.services.addresses import read_address
from thistleusher.transport.core_links import CoreLinks
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.links import Link, Listener, ReconnectingLink
from thistleusher.transport.messages import AnyMessage, SubscribeRequest

LEAVE_S = 0.1


class RegistryProgram:
    """One process on a core machine."""

    def __init__(self, settings: SettingsFile) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        loop = self.loop = asyncio.get_running_loop()
        self.platform = Platform(read_address(boot.cloud_api.address)) if boot.cloud_api.address else None
        me = f"{boot.node_name}/{new_incarnation()}"
        rate_per_s, polls = boot.cloud_api.rate_per_s, self.platform is not None
        self.registry = Registry(me, boot.ip, time.monotonic(), random.Random(), rate_per_s, polls)
        self.calling: asyncio.Task[None] | None = None
        self.control = CoreLinks(
            loop, lambda: self.boot.port(CONTROL), self.registry.control.subscribe_request, self._from_control
        )
        self.peers = CoreLinks(
            loop,
            lambda: self.boot.port(REGISTRY),
            self.registry.list.subscribe_request,
            self._from_peer,
            own_address=boot.ip,
        )
        self.listener = Listener(loop, self._from_follower, self._gone)
        self.followers: dict[str, Link] = {}

    async def run(self) -> None:
        """Until it is told to end."""
        await self.listener.listen(self.boot.ip, self.boot.port(REGISTRY))
        self._meet(self.boot.core_ips)
        self.tick()
        await serve("registry", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Give the duty back, close."""
        self._carry(self.registry.stop())
        await asyncio.sleep(LEAVE_S)
        self.listener.close()
        self.control.close()
        self.peers.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self._meet(self.boot.core_ips)

    def _meet(self, addresses: tuple[str, ...] | list[str]) -> None:
        self.control.connect_to(addresses)
        self.peers.connect_to(addresses)

    def tick(self) -> None:
        """A tick of the state machine."""
        self._carry(self.registry.tick(time.monotonic()))

    # Outputs.

    def _carry(self, outputs: list[Output]) -> None:
        for out in outputs:
            if isinstance(out, Tell):
                self._tell(out)
            elif isinstance(out, ToControl):
                if out.address:
                    self.control.send(out.address, out.message)
                else:
                    self.control.broadcast(out.message)
            elif isinstance(out, Call):
                self.calling = self.loop.create_task(self._call(out.target))
            elif isinstance(out, Core):
                self._meet(out.addresses)
            else:
                log_event(out.event, *out.fields)

    def _tell(self, out: Tell) -> None:
        """Send what only a holder of the duty may say, if the duty is held still."""
        link = self.followers.get(out.name)
        if link is not None and self.registry.may_tell(time.monotonic()):
            link.send(out.message)

    async def _call(self, target: str) -> None:
        assert self.platform is not None
        answer = await self.platform.get(target)
        status, body = (answer.status, answer.body) if answer is not None else (0, b"")
        self._carry(self.registry.answered(time.monotonic(), status, body))

    # Messages.

    def _from_control(self, dial: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.registry.from_control(time.monotonic(), dial.host, message)
        if reply is not None:
            dial.send(reply)
        self._carry(outputs)

    def _from_peer(self, dial: ReconnectingLink, message: AnyMessage) -> None:
        outputs, reply = self.registry.from_peer(time.monotonic(), message)
        if reply is not None:
            dial.send(reply)
        self._carry(outputs)

    def _from_follower(self, link: Link, message: AnyMessage) -> None:
        if not link.name:
            raise UnexpectedMessageError(message)  # it has not said who it is
        if isinstance(message, SubscribeRequest):
            self.followers[link.name] = link
            for links in (self.control, self.peers):  # a registry's machine: both of its programs are up
                links.retry_now(link.peer_address)
        elif self.followers.get(link.name) is not link:
            return  # a newer connection has taken this one's place, maybe of a newer life
        self._carry(self.registry.from_follower(time.monotonic(), link.name, message))

    def _gone(self, link: Link) -> None:
        if self.followers.get(link.name) is link:
            del self.followers[link.name]
            self.registry.gone(link.name)


async def main(settings: SettingsFile) -> None:
    """What `python -m thistleusher.system registry` runs."""
    await RegistryProgram(settings).run()
