"""The store of configuration as a process: the control machine, its disk, its doors and its held connections."""

from __future__ import annotations

import asyncio
import importlib
import random
import zlib
from collections.abc import Callable, Iterable
from pathlib import Path
from types import ModuleType
from typing import Any

from roadspur.common.boot import CONTROL
from roadspur.common.events import Event, say
from roadspur.common.failures import Failure, Kind
from roadspur.common.process import Settings, serve
from roadspur.control.control import Control
from roadspur.control.leases import Grantor
from roadspur.control.parts import Answer, Change, Note, Read, Send, Write
from roadspur.control.storage import Storage
from roadspur.control.store import Outward, Store, Tell
from roadspur.net.server import Bounds
from roadspur.services.wire import read_address
from roadspur.transport.api import (
    BeginEvacuation,
    CallServer,
    Document,
    FinishEvacuation,
    Handler,
    Kept,
    ReadConfiguration,
    ReplaceConfiguration,
)
from roadspur.transport.links import Dial, Link, Listener
from roadspur.transport.news import State

BODY_MOST = 64 * 1024 * 1024
LEAVE_S = 0.15  # for last words to go out
LOAD_S = 2.0    # after its start, when this process loads what configurations are checked by, if none has come

Done = Callable[[Any], None]


def checks() -> ModuleType:
    """What configurations are checked by: loaded late, as an office that is empty waits for this process's start."""
    return importlib.import_module("roadspur.common.checks")


def number_of(state: State) -> int:
    """The number of the configuration in a state, -1 where there is none."""
    held = state.value("config")
    return held["v"] if held is not None else -1


def replacing(call: object, number: int, body: bytes) -> Change:
    """The change that a configuration asks for: the highest number prevails; one no higher alters nothing."""
    return Change(call, lambda state: number_of(state) >= number,
                  lambda state: {"config": {"v": number, "z": zlib.compress(body, 6)}}, f"configuration {number:08x}")


def evacuating(call: object, zone: str, begin: bool) -> Change:
    """The change that an evacuation's begin or end asks for. `n` counts, so that each return of a zone is seen."""
    name = f"evac:{zone}"

    def settled(state: State) -> bool:
        held = state.value(name)
        return (held is not None and held["on"]) == begin

    def items(state: State) -> dict[str, Any]:
        held = state.value(name)
        return {name: {"on": begin, "n": (held["n"] if held else 0) + 1}}
    return Change(call, settled, items, f"evacuation of {zone}: {'begin' if begin else 'finish'}")


class ControlProgram:
    """One process on a core machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        self.loop = asyncio.get_running_loop()
        self.storage = Storage(Path(boot.data_dir or "."), boot.limits.disk_mb, self._written)
        seeds = boot.core_ips
        kept = self.storage.read()
        now = self.loop.time()
        self.store = Store(Control(boot.ip, boot.zone, seeds, boot.bootstrap, kept, now, random.Random(),
                                   boot.tolerance.machines), Grantor(now, kept.grants))
        self.dials: dict[str, Dial] = {}
        self.links: dict[str, Link] = {}  # those that came, by name
        self.listener = Listener(self.loop, self._heard, self._gone)
        handlers: list[Handler[Any]] = [
                    Handler(ReplaceConfiguration, self.replace), Handler(ReadConfiguration, self.read),
                    Handler(BeginEvacuation, lambda c, d: self.evacuate(c.zone, True, d)),
                    Handler(FinishEvacuation, lambda c, d: self.evacuate(c.zone, False, d))]
        self.door = CallServer(self.loop, handlers, Bounds(body=BODY_MOST, slow=10.0, idle=30.0))
        self.waiting: dict[int, Done] = {}
        self.control_port = read_address(boot.binds.control)[1] if boot.binds.control else 0

    async def run(self) -> None:
        """Until it is told to end."""
        boot = self.boot
        await self.listener.listen(boot.ip, boot.port(CONTROL))
        if boot.binds.control:
            await self.door.listen(*read_address(boot.binds.control))
        self.tick()
        self.loop.call_later(LOAD_S, checks)
        await serve("control", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Hand the office over, answer what waits, close."""
        self.door.stopping = self.door.leaving = True
        self._carry(self.store.stop(self.loop.time()))
        await asyncio.sleep(LEAVE_S)
        self.door.close()
        self.listener.close()
        for dial in self.dials.values():
            dial.close()
        self.storage.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.store.control.reseed(self.boot.core_ips)

    def tick(self) -> None:
        """A tick of the machine; connections to all of the core that is known."""
        for ip in self.store.control.others():
            if ip not in self.dials:
                self.dials[ip] = Dial(self.loop, ip, self.boot.port(CONTROL), lambda ip=ip: self._hello(ip),  # type: ignore[misc]
                                     self._from_dial)
        self._carry(self.store.tick(self.loop.time()))

    def _hello(self, ip: str) -> dict[str, Any]:
        self.loop.call_soon(lambda: self._carry(self.store.linked(self.loop.time(), ip)))
        return {"t": "hello", "me": self.boot.ip}

    # Messages.

    def _from_dial(self, dial: Dial, table: dict[str, Any]) -> None:
        """Nothing comes back on a connection that this side opened: each opens its own."""

    def _heard(self, link: Link, table: dict[str, Any]) -> None:
        if table["t"] == "hello":
            if link.name in self.dials:
                self.dials[link.name].poke()
            return
        if link.name:
            self.links[link.name] = link
            self._carry(self.store.heard(self.loop.time(), link.name, table))

    def _gone(self, link: Link) -> None:
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.store.gone(link.name)

    def _written(self, token: int, ok: bool) -> None:
        self.loop.call_soon_threadsafe(self._ended, token, ok)

    def _ended(self, token: int, ok: bool) -> None:
        self._carry(self.store.written(self.loop.time(), token, ok))

    # Outputs.

    def _carry(self, outputs: Iterable[Outward]) -> None:
        for out in outputs:
            if isinstance(out, Send):
                dial = self.dials.get(out.to)
                if dial is not None:
                    dial.send(out.table)
            elif isinstance(out, Tell):
                link = self.links.get(out.name)
                if link is not None:
                    link.send(out.table)
            elif isinstance(out, Write):
                self.storage.write(out.token, out.records)
            elif isinstance(out, Answer):
                done = self.waiting.pop(out.call, None)
                if done is not None:
                    done(out.answer)
            elif isinstance(out, Note):
                say(out.event, *out.fields)

    # Calls.

    def _call(self, make: Callable[[int], Change | Read], done: Done) -> None:
        number = self.store.calls + 1
        self.waiting[number] = done
        _, outputs = self.store.call(self.loop.time(), make)
        self._carry(outputs)

    def _answered(self, done: Done) -> Done:
        """Addresses of control machines become those of their doors."""
        def tell(answer: Any) -> None:
            if isinstance(answer, Failure) and answer.kind is Kind.ELSEWHERE:
                answer = Failure(Kind.ELSEWHERE, where=f"{answer.where}:{self.control_port}")
            done(Kept() if answer is None else answer)
        return tell

    def replace(self, call: ReplaceConfiguration, done: Done) -> None:
        """Checked whole before anything else; INVALID with all faults in one line."""
        try:
            config = checks().read_configuration(call.document)
        except ExceptionGroup as group:
            text = "; ".join(str(e) for e in group.exceptions)[:400]
            say(Event.INVALID, text)
            raise Failure(Kind.INVALID, text) from None
        self._call(lambda number: replacing(number, config.number, call.document), self._answered(done))

    def read(self, call: ReadConfiguration, done: Done) -> None:
        """The newest configuration, from a holder of the office."""
        def answer(state: State) -> Any:
            held = state.value("config")
            if held is None:
                return Failure(Kind.NO_OFFICE, "no configuration yet")
            return Document(zlib.decompress(held["z"]))
        self._call(lambda number: Read(number, answer), self._answered(done))

    def evacuate(self, zone: str, begin: bool, done: Done) -> None:
        """A zone is to be left, or taken back."""
        if not zone or "/" in zone:
            raise Failure(Kind.INVALID, f"no such zone: {zone[:60]!r}")
        self._call(lambda number: evacuating(number, zone, begin), self._answered(done))


async def main(settings: Settings) -> None:
    """What `python -m roadspur.system control` runs."""
    await ControlProgram(settings).run()
