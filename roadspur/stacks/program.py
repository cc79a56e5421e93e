"""The store of configuration as a process: the control machine, its disk, its doors and its held connections."""

from __future__ import annotations

import asyncio
import importlib
import itertools
import random
import zlib
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any

from roadspur.catalogue.boot import STACKS
from roadspur.catalogue.events import Event, say
from roadspur.catalogue.failures import Failure, Kind
from roadspur.catalogue.process import Settings, serve
from roadspur.courier.doors import (
    BeginEvacuation,
    CallServer,
    Document,
    FinishEvacuation,
    Handler,
    Kept,
    ReadConfiguration,
    ReplaceConfiguration,
)
from roadspur.courier.links import Dial, Link, Listener
from roadspur.courier.news import Publisher, State
from roadspur.net.server import Bounds
from roadspur.services.wire import read_address
from roadspur.stacks.control import Control
from roadspur.stacks.leases import Grantor
from roadspur.stacks.parts import Answer, Change, Note, Outputs, Publish, Read, Send, Write
from roadspur.stacks.shelf import Shelf

BODY_MOST = 64 * 1024 * 1024
LEAVE_S = 0.15  # for last words to go out
LOAD_S = 2.0    # after its start, when this process loads what configurations are checked by, if none has come

Done = Callable[[Any], None]


def checks() -> ModuleType:
    """What configurations are checked by: loaded late, as an office that is empty waits for this process's start."""
    return importlib.import_module("roadspur.catalogue.checks")


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


class Stacks:
    """One process on a core machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        self.loop = asyncio.get_running_loop()
        self.shelf = Shelf(Path(boot.data_dir or "."), boot.limits.disk_mb, self._written)
        seeds = boot.core_ips
        kept = self.shelf.read()
        self.control = Control(boot.ip, boot.zone, seeds, boot.bootstrap, kept, self.loop.time(), random.Random(),
                               boot.tolerance.machines)
        self.grantor = Grantor(self.loop.time(), kept.grants)
        self.granting: dict[int, Callable[[], None]] = {}  # by the token of a write
        self.tokens = itertools.count(-1, -1)  # below 0: the control's are above
        self.publisher = Publisher(State())
        self.in_office = False
        self.told = -1  # epoch of the view that followers know
        self.dials: dict[str, Dial] = {}
        self.followers: dict[str, Link] = {}
        self.listener = Listener(self.loop, self._heard, self._gone)
        handlers: list[Handler[Any]] = [
                    Handler(ReplaceConfiguration, self.replace), Handler(ReadConfiguration, self.read),
                    Handler(BeginEvacuation, lambda c, d: self.evacuate(c.zone, True, d)),
                    Handler(FinishEvacuation, lambda c, d: self.evacuate(c.zone, False, d))]
        self.door = CallServer(self.loop, handlers, Bounds(body=BODY_MOST, slow=10.0, idle=30.0))
        self.waiting: dict[int, Done] = {}
        self.calls = 0
        self.control_port = read_address(boot.binds.control)[1] if boot.binds.control else 0

    async def run(self) -> None:
        """Until it is told to end."""
        boot = self.boot
        await self.listener.listen(boot.ip, boot.port(STACKS))
        if boot.binds.control:
            await self.door.listen(*read_address(boot.binds.control))
        self.tick()
        self.loop.call_later(LOAD_S, checks)
        await serve("stacks", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Hand the office over, answer what waits, close."""
        self.door.stopping = self.door.leaving = True
        self._carry(self.control.stop(self.loop.time()))
        await asyncio.sleep(LEAVE_S)
        self.door.close()
        self.listener.close()
        for dial in self.dials.values():
            dial.close()
        self.shelf.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.control.reseed(self.boot.core_ips)

    def tick(self) -> None:
        """A tick of the machine; connections to all of the core that is known."""
        for ip in self.control._others():
            if ip not in self.dials:
                self.dials[ip] = Dial(self.loop, ip, self.boot.port(STACKS), lambda ip=ip: self._hello(ip),  # type: ignore[misc]
                                     self._from_dial)
        self._carry(self.control.tick(self.loop.time()))
        self._office()

    def _hello(self, ip: str) -> dict[str, Any]:
        self.loop.call_soon(lambda: self._carry(self.control.linked(self.loop.time(), ip)))
        return {"t": "hello", "me": self.boot.ip}

    def _office(self) -> None:
        """Followers are told by a holder of the office only."""
        view = self.control.view
        holds = self.control.office is not None and self.loop.time() < self.control.office.until()
        if (holds and not self.in_office) or (view is not None and view.epoch != self.told):
            self.told = view.epoch if view is not None else -1
            for link in self.followers.values():
                link.send(self._core())
        self.in_office = holds

    # Messages.

    def _from_dial(self, dial: Dial, table: dict[str, Any]) -> None:
        """Nothing comes back on a connection that this side opened: each opens its own."""

    def _heard(self, link: Link, table: dict[str, Any]) -> None:
        kind = table["t"]
        if kind == "want":
            epoch = self.control.view.epoch if self.control.view is not None else 0
            if self.control.view is not None and not self.control.forgot:
                self._grant(link, table, epoch)
        elif kind == "yield":
            self.grantor.yielded(table)
        elif kind == "follow":
            self.followers[link.name] = link
            link.send(self._core())
            if self.in_office:
                self._tell(self.publisher.follow(link.name, table["n"]))
            else:
                self.publisher.leave(link.name)
                self.publisher.sent[link.name] = self.publisher.acked[link.name] = table["n"]
        elif kind == "ack":
            self.publisher.ack(link.name, table["n"])
        elif kind == "keep":  # from the registry: what it must not forget
            self._keep(link, table)
        elif kind == "hello":
            if link.name in self.dials:
                self.dials[link.name].poke()
        elif link.name:
            self._carry(self.control.message(self.loop.time(), link.name, table))

    def _grant(self, link: Link, table: dict[str, Any], epoch: int) -> None:
        answer, changed = self.grantor.wanted(self.loop.time(), table, epoch)
        if not changed:
            link.send(answer)
            return
        token = next(self.tokens)
        self.granting[token] = lambda: link.send(answer)
        self.shelf.write(token, {"grants": self.grantor.kept()})

    def _keep(self, link: Link, table: dict[str, Any]) -> None:
        items: dict[str, Any] = table["items"]

        def done(answer: Any) -> None:
            link.send({"t": "kept", "id": table["id"], "ok": answer is None})
        self._call(lambda call: Change(call, lambda s: all(s.value(k) == v for k, v in items.items()),
                                       lambda s: items, "the registry's"), done)

    def _core(self) -> dict[str, Any]:
        view = self.control.view
        return {"t": "core", "ips": sorted(view.electorate) if view is not None else [],
                "e": view.epoch if view is not None else 0, "primary": view.primary if view is not None else ""}

    def _gone(self, link: Link) -> None:
        if self.followers.get(link.name) is link:
            del self.followers[link.name]
            self.publisher.leave(link.name)

    def _tell(self, messages: list[tuple[str, dict[str, Any]]]) -> None:
        for name, message in messages:
            link = self.followers.get(name)
            if link is not None:
                link.send(message)

    def _written(self, token: int, ok: bool) -> None:
        self.loop.call_soon_threadsafe(self._ended, token, ok)

    def _ended(self, token: int, ok: bool) -> None:
        """A write has ended."""
        if token >= 0:
            self._carry(self.control.written(self.loop.time(), token, ok))
            return
        answer = self.granting.pop(token, None)
        if ok and answer is not None:
            answer()

    # Outputs.

    def _carry(self, outputs: Outputs) -> None:
        for out in outputs:
            if isinstance(out, Send):
                dial = self.dials.get(out.to)
                if dial is not None:
                    dial.send(out.table)
            elif isinstance(out, Write):
                self.shelf.write(out.token, out.records)
            elif isinstance(out, Answer):
                done = self.waiting.pop(out.call, None)
                if done is not None:
                    done(out.answer)
            elif isinstance(out, Publish):
                self._publish(out.state)
            elif isinstance(out, Note):
                say(out.event, *out.fields)

    def _publish(self, state: State) -> None:
        self.publisher.state = state
        self._office()
        self._tell(self.publisher.tell())

    # Calls.

    def _call(self, make: Callable[[int], Change | Read], done: Done) -> None:
        self.calls += 1
        self.waiting[self.calls] = done
        self._carry(self.control.call(self.loop.time(), make(self.calls)))

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
    """What `python -m roadspur.system stacks` runs."""
    await Stacks(settings).run()
