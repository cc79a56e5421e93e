"""The counter: adds written one behind another, each with one verdict in time."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import cast

from roadspur import interface as io
from roadspur.net.wire import Address, Answer, AnswerReader, BadAnswer

log = logging.getLogger(__name__)

LINES = 2
STUCK_S = 1.0  # with no answer at all to what is owed, after which a connection is replaced
RETRY_S = 0.1
CONNECT_S = 0.5


class Add:
    """One call, with the time by which it needs a verdict."""

    __slots__ = ("name", "text", "due", "began", "told")

    def __init__(self, name: int, text: bytes, began: float, due: float) -> None:
        self.name, self.text, self.began, self.due, self.told = name, text, began, due, False


class Line(asyncio.Protocol):
    """One connection to the counter, opened again for ever. Answers come in the order of the calls."""

    def __init__(self, counter: Counter) -> None:
        self.counter, self.loop = counter, counter.loop
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader(self.answered)
        self.unsent: deque[Add] = deque()
        self.owed: deque[Add] = deque()  # written; kept past their time, so that late answers find their call
        self.untold: deque[Add] = deque()  # those without a verdict, oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.heard = 0.0
        self.wanted = asyncio.Event()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Keep a connection."""
        while True:
            self.wanted.clear()
            try:
                async with asyncio.timeout(CONNECT_S):
                    await self.loop.create_connection(lambda: self, *self.counter.address)
            except (OSError, TimeoutError) as error:
                log.debug("counter: connect: %r", error)
            except Exception:  # whatever it was, calls must not wait for ever for a connection
                log.exception("counter")
            else:
                began = self.loop.time()
                await self.wanted.wait()
                if self.loop.time() - began > STUCK_S:  # it was merely closed for being idle
                    continue
            await asyncio.sleep(RETRY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.reader = AnswerReader(self.answered)
        self.heard = self.loop.time()
        waiting = [a for a in self.unsent if not a.told]
        self.unsent.clear()
        for add in waiting:
            self.write(add)

    def write(self, add: Add) -> None:
        assert self.transport is not None
        if not self.owed:
            self.heard = self.loop.time()
        self.owed.append(add)
        self.transport.write(add.text)

    def call(self, add: Add) -> None:
        """Write a call, or have it wait for the connection as long as its time allows."""
        self.untold.append(add)
        if self.transport is None:
            self.unsent.append(add)
        else:
            self.write(add)
        self.arm()

    def arm(self) -> None:
        while self.untold and self.untold[0].told:
            self.untold.popleft()
        if self.timer is None and self.untold:
            self.timer = self.loop.call_at(self.untold[0].due, self.expire)

    def expire(self) -> None:
        """Give a verdict on what is due; only what was never written is sure not to have been added."""
        self.timer = None
        now = self.loop.time()
        late = [a for a in self.untold if not a.told and a.due <= now]
        unsent = {a for a in late if a in self.unsent}
        for add in unsent:
            self.unsent.remove(add)
        if self.owed and self.transport is not None and now - self.heard > STUCK_S:
            log.warning("counter: no answer for %.1f s: opening a new connection", now - self.heard)
            self.transport.abort()
            self.lose()
        for add in late:
            self.tell(add, io.Outcome.CONNECT_FAILED if add in unsent else io.Outcome.TIMEOUT)
        self.arm()

    def tell(self, add: Add, outcome: io.Outcome, total: float = 0.0) -> None:
        if not add.told:
            add.told = True
            self.counter.on_reply(io.CounterReply(add.name, outcome, self.loop.time() - add.began, total))

    def data_received(self, data: bytes) -> None:
        self.heard = self.loop.time()
        try:
            self.reader.feed(data)
        except BadAnswer as error:
            log.warning("counter: %s", error)
            if self.transport is not None:
                self.transport.abort()

    def answered(self, answer: Answer) -> None:
        if not self.owed:
            raise BadAnswer("an answer to no call")
        add = self.owed.popleft()
        if answer.status == 200:
            try:
                self.tell(add, io.Outcome.OK, float(answer.body))
            except ValueError:
                log.warning("counter: not a total: %r", answer.body[:40])
                self.tell(add, io.Outcome.TIMEOUT)
        elif answer.status == 503:
            self.tell(add, io.Outcome.FULL)
        else:
            nothing_added = answer.status in (400, 404)
            log.warning("counter: status %d", answer.status)
            self.tell(add, io.Outcome.CONNECT_FAILED if nothing_added else io.Outcome.TIMEOUT)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.lose()

    def lose(self) -> None:
        """The connection is gone: what was written may have been added."""
        self.transport = None
        lost, self.owed = self.owed, deque()
        self.wanted.set()
        for add in lost:
            self.tell(add, io.Outcome.TIMEOUT)


class Counter:
    """The counter service: all calls of one name go over one connection, so that they keep their order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, timeout: float,
                 on_reply: Callable[[io.CounterReply], None]) -> None:
        self.loop, self.address, self.timeout, self.on_reply = loop, address, timeout, on_reply
        self.host = f"{address[0]}:{address[1]}"
        self.lines = [Line(self) for _ in range(LINES)]

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """One call."""
        now = self.loop.time()
        life = max(1, min(60_000, round(lifetime * 1000)))
        text = (f"POST /v2/numbers/{name}?delta={amount:.6f}&life_ms={life} HTTP/1.1\r\n"
                f"Host: {self.host}\r\nContent-Length: 0\r\n\r\n").encode()
        self.lines[name % LINES].call(Add(name, text, now, now + self.timeout))

    def close(self) -> None:
        for line in self.lines:
            line.task.cancel()
            if line.transport is not None:
                line.transport.abort()
