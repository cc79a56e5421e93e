"""The counter: adds written one behind another, each with one verdict in time."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from typing import cast

from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.services.addresses import Address
from thistleusher.services.http_responses import Response, ResponseReader

log = logging.getLogger(__name__)

LINES = 4  # one spoilt or stuck answer holds up the calls of one line; the counter takes 32 connections
STUCK_S = 1.0  # with no answer at all to what is owed, after which a connection is replaced
STALL_S = 0.05  # in the middle of an answer, likewise
RETIRE_S = 1.5  # for the answers still owed by a counter that another has taken over from
RETRY_S = 0.1
CONNECT_S = 0.5
TOTAL = re.compile(rb"-?\d+(\.\d+)?([eE][+-]?\d{1,2})?")  # nan and inf are none; below 0 happens by settling


class PendingAdd:
    """One call, with the time by which it needs a verdict."""

    __slots__ = ("name", "text", "due", "began", "reply")

    def __init__(self, name: int, text: bytes, began: float, due: float) -> None:
        self.name, self.text, self.began, self.due = name, text, began, due
        self.reply: events.CounterReply | None = None


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, from its start to its end. Answers come in the order of the calls."""

    def __init__(self, line: CounterChannel) -> None:
        self.line = line
        self.loop = line.counter.loop
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        self.owed: deque[PendingAdd] = deque()  # written; kept past their time, so that late answers find their call
        self.heard = 0.0
        self.served = self.retired = self.closed = False
        self.stall: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.line.stands(self)

    def write(self, add: PendingAdd) -> None:
        assert self.transport is not None
        if not self.owed:
            self.heard = self.loop.time()
        self.owed.append(add)
        self.transport.write(add.text)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        self.heard = self.loop.time()
        if self.stall is not None:
            self.stall.cancel()
        for answer in self.reader.feed(data):
            self.answered(answer)
        if self.reader.error:
            self.end(f"spoilt: {self.reader.error}", spoilt=True)
        elif self.reader.partial and not self.closed:
            self.stall = self.loop.call_later(STALL_S, self.end, "spoilt: it stops midway", True)

    def answered(self, answer: Response) -> None:
        if self.closed:
            return
        if not self.owed:
            self.end("an answer to no call")
            return
        if answer.status == 200 and TOTAL.fullmatch(answer.body) is None:
            self.end("spoilt: not a total", spoilt=True)
            return
        add = self.owed.popleft()
        self.served = True
        if answer.status == 200:
            self.line.counter.tell(add, Outcome.OK, float(answer.body))
        elif answer.status == 503:
            self.line.counter.tell(add, Outcome.FULL)
        else:
            nothing_added = answer.status in (400, 404)
            log.warning("counter: status %d", answer.status)
            self.line.counter.tell(add, Outcome.CONNECT_FAILED if nothing_added else Outcome.TIMEOUT)
        if not answer.keep_alive or (self.retired and not self.owed):
            self.end("done")

    def retire(self) -> None:
        """Another connection has taken over; what is owed here may still come."""
        self.retired = True
        if self.owed:
            self.loop.call_later(RETIRE_S, self.end, "retired")
        else:
            self.end("retired")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("closed")

    def end(self, why: str, spoilt: bool = False) -> None:
        """No answer can be had here any more. What was written may have been added; a spoilt answer says so.

        The line is told first: a verdict may bring about the next call, which must not be written here.
        """
        if self.closed:
            return
        self.closed = True
        log.debug("counter: %s", why)
        if self.stall is not None:
            self.stall.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.line.lost(self)
        for n, add in enumerate(self.owed):
            self.line.counter.tell(add, Outcome.ERROR if spoilt and n == 0 else Outcome.TIMEOUT)
        self.owed.clear()


class CounterChannel:
    """Keeps one connection to wherever the counter is; calls that find none wait for it."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.loop = counter, counter.loop
        self.link: CounterConnection | None = None
        self.unsent: deque[PendingAdd] = deque()
        self.untold: deque[PendingAdd] = deque()  # those without a verdict, oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.wanted = asyncio.Event()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Connect, and again when that connection is lost or the counter is elsewhere."""
        while True:
            address, link, began = self.counter.address, CounterConnection(self), self.loop.time()
            self.wanted.clear()
            try:
                async with asyncio.timeout(CONNECT_S):
                    await self.loop.create_connection(self.factory(link), *address)
            except (OSError, TimeoutError) as error:
                log.debug("counter: connect: %r", error)
            except Exception:  # whatever it was, calls must not wait for ever for a connection
                log.exception("counter")
            else:
                await self.wanted.wait()
                # One that has been of use, or was merely closed for being idle, is replaced at once.
                if link.served or self.loop.time() - began > STUCK_S or self.counter.address != address:
                    continue
            await asyncio.sleep(RETRY_S)

    @staticmethod
    def factory(link: CounterConnection) -> Callable[[], CounterConnection]:
        return lambda: link

    def stands(self, link: CounterConnection) -> None:
        """A connection has come up: it takes over."""
        old, self.link = self.link, link
        waiting = [a for a in self.unsent if a.reply is None]
        self.unsent.clear()
        for add in waiting:
            link.write(add)
        if old is not None:
            old.retire()

    def lost(self, link: CounterConnection) -> None:
        if self.link is link:
            self.link = None
            self.wanted.set()

    def call(self, add: PendingAdd) -> None:
        """Write a call, or have it wait for the connection as long as its time allows."""
        self.untold.append(add)
        if self.link is None:
            self.unsent.append(add)
        else:
            self.link.write(add)
        self.arm()

    def arm(self) -> None:
        while self.untold and self.untold[0].reply is not None:
            self.untold.popleft()
        if self.timer is None and self.untold:
            self.timer = self.loop.call_at(self.untold[0].due, self.expire)

    def expire(self) -> None:
        """Give a verdict on what is due; only what was never written is sure not to have been added."""
        self.timer = None
        now, link = self.loop.time(), self.link
        late = [a for a in self.untold if a.reply is None and a.due <= now]
        unsent = {a for a in late if a in self.unsent}
        for add in unsent:
            self.unsent.remove(add)
        if link is not None and link.owed and now - link.heard > STUCK_S:
            log.warning("counter: no answer for %.1f s: opening a new connection", now - link.heard)
            link.end("stuck")
        for add in late:
            self.counter.tell(add, Outcome.CONNECT_FAILED if add in unsent else Outcome.TIMEOUT)
        self.arm()

    def close(self) -> None:
        self.task.cancel()
        if self.link is not None:
            self.link.end("the program ends")


class CounterClient:
    """The counter service. All calls of one name go over one line, so that they keep their order there."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout: float,
        on_reply: Callable[[events.CounterReply], None],
        time: Callable[[], float] | None = None,
    ) -> None:
        """`timeout` in seconds; `time` measures how long calls took, and is the loop's own by default."""
        self.loop, self.address, self.timeout, self.on_reply = loop, address, timeout, on_reply
        self.time = time or loop.time
        self.calls: dict[int, deque[PendingAdd]] = {}  # by name, until all before them have been told
        self.lines = [CounterChannel(self) for _ in range(LINES)]

    def move(self, address: Address) -> None:
        """The counter is elsewhere from now on; the old connections serve until the new ones stand."""
        if address != self.address:
            self.address = address
            for line in self.lines:
                line.wanted.set()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """One call."""
        now = self.loop.time()
        life = max(1, min(60_000, round(lifetime * 1000)))
        text = (
            f"POST /v2/numbers/{name}?delta={amount:.6f}&life_ms={life} HTTP/1.1\r\n"
            f"Host: {self.address[0]}:{self.address[1]}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        add = PendingAdd(name, text, self.time(), now + self.timeout)
        self.calls.setdefault(name, deque()).append(add)
        self.lines[name % LINES].call(add)

    def tell(self, add: PendingAdd, outcome: Outcome, total: float = 0.0) -> None:
        """The verdict on a call, the first one only.

        Verdicts on one name are handed on in the order of the calls, also where an old connection and a new
        one carry them at once: that is how the decisions know which call is meant.
        """
        if add.reply is not None:
            return
        add.reply = events.CounterReply(add.name, outcome, self.time() - add.began, total)
        calls = self.calls[add.name]
        while calls and (reply := calls[0].reply) is not None:
            calls.popleft()
            self.on_reply(reply)
        if not calls and self.calls.get(add.name) is calls:
            del self.calls[add.name]

    def close(self) -> None:
        for line in self.lines:
            line.close()
