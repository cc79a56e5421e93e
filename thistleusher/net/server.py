"""The client side: HTTP/1.1 requests in, one answer each out, and /healthz."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import functools
import http
import itertools
import select
import struct
import termios
from collections import deque
from collections.abc import Awaitable
from typing import Any, NamedTuple, cast

import httptools

from thistleusher.core.request import BadRequest, NoSuchPathError, RequestReader, customer_of
from thistleusher.net.client_call import MAX_BODY, MAX_HEAD, Call
from thistleusher.net.ingress import Ingress, Reply
from thistleusher.net.shutdown import GracefulShutdown

PIPELINE = 16  # requests read ahead on one connection
SLOW_S = 2.0  # for a first byte, for the rest of a request, and for a client to read its answers
IDLE_S = 5.0  # between requests
SWEEP_S = 0.25
LINGER_S = 0.5  # for a client to close its side, once the last answer has left this program
STOOD_S = 1.0  # by which a timer comes late if this process has stood still
LINGER_BYTES = 256 * 1024  # that are read, and thrown away, meanwhile
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
    b"x-budget",
}


AGAIN = b"Retry-After: 1\r\n"
PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class Early(NamedTuple):
    """An answer that no decision is needed for."""

    status: int
    why: str
    lines: bytes = b""  # further header lines
    ends: bool = False  # whether its connection ends with it


class Bounds(NamedTuple):
    """What a client may send and how long it may take over it, in bytes and seconds."""

    head: int = MAX_HEAD
    body: int = MAX_BODY
    slow: float = SLOW_S
    idle: float = IDLE_S


class ClientConnection(asyncio.Protocol):
    """One client's connection; requests on it are answered in turn."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.loop = server.loop
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[tuple[Any, bool]] = deque()
        self.call: Any = None  # the one that is being decided on
        self.keep = True  # whether the connection stays open after the present answer
        self.closing = self.deaf = self.paused = self.crowded = self.lost = False
        self.heard = next(server.order)
        self.used = False  # a request has come
        self.began = 0.0  # when the request that is now coming in began; 0 between requests
        self.since = self.loop.time()  # of being idle
        self.full = False  # the client does not read as fast as it is answered
        self.unsent, self.taken = 0, 0.0  # bytes of answers still here, and when there last were more of them or fewer
        self.reset()

    def reset(self) -> None:
        """Ready for the next request's bytes."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.size, self.in_head, self.fresh = 0, True, True

    # From the socket.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = self.lost = True
        self.server.connections.discard(self)
        self.waiting.clear()
        call, self.call = self.call, None
        if call is not None:
            self.server.gone(call)

    def data_received(self, data: bytes) -> None:
        if self.deaf:  # the rest of a request that was turned away unread
            self.size += len(data)
            if self.size > LINGER_BYTES and self.transport is not None and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        self.heard = next(self.server.order)
        self.began = self.began or self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                self.fault(int(cause.args[0]), str(cause.args[1]))
            else:
                self.fault(400, "malformed HTTP")
            return
        if self.in_head and self.began:  # the parser itself would take in a head that never ends
            self.size += 0 if self.fresh else len(data)
            self.fresh = False
            if self.size > self.server.bounds.head:
                self.fault(431, "the head is too long")

    def fault(self, status: int, why: str) -> None:
        """Answer what cannot be read on, after what came before it, and close."""
        self.deaf, self.size, self.body = True, 0, bytearray()
        self.enqueue(Early(status, why), keep=False)

    def pause_writing(self) -> None:
        """The client does not read its answers: what it asks for further waits, and not for long."""
        self.full, self.taken = True, self.loop.time()

    def resume_writing(self) -> None:
        self.full = False
        self.proceed()

    def stuck(self, now: float) -> bool:
        """Whether the client has taken nothing for too long of what it is owed; one that reads slowly is served."""
        if self.transport is None:
            return False
        here = self.transport.get_write_buffer_size()
        unsent = here + self.in_kernel()
        if unsent != self.unsent:
            self.unsent, self.taken = unsent, now
        return here > 0 and now - self.taken > self.server.bounds.slow

    def in_kernel(self) -> int:
        """Bytes that the other side's kernel has not acknowledged; 0 where this kernel does not tell.

        It takes in megabytes at a time, which a slow client reads for many seconds.
        """
        assert self.transport is not None
        try:
            told = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except (OSError, ValueError):
            return 0
        return int(struct.unpack("i", told)[0])

    # From the parser.

    def on_message_begin(self) -> None:
        self.reset()
        self.began = self.loop.time()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > self.server.bounds.head:
            raise BadRequest(431, "the head is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # and not in a trailer, behind a chunked body
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """What the head tells already is turned down before any body comes.

        The parser refuses both framings at once, two lengths, and lengths that are no plain number.
        """
        self.in_head = False
        most = self.server.bounds.body
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length" and int(value) > most:
                raise BadRequest(413, f"a body holds at most {most} bytes")
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                raise BadRequest(400, "transfer-encoding: expected chunked")
        if self.parser.should_upgrade():
            raise BadRequest(400, "no other protocol is spoken here")
        if len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers) > self.server.bounds.head:
            raise BadRequest(431, "the head is too long")

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.server.bounds.body:
            raise BadRequest(413, f"a body holds at most {self.server.bounds.body} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        self.began, self.in_head, self.used = 0.0, True, True
        item = self.server.read(self)
        if isinstance(item, Early) and item.ends:  # who repeats it has to connect anew
            self.fault(item.status, item.why)
        else:
            # Whoever asks again and again whether this ingress is ready must not push out those that it serves.
            waits = isinstance(item, Early) and item.status == 503
            self.enqueue(item, self.parser.should_keep_alive() and not self.crowded and not waits)

    # Answers, in the order of the requests.

    def enqueue(self, item: Any, keep: bool) -> None:
        self.waiting.append((item, keep))
        if len(self.waiting) > PIPELINE and self.transport is not None and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        if self.call is None:
            self.proceed()

    def proceed(self) -> None:
        """Go on with what has been read ahead, until there is one that must wait for its answer."""
        while self.waiting and self.call is None and not self.closing and not self.full:
            item, self.keep = self.waiting.popleft()
            if isinstance(item, Early):
                self.write(item.status, item.lines, item.why.encode())
            else:
                self.call = item
                self.server.take(item, functools.partial(self.reply, item))
        if (
            self.paused
            and self.transport is not None
            and not self.closing
            and not self.deaf
            and len(self.waiting) <= PIPELINE
        ):
            self.paused = False
            self.transport.resume_reading()

    def reply(self, item: Any, status: int, lines: bytes, body: bytes) -> None:
        """The final answer to a request; any further one is dropped, as it would be the next request's."""
        if self.call is not item:
            return
        self.call = None
        if status == 400:  # found to be bad only there: an id that another holds
            self.deaf, self.keep = True, False
        self.write(status, lines, body)
        if self.waiting:  # not from here: this may be deep inside an event
            self.loop.call_soon(self.proceed)

    def write(self, status: int, lines: bytes, body: bytes) -> None:
        if self.transport is None or self.closing:
            return
        self.since = self.loop.time()
        close = not self.keep or self.server.leaving
        if close:
            lines += b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, PHRASES.get(status, b"-"), lines, len(body), body)
        )
        if close:
            self.close()

    def close(self) -> None:
        """Close, once the answers have left. A reset, which would destroy them, is put off while the client sends."""
        if self.closing or self.transport is None:
            return
        self.closing = True
        now = self.taken = self.loop.time()
        if self.deaf or self.waiting or self.unread():
            self.turn_deaf()
            with contextlib.suppress(RuntimeError):  # it has broken, and its end is not told yet
                self.transport.write_eof()
        else:
            self.transport.close()
        self.loop.call_later(LINGER_S, self.linger, now + LINGER_S)

    def turn_deaf(self) -> None:
        """Throw away from here on what the client sends."""
        if not self.deaf:
            self.deaf, self.size = True, 0
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def linger(self, due: float) -> None:
        """End it, whether or not the client has closed its side, but not while it takes its last answer."""
        if self.lost or self.transport is None:
            return
        now = self.loop.time()
        if now > due + STOOD_S:
            self.taken = now
        if self.transport.get_write_buffer_size() and not self.stuck(now):
            self.loop.call_later(LINGER_S, self.linger, now + LINGER_S)
        else:
            self.transport.abort()

    def idle(self) -> bool:
        """Between requests, with nothing unread: closing it can at most cross a request."""
        if self.call is not None or self.waiting or self.began or self.closing or self.transport is None:
            return False
        return not self.unread()

    def unread(self) -> bool:
        """Whether bytes have come that this program has not got round to reading."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def sweep(self, now: float) -> None:
        """Nothing is waited for without end: a first byte, the rest of a request, the next one, a reader."""
        if self.closing or self.transport is None:
            return
        if self.full:
            if self.stuck(now):
                self.closing = True
                self.transport.abort()
        elif self.began:
            if now - self.began > self.server.bounds.slow and not self.deaf and not self.unread():
                self.fault(408, "the request did not come whole in time")
        elif now - self.since > (self.server.bounds.idle if self.used else self.server.bounds.slow) and self.idle():
            self.close()


class Server:
    """Listens for clients, and leaves in order.

    What is asked for and who answers is for those that build on it: `read`, `take`, `gone`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, bounds: Bounds = Bounds()) -> None:  # noqa: B008
        self.loop, self.most, self.bounds = loop, most, bounds
        self.connections: set[ClientConnection] = set()
        self.order = itertools.count()  # who was heard last; the loop's clock is too coarse to tell
        self.stopping = self.leaving = False
        self.farewell: GracefulShutdown | None = None
        self.listener: asyncio.Server | None = None
        self.sweep_due = loop.time() + SWEEP_S
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    async def listen(self, host: str, port: int) -> None:
        self.listener = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)

    def read(self, came: ClientConnection) -> Any:
        """The request that has come whole, to be handed to `take`, or the `Early` answer to it."""
        raise NotImplementedError

    def take(self, item: Any, reply: Reply) -> None:
        """Answer a request through `reply`, once, now or later."""
        raise NotImplementedError

    def gone(self, item: Any) -> None:
        """The client of a request that has not been answered has left."""

    def joined(self, connection: ClientConnection) -> None:
        """Room for one more is made by closing one that never sent anything, or has been idle longest.

        Where none is idle, the new one is told so: ended without an answer, its request would be lost.
        """
        self.connections.add(connection)
        if len(self.connections) > self.most:
            for other in sorted(self.connections, key=lambda c: (c.used, c.heard)):
                if other is not connection and other.idle():
                    other.close()
                    return
            connection.crowded = True

    def sweep(self) -> None:
        now = self.loop.time()
        stood = now > self.sweep_due + STOOD_S
        for connection in list(self.connections):
            if stood:  # nobody could take anything meanwhile
                connection.taken = now
            connection.sweep(now)
        self.sweep_due = now + SWEEP_S
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    async def leave(self, notice: Awaitable[object], farewell: GracefulShutdown | None = None) -> None:
        """Go on as ever until the notice is over and `farewell` closes the door; then take nothing new and wait for
        what is held.

        Connections are kept until then: whoever is in front may go on dealing requests to this ingress, and can open
        no new ones. What was taken is answered, however long it takes: only a kill excuses the rest.
        """
        self.stopping, self.farewell = True, farewell
        await notice
        while farewell is not None and farewell.open(self.loop.time()):
            await asyncio.sleep(0.02)
        self.leaving = True
        if self.listener is not None:
            self.listener.close()
        while self.connections:
            for connection in list(self.connections):
                if connection.idle():  # one that was accepted last may come only now
                    connection.close()
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """Close the door and what came through it, at once."""
        self.leaving = True
        self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()


class IngressServer(Server):
    """The clients' door of the ingress in service."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ingress: Ingress, most: int) -> None:
        super().__init__(loop, most)
        self.ingress = ingress
        self.reader = RequestReader(ingress.settings)
        self.take, self.gone = ingress.take, ingress.gone  # type: ignore[method-assign, assignment]

    def ready(self) -> bool:
        """Whether a request could be served: there is a backend to send it to, and this is no goodbye."""
        return bool(self.ingress.serving) and not self.stopping

    def read(self, came: ClientConnection) -> Any:
        """The request that has come, or the answer to one that is none of ours."""
        if came.url.partition(b"?")[0] == b"/healthz":
            return Early(200, "") if self.ready() else Early(503, "", AGAIN)
        if came.crowded:
            return Early(503, "too many connections", AGAIN)
        try:
            request = self.reader.read(customer_of(came.url), came.parser.get_method(), came.headers)
        except NoSuchPathError as error:
            return Early(404, str(error), ends=True)
        except BadRequest as error:
            return Early(400, str(error), ends=True)
        if self.farewell is not None:
            now = self.loop.time()
            self.farewell.came(now)
            left = self.farewell.left(now)
            if left <= 0:
                return Early(503, "this ingress ends", AGAIN)
            request = request._replace(expires_in=min(request.expires_in, left))
        start = [b"%s %s HTTP/1.1\r\n" % (came.parser.get_method(), came.url)]
        start += [b"%s: %s\r\n" % (n, v) for n, v in came.headers if n.lower() not in HOP_BY_HOP]
        return Call(request, b"".join(start), bytes(came.body), self.ingress.driver.scheduler.time())
