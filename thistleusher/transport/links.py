"""Held connections between the system's own processes: framed messages, one after the other, over TCP.

`Dial` keeps one connection to an address and opens it again when it ends; `Listener` takes others' connections. Both
sides send a `Beat` when they have nothing else to say, and end a connection on which nothing came for `SILENT_S`:
behind a network partition nothing else would tell. What was written to a connection that ends may be lost; who needs
an answer asks again.

A message that does not fit its type (`MalformedMessage`), or that its receiver does not take (`UnexpectedMessage`),
is refused and logged, and its connection is ended.

Cost over the fleet: a beat each `BEAT_S` and connection each way.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from thistleusher.common.events import Event, log_event
from thistleusher.net.socket_state import enable_dead_peer_detection
from thistleusher.transport.codec import Deframer, MalformedMessageError, frame
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import AnyMessage, HandOver, Hello, KeepAlive, Message, SubscribeRequest

BEAT_S = 0.4
SILENT_S = 1.5
OPEN_S = 0.3  # to connect: the opening packet to a machine that is down is lost, and not sent again in time
PATIENT = 4  # each so many attempts one gets `SILENT_S`, as the way may be that slow
REDIAL_S = 0.1
UNSENT_BYTES = 16 * 1024 * 1024  # waiting to be sent, beyond which a peer that does not read is given up
BEAT = frame(KeepAlive())


class Link(asyncio.Protocol):
    """One connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_open: Callable[[Link], None],
        on_message: Callable[[Link, AnyMessage], None],
        on_end: Callable[[Link, str], None],
    ) -> None:
        self.loop, self.on_open, self.on_message, self.on_end = loop, on_open, on_message, on_end
        self.transport: asyncio.Transport | None = None
        self.deframer = Deframer()
        self.heard = self.said = loop.time()
        self.name = ""  # who is at the other end, once it has said so
        self.peer = ""  # the address that it came from
        self.open = False
        self.why = "closed"
        self.beater: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_dead_peer_detection(sock, SILENT_S)
        self.open = True
        self.beater = self.loop.call_later(BEAT_S, self._beat)
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        self.heard = self.loop.time()
        try:
            for message in self.deframer.feed(data):
                if not self.open:
                    return
                if not isinstance(message, KeepAlive):
                    self.on_message(self, message)
        except (MalformedMessageError, UnexpectedMessageError) as error:
            log_event(Event.MESSAGE_REJECTED, self.name or self.peer, error)
            self.close(str(error))
        except (ValueError, KeyError, TypeError) as error:
            log_event(Event.FAULT, f"a message of {self.name or self.peer}", repr(error))
            self.close(repr(error))

    def send(self, message: Message) -> None:
        """Send one message; nothing where the connection has ended."""
        self.write(frame(message))

    def write(self, data: bytes) -> None:
        """Send a message that is framed already."""
        if not self.open or self.transport is None:
            return
        if self.transport.is_closing():  # given up while it was being opened: nothing else tells
            self._ended()
            return
        self.said = self.loop.time()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > UNSENT_BYTES:
            self.close("it does not read")

    def _beat(self) -> None:
        now = self.loop.time()
        if not self.open:
            return
        if now - self.heard > SILENT_S:
            self.close("silent")
            return
        if now - self.said >= BEAT_S * 0.9:
            self.write(BEAT)
        self.beater = self.loop.call_later(BEAT_S, self._beat)

    def close(self, why: str = "closed") -> None:
        """End it at once."""
        self.why = why
        if self.transport is not None:
            self.transport.abort()
        self._ended()

    def abandon(self) -> None:
        """It was given up while it was being opened: nobody has had it, and nothing is told."""
        self.open = False
        if self.beater is not None:
            self.beater.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self.why = str(exc)
        self._ended()

    def _ended(self) -> None:
        if self.open:
            self.open = False
            if self.beater is not None:
                self.beater.cancel()
            self.on_end(self, self.why)


class ReconnectingLink:
    """A connection to one address that is opened again for as long as it is wanted."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        hello: Callable[[], Message],
        on_message: Callable[[ReconnectingLink, AnyMessage], None],
        on_end: Callable[[ReconnectingLink], None] | None = None,
    ) -> None:
        """`hello`: the first message on each connection."""
        self.loop, self.host, self.port, self.hello, self.on_message = loop, host, port, hello, on_message
        self.ended = on_end
        self.link: Link | None = None
        self.closed = False
        self.opening: asyncio.Task[Link] | None = None
        self.there = asyncio.Event()  # the other side has shown that it is up
        self.task = loop.create_task(self._run())

    @property
    def up(self) -> bool:
        """Whether the connection stands."""
        return self.link is not None and self.link.open

    async def _run(self) -> None:
        tries = 0
        while not self.closed:
            tries += 1
            over = self.loop.create_future()

            def end(link: Link, why: str, over: asyncio.Future[str] = over) -> None:
                if not over.done():
                    over.set_result(why)

            self.opening = self.loop.create_task(self._open(end, SILENT_S if tries % PATIENT == 0 else OPEN_S))
            try:
                protocol = await self.opening
            except asyncio.CancelledError:
                if self.closed:
                    raise
                continue
            except (OSError, TimeoutError):
                await self._pause()
                continue
            self.opening, tries = None, 0
            self.link = protocol
            self.link.name = f"{self.host}:{self.port}"
            self.link.send(self.hello())
            await over
            self.link = None
            if self.ended is not None and not self.closed:
                self.ended(self)
            await self._pause()

    async def _open(self, end: Callable[[Link, str], None], for_s: float) -> Link:
        link = Link(self.loop, lambda opened: None, self._message, end)
        try:
            async with asyncio.timeout(for_s):
                await self.loop.create_connection(lambda: link, self.host, self.port)
        except BaseException:
            link.abandon()  # it may stand already, and the loop closes it without a word
            raise
        return link

    async def _pause(self) -> None:
        self.there.clear()
        try:
            async with asyncio.timeout(REDIAL_S):
                await self.there.wait()
        except TimeoutError:
            pass

    def poke(self) -> None:
        """The other side is up, as something has come from it: what waits for it is tried again at once."""
        if self.up:
            return
        self.there.set()
        if self.opening is not None:
            self.opening.cancel()

    def _message(self, link: Link, message: AnyMessage) -> None:
        self.on_message(self, message)

    def send(self, message: Message) -> bool:
        """Send one message; False where no connection stands."""
        if self.link is None or not self.link.open:
            return False
        self.link.send(message)
        return True

    def close(self) -> None:
        """End it for good."""
        self.closed = True
        self.task.cancel()
        if self.opening is not None:
            self.opening.cancel()
        if self.link is not None:
            self.link.close()


class Listener:
    """Takes connections; each is known by the `me` of its first message, a `Hello`, `Follow` or `HandOver`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Link, AnyMessage], None],
        on_end: Callable[[Link], None],
        most: int = 1024,
    ) -> None:
        self.loop, self.on_message, self.most = loop, on_message, most
        self.on_end = on_end
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the port; OSError where it cannot be had."""
        self.server = await self.loop.create_server(
            lambda: Link(self.loop, self._opened, self._message, self._ended), host, port, backlog=256
        )

    def _opened(self, link: Link) -> None:
        self.links.add(link)
        assert link.transport is not None
        peer = link.transport.get_extra_info("peername")
        link.peer = peer[0] if peer else ""
        if len(self.links) > self.most:
            link.close("too many connections")

    def _message(self, link: Link, message: AnyMessage) -> None:
        if not link.name and isinstance(message, Hello | SubscribeRequest | HandOver):
            link.name = message.sender
        self.on_message(link, message)

    def _ended(self, link: Link, why: str) -> None:
        self.links.discard(link)
        if link.name:
            self.on_end(link)

    def close(self) -> None:
        """Close the port and all that came through it."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()
