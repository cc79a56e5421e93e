"""The registry as a process: its machine's connections, the platform's calls, ticks."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from roadspur.common.boot import CONTROL, REGISTRY
from roadspur.common.events import say
from roadspur.common.process import Settings, life, serve
from roadspur.registry.platform import Platform
from roadspur.registry.registry import Call, Output, Registry, Tell, ToStore
from roadspur.services.wire import read_address
from roadspur.transport.links import Dial, Link, Listener

LEAVE_S = 0.1


class RegistryProgram:
    """One process on a core machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        self.loop = asyncio.get_running_loop()
        self.platform = Platform(read_address(boot.cloud_api.address)) if boot.cloud_api.address else None
        self.registry = Registry(f"{boot.node_name}/{life()}", boot.ip, self.loop.time(), random.Random(),
                                 boot.cloud_api.rate_per_s, self.platform is not None)
        self.calling: asyncio.Task[None] | None = None
        self.control: dict[str, Dial] = {}
        self.fellows: dict[str, Dial] = {}
        self.listener = Listener(self.loop, self._heard, self._gone)
        self.followers: dict[str, Link] = {}
        self.cores = set(boot.core_ips)

    async def run(self) -> None:
        """Until it is told to end."""
        await self.listener.listen(self.boot.ip, self.boot.port(REGISTRY))
        self.tick()
        await serve("registry", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Give the duty back, close."""
        self._carry(self.registry.stop())
        await asyncio.sleep(LEAVE_S)
        self.listener.close()
        for dial in (*self.control.values(), *self.fellows.values()):
            dial.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.cores |= set(self.boot.core_ips)

    def tick(self) -> None:
        """Connections to all of the core that is known; a tick of the machine."""
        for ip in self.cores:
            if ip not in self.control:
                self.control[ip] = Dial(
                    self.loop, ip, self.boot.port(CONTROL), self._follow_control, self._from_control)
            if ip != self.boot.ip and ip not in self.fellows:
                self.fellows[ip] = Dial(self.loop, ip, self.boot.port(REGISTRY), self._follow_list, self._from_fellow)
        self._carry(self.registry.tick(self.loop.time()))

    def _carry(self, outputs: list[Output]) -> None:
        for out in outputs:
            if isinstance(out, Tell):
                link = self.followers.get(out.name)
                if link is not None:
                    link.send(out.table)
            elif isinstance(out, ToStore):
                for ip, dial in self.control.items():
                    if out.ip in ("", ip):
                        dial.send(out.table)
            elif isinstance(out, Call):
                self.calling = self.loop.create_task(self._call(out.target))
            else:
                say(out.event, *out.fields)

    async def _call(self, target: str) -> None:
        assert self.platform is not None
        answer = await self.platform.get(target)
        status, body = (answer.status, answer.body) if answer is not None else (0, b"")
        self._carry(self.registry.answered(self.loop.time(), status, body))

    def _follow_control(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.registry.me, "n": self.registry.kept.state.number}

    def _from_control(self, dial: Dial, table: dict[str, Any]) -> None:
        outputs, reply = self.registry.from_store(self.loop.time(), dial.host, table)
        if table["t"] == "core":
            self.cores |= set(table["ips"])
        if reply is not None:
            dial.send(reply)
        self._carry(outputs)

    def _follow_list(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.registry.me, "n": self.registry.list.state.number}

    def _from_fellow(self, dial: Dial, table: dict[str, Any]) -> None:
        reply = self.registry.from_fellow(table)
        if reply is not None:
            dial.send(reply)

    def _heard(self, link: Link, table: dict[str, Any]) -> None:
        if table["t"] == "follow":
            self.followers[link.name] = link
            for dials in (self.control, self.fellows):  # a registry's machine: both of its programs are up
                if link.peer in dials:
                    dials[link.peer].poke()
        self._carry(self.registry.from_follower(self.loop.time(), link.name, table))

    def _gone(self, link: Link) -> None:
        if self.followers.get(link.name) is link:
            del self.followers[link.name]
            self.registry.gone(link.name)


async def main(settings: Settings) -> None:
    """What `python -m roadspur.system registry` runs."""
    await RegistryProgram(settings).run()
