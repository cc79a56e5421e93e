"""Long-lived connections between the system's own processes: a stream of framed messages over TCP.

`ReconnectingLink` maintains one connection to an address and reopens it when it ends; `Listener` accepts connections.
Both sides send a `KeepAlive` when they have nothing else to send, and close a connection on which nothing has arrived
for `RECEIVE_TIMEOUT_S`: in a network partition nothing else would show that the peer is unreachable. Data written to a
connection that ends may be lost; a sender that needs an answer must repeat its request.

If a message does not match its type (`MalformedMessageError`) or is not accepted by its receiver
(`UnexpectedMessageError`), the error is logged and the connection is closed.

Cost: one keep-alive per `KEEP_ALIVE_INTERVAL_S`, connection and direction.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

from thistleusher.common.background import start_background
from thistleusher.common.events import Event, log_event
from thistleusher.net.socket_state import enable_dead_peer_detection
from thistleusher.services.fair_reads import FairReads
from thistleusher.transport.codec import Deframer, MalformedMessageError, frame
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.frame_memory import MAX_FIRST_BYTES, FrameMemory
from thistleusher.transport.messages import AnyMessage, HandOver, Hello, KeepAlive, Message, SubscribeRequest

KEEP_ALIVE_INTERVAL_S = 0.4
RECEIVE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.3  # Time-out of a connection attempt; a lost SYN would be retransmitted only after 1 s.
# Every n-th attempt has the time-out `RECEIVE_TIMEOUT_S` instead of `CONNECT_TIMEOUT_S`, as the route may be slow.
SLOW_ATTEMPT_INTERVAL = 4
RECONNECT_DELAY_S = 0.1
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # With more unsent data, the peer is considered not to read: the link is closed.
IDENTIFY_TIMEOUT_S = 3.0  # Time for an accepted link to say whose it is; a hand-over gives up after 1 s.
MAX_LINKS = 1024
BACKLOG = 256
MESSAGE_TIMEOUT_S = 20.0  # Time for one message to arrive: a complete state, from another region, beside others.
KEEP_ALIVE_FRAME = frame(KeepAlive())


class Link(FairReads):
    """One connection, of either side."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_open: Callable[[Link], None],
        on_message: Callable[[Link, AnyMessage], None],
        on_end: Callable[[Link, str], None],
        deframer: Deframer | None = None,
    ) -> None:
        """Create a link that is not connected yet; `on_end` is called once, with the reason."""
        self.loop = loop
        self.on_open = on_open
        self.on_message = on_message
        self.on_end = on_end
        self.transport: asyncio.Transport | None = None
        self.deframer = deframer or Deframer()
        self.last_received = loop.time()
        self.last_sent = self.opened_at = self.last_received
        self.message_due_at = self.last_received + MESSAGE_TIMEOUT_S  # End of the time for the incoming message.
        self.name = ""  # The peer's name, once known.
        self.peer_address = ""
        self.open = False
        self.close_reason = "closed"
        self.keep_alive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and start the keep-alive timer."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_dead_peer_detection(sock, RECEIVE_TIMEOUT_S)
        self.open = True
        self.keep_alive_timer = self.loop.call_later(KEEP_ALIVE_INTERVAL_S, self._keep_alive)
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Deliver the complete messages; an error in one of them closes the connection."""
        now = self.last_received = self.loop.time()
        if not self.deframer.held_bytes:
            self.message_due_at = now + MESSAGE_TIMEOUT_S
        try:
            for message in self.deframer.feed(data):
                if not self.open:
                    return
                self.message_due_at = now + MESSAGE_TIMEOUT_S
                if not isinstance(message, KeepAlive):
                    self.on_message(self, message)
        except (MalformedMessageError, UnexpectedMessageError) as error:
            log_event(Event.MESSAGE_REJECTED, self.name or self.peer_address, error)
            self.close(str(error))
        except Exception as error:  # On the next connection, the handler requests again what it could not apply.
            log_event(Event.FAULT, f"a message of {self.name or self.peer_address}", repr(error))
            self.close(repr(error))

    def wants_data(self) -> bool:
        """Return whether the connection is open."""
        return self.open

    def send(self, message: Message) -> None:
        """Send one message; drop it if the connection has ended."""
        self.write(frame(message))

    def write(self, data: bytes) -> None:
        """Send a framed message; close the connection if the peer does not read."""
        if not self.open or self.transport is None:
            return
        if self.transport.is_closing():  # Abandoned while it was being opened: no other callback reports its end.
            self._ended()
            return
        self.last_sent = self.loop.time()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close("the peer does not read")

    def _keep_alive(self) -> None:
        if not self.open:
            return
        now = self.loop.time()
        if now - self.last_received > RECEIVE_TIMEOUT_S:
            self.close("silent")
            return
        if not self.deframer.identified and now > self.opened_at + IDENTIFY_TIMEOUT_S:
            self.close("has not said whose it is")
            return
        if self.deframer.held_bytes and now > self.message_due_at:
            self.close("a message has not come whole in time")
            return
        if now - self.last_sent >= KEEP_ALIVE_INTERVAL_S * 0.9:
            self.write(KEEP_ALIVE_FRAME)
        self.keep_alive_timer = self.loop.call_later(KEEP_ALIVE_INTERVAL_S, self._keep_alive)

    def close(self, reason: str = "closed") -> None:
        """Close the connection at once and discard unsent data."""
        self.close_reason = reason
        if self.transport is not None:
            self.transport.abort()
        self._ended()

    def abandon(self) -> None:
        """Abandon the connection while it is being opened; `on_end` is not called, as no caller has received it."""
        self.open = False
        self._cancel_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        if exc is not None:
            self.close_reason = str(exc)
        self._ended()

    def _ended(self) -> None:
        self.deframer.close()
        if self.open:
            self.open = False
            self._cancel_keep_alive()
            self.on_end(self, self.close_reason)

    def _cancel_keep_alive(self) -> None:
        if self.keep_alive_timer is not None:
            self.keep_alive_timer.cancel()


class ReconnectingLink:
    """A link to one address that is reopened `RECONNECT_DELAY_S` after its end, until it is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        first_message: Callable[[], Message],
        on_message: Callable[[ReconnectingLink, AnyMessage], None],
        on_end: Callable[[ReconnectingLink], None] | None = None,
        memory: FrameMemory | None = None,
    ) -> None:
        """Start connecting; `first_message` returns the first message to send on each connection.

        `memory`: what the incomplete messages of all links of the process may take.
        """
        self.memory = memory
        self.loop = loop
        self.host = host
        self.port = port
        self.first_message = first_message
        self.on_message = on_message
        self.on_end = on_end
        self.link: Link | None = None
        self.closed = False
        self.opening: asyncio.Task[Link] | None = None
        self.peer_seen = asyncio.Event()  # Set when the peer has shown that it is up.
        self.task = start_background(loop, self._run(), f"the link to {host}:{port}")

    @property
    def is_up(self) -> bool:
        """Return whether the connection is open."""
        return self.link is not None and self.link.open

    async def _run(self) -> None:
        attempts = 0
        while not self.closed:
            attempts += 1
            ended = self.loop.create_future()

            def end(link: Link, reason: str, ended: asyncio.Future[str] = ended) -> None:
                if not ended.done():
                    ended.set_result(reason)

            timeout_s = RECEIVE_TIMEOUT_S if attempts % SLOW_ATTEMPT_INTERVAL == 0 else CONNECT_TIMEOUT_S
            self.opening = self.loop.create_task(self._open(end, timeout_s))
            try:
                link = await self.opening
            except asyncio.CancelledError:
                if self.closed:
                    raise
                continue  # Cancelled by `retry_now`.
            except (OSError, TimeoutError):
                await self._pause()
                continue
            self.opening = None
            attempts = 0
            try:
                await self._use(link, ended)
            except Exception as error:  # An error in a caller's callback must not stop reconnection.
                log_event(Event.FAULT, f"the link to {self.host}:{self.port}", repr(error))
                link.close()
            await self._pause()

    async def _use(self, link: Link, ended: asyncio.Future[str]) -> None:
        """Use an open link until it ends."""
        self.link = link
        link.name = f"{self.host}:{self.port}"
        try:
            link.send(self.first_message())
            await ended
        finally:
            self.link = None
        if self.on_end is not None and not self.closed:
            self.on_end(self)

    async def _open(self, on_end: Callable[[Link, str], None], timeout_s: float) -> Link:
        link = Link(self.loop, lambda opened: None, self._message, on_end, Deframer(self.memory))
        try:
            async with asyncio.timeout(timeout_s):
                await self.loop.create_connection(lambda: link, self.host, self.port)
        except BaseException:
            link.abandon()  # It may already be open; the event loop then closes it without calling back.
            raise
        return link

    async def _pause(self) -> None:
        self.peer_seen.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECONNECT_DELAY_S):
                await self.peer_seen.wait()

    def retry_now(self) -> None:
        """Connect at once if the link is down; called when data has arrived from the peer, which is thus up."""
        if self.is_up:
            return
        self.peer_seen.set()
        if self.opening is not None:
            self.opening.cancel()

    def _message(self, link: Link, message: AnyMessage) -> None:
        self.on_message(self, message)

    def send(self, message: Message) -> bool:
        """Send one message; return False if no connection is open."""
        if self.link is None or not self.link.open:
            return False
        self.link.send(message)
        return True

    def close(self) -> None:
        """Close the link permanently."""
        self.closed = True
        self.task.cancel()
        if self.opening is not None:
            self.opening.cancel()
        if self.link is not None:
            self.link.close()


class Listener:
    """Accepts links; each takes its name from the `sender` of its first `Hello`, `SubscribeRequest` or `HandOver`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Link, AnyMessage], None],
        on_end: Callable[[Link], None],
        max_links: int = MAX_LINKS,
        memory: FrameMemory | None = None,
        first_bytes: int = MAX_FIRST_BYTES,
    ) -> None:
        """Create a listener whose port is not open yet; `on_end` is called only for named links.

        `memory`: what the incomplete messages of all links of the process may take. `first_bytes`: upper bound of the
        first message on a link.
        """
        self.memory = memory
        self.first_bytes = first_bytes
        self.loop = loop
        self.on_message = on_message
        self.on_end = on_end
        self.max_links = max_links
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the port. Raise OSError if it cannot be opened."""
        self.server = await self.loop.create_server(
            lambda: Link(self.loop, self._opened, self._message, self._ended, self._deframer()),
            host,
            port,
            backlog=BACKLOG,
        )

    def _deframer(self) -> Deframer:
        return Deframer(self.memory, identified=False, first_bytes=self.first_bytes)

    def _opened(self, link: Link) -> None:
        self.links.add(link)
        assert link.transport is not None
        peer = link.transport.get_extra_info("peername")
        link.peer_address = peer[0] if peer else ""
        if len(self.links) > self.max_links:
            strangers = (other for other in self.links if other is not link and not other.deframer.identified)
            next(strangers, link).close("too many connections")

    def _message(self, link: Link, message: AnyMessage) -> None:
        if not link.name and isinstance(message, Hello | SubscribeRequest | HandOver):
            link.name = message.sender
            link.deframer.identified = True
        self.on_message(link, message)

    def _ended(self, link: Link, reason: str) -> None:
        self.links.discard(link)
        if link.name:
            self.on_end(link)

    def close(self) -> None:
        """Close the port and all accepted links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()
