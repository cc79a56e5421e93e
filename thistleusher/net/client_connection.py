"""A client's connection: requests in, through the parser, and one response to each out, in their order."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import http
import itertools
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, cast

import httptools

from thistleusher.core.request import BadRequest
from thistleusher.net import socket_state
from thistleusher.net.request_buffer import ClientLimits, RequestBuffer

MAX_PIPELINED_REQUESTS = 16  # read ahead on one connection
LINGER_S = 0.5  # for a client to close its side, once the last response has left this program
MAX_LINGER_BYTES = 256 * 1024  # that are read, and discarded, meanwhile
PROCESS_PAUSE_S = 1.0  # a timer that rings this late shows that the whole process has stood still

REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}

Reply = Callable[[int, bytes, bytes], None]  # status, further header lines, body


class ImmediateResponse(NamedTuple):
    """A response that no decision is needed for."""

    status: int
    text: str
    header_lines: bytes = b""
    closes: bool = False  # whether the connection ends with it


class RequestHandler(Protocol):
    """What a connection asks of its server."""

    loop: asyncio.AbstractEventLoop
    limits: ClientLimits
    draining: bool
    activity_counter: itertools.count[int]
    connections: set[ClientConnection]

    def connection_opened(self, connection: ClientConnection) -> None:
        """Take note of a new connection."""

    def read_request(self, connection: ClientConnection) -> Any:
        """Return the request that has come whole, to be passed to `handle_request`, or an `ImmediateResponse`."""

    def handle_request(self, request: Any, reply: Reply) -> None:
        """Answer a request through `reply`, once, now or later."""

    def client_disconnected(self, request: Any) -> None:
        """Take note that the client of an unanswered request has gone."""


class ClientConnection(RequestBuffer, asyncio.Protocol):
    """One client's connection; requests on it are answered in turn."""

    server: RequestHandler

    def __init__(self, server: RequestHandler) -> None:
        super().__init__(server)
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[Any, bool]] = deque()  # requests read ahead, and whether each keeps the connection
        self.current_request: Any = None  # the one that is being decided on
        self.keep_alive = True  # whether the connection stays open after the present response
        self.closing = False
        self.disconnected = False
        self.discarding_input = False
        self.reading_paused = False
        self.over_limit = False  # it is one connection too many
        self.has_sent_request = False
        self.last_activity = next(server.activity_counter)
        self.request_started_at = 0.0  # when the request that is now coming in began; 0 between requests
        self.idle_since = self.loop.time()
        self.writing_paused = False  # the client does not read as fast as it is answered
        self.unsent_bytes = 0  # of responses, here and in the kernel
        self.last_progress_at = 0.0  # when `unsent_bytes` last changed

    # Events of the socket.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.server.connection_opened(self)

    def eof_received(self) -> bool:
        """Take a client that has closed its side, or only stopped sending, for one that has left.

        The transport closes once its responses have left, which a client that does not read can hold up.
        """
        self._abandon_requests()
        if not self.closing:
            self.closing = True
            self._linger()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was read ahead, and report the request that is being decided on."""
        self.closing = True
        self.disconnected = True
        self.server.connections.discard(self)
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Drop what was read ahead, and report that the client of the present request has left."""
        self.queue.clear()
        request = self.current_request
        self.current_request = None
        if request is not None:
            self.server.client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        """Parse, or discard what follows a request that was rejected unread."""
        if self.discarding_input:
            self.received_bytes += len(data)
            if self.received_bytes > MAX_LINGER_BYTES:
                self._pause_reading()
            return
        self.last_activity = next(self.server.activity_counter)
        self.request_started_at = self.request_started_at or self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                self.reject(int(cause.args[0]), str(cause.args[1]))
            else:
                self.reject(400, "malformed HTTP")
            return
        if self.in_head and self.request_started_at:  # the parser itself would take in a head that never ends
            self.received_bytes += 0 if self.is_first_read else len(data)
            self.is_first_read = False
            if self.received_bytes > self.server.limits.max_head_bytes:
                self.reject(431, "the head is too long")

    def reject(self, status: int, reason: str) -> None:
        """Answer what cannot be read on, after the requests before it, and close."""
        self.discarding_input = True
        self.received_bytes = 0
        self.body = bytearray()
        self._enqueue(ImmediateResponse(status, reason), keep_alive=False)

    def pause_writing(self) -> None:
        """Let further requests wait while the client does not read its responses."""
        self.writing_paused = True
        self.last_progress_at = self.loop.time()

    def resume_writing(self) -> None:
        """Go on with the requests that have waited."""
        self.writing_paused = False
        self.process_queue()

    # Callbacks of the parser; the rest are the buffer's.

    def on_message_begin(self) -> None:
        """Get ready for a new request."""
        self.reset()
        self.request_started_at = self.loop.time()

    def on_message_complete(self) -> None:
        """Queue the request that has come whole, or the response to one that needs no decision."""
        self.request_started_at = 0.0
        self.in_head = True
        self.has_sent_request = True
        request = self.server.read_request(self)
        if isinstance(request, ImmediateResponse) and request.closes:  # a client that repeats it has to connect anew
            self.reject(request.status, request.text)
            return
        # Clients that ask again and again whether this ingress is ready must not push out those that it serves.
        unavailable = isinstance(request, ImmediateResponse) and request.status == 503
        self._enqueue(request, self.parser.should_keep_alive() and not self.over_limit and not unavailable)

    # Responses, in the order of the requests.

    def _enqueue(self, request: Any, keep_alive: bool) -> None:
        self.queue.append((request, keep_alive))
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            self._pause_reading()
        if self.current_request is None:
            self.process_queue()

    def process_queue(self) -> None:
        """Answer what has been read ahead, until there is a request that must wait for its decision."""
        while self.queue and self.current_request is None and not self.closing and not self.writing_paused:
            request, self.keep_alive = self.queue.popleft()
            if isinstance(request, ImmediateResponse):
                self._write(request.status, request.header_lines, request.text.encode())
            else:
                self.current_request = request
                self.server.handle_request(request, functools.partial(self.reply, request))
        if (
            self.reading_paused
            and not self.closing
            and not self.discarding_input
            and len(self.queue) <= MAX_PIPELINED_REQUESTS
        ):
            self._resume_reading()

    def reply(self, request: Any, status: int, header_lines: bytes, body: bytes) -> None:
        """Write the final response to a request.

        A second one to the same request is dropped: the client would take it for the next request's.
        """
        if self.current_request is not request:
            return
        self.current_request = None
        # Found to be bad only by its decision: an id that another request has. Also a 400 of the backend's own.
        if status == 400:
            self.discarding_input = True
            self.keep_alive = False
        self._write(status, header_lines, body)
        if self.queue:  # not from here: this may be deep inside an event
            self.loop.call_soon(self.process_queue)

    def _write(self, status: int, header_lines: bytes, body: bytes) -> None:
        if self.transport is None or self.closing:
            return
        self.idle_since = self.loop.time()
        close = not self.keep_alive or self.server.draining
        if close:
            header_lines += b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, REASON_PHRASES.get(status, b"-"), header_lines, len(body), body)
        )
        if close:
            self.close()

    # The end of the connection.

    def close(self) -> None:
        """Close, once the responses have left.

        Closing with input unread would reset the connection and destroy responses on their way. So where the client
        still sends, only this side is closed, and input is discarded for a while.
        """
        if self.closing or self.transport is None:
            return
        self.closing = True
        if self.discarding_input or self.queue or self.has_unread_bytes():
            self._discard_input()
            with contextlib.suppress(RuntimeError):  # it has broken, and `connection_lost` has not been called yet
                self.transport.write_eof()
        else:
            self.transport.close()
        self._linger()

    def _linger(self) -> None:
        """Abort after a while, whether or not the client has closed its side."""
        self.last_progress_at = self.loop.time()
        self.loop.call_later(LINGER_S, self._end_linger, self.last_progress_at + LINGER_S)

    def _discard_input(self) -> None:
        """Read and discard from here on what the client sends."""
        if not self.discarding_input:
            self.discarding_input = True
            self.received_bytes = 0
        if self.reading_paused and self.transport is not None:
            self._resume_reading()

    def _end_linger(self, due: float) -> None:
        """Abort, whether or not the client has closed its side, but not while it reads its last response."""
        if self.disconnected or self.transport is None:
            return
        now = self.loop.time()
        if now > due + PROCESS_PAUSE_S:
            self.last_progress_at = now
        if self.transport.get_write_buffer_size() and not self.is_stalled(now):
            self.loop.call_later(LINGER_S, self._end_linger, now + LINGER_S)
        else:
            self.transport.abort()

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()

    # Time-outs.

    def check_timeouts(self, now: float) -> None:
        """End what takes too long: a first byte, the rest of a request, the next one, a client's reading."""
        if self.closing or self.transport is None:
            return
        limits = self.server.limits
        if self.reading_paused and self.has_client_left():  # an end that the transport does not read
            self.closing = True
            self.transport.abort()
        elif self.writing_paused:
            if self.is_stalled(now):
                self.closing = True
                self.transport.abort()
        elif self.request_started_at:
            late = now - self.request_started_at > limits.read_timeout_s
            if late and not self.discarding_input and not self.has_unread_bytes():
                self.reject(408, "the request did not come whole in time")
        else:
            allowed = limits.idle_timeout_s if self.has_sent_request else limits.read_timeout_s
            if now - self.idle_since > allowed and self.is_idle():
                self.close()

    def is_stalled(self, now: float) -> bool:
        """Note what the client has read; return whether it has read nothing of its responses for too long.

        Slow readers are served.
        """
        if self.transport is None:
            return False
        buffered = self.transport.get_write_buffer_size()
        unsent = buffered + self.unacknowledged_bytes()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.last_progress_at = now
        return buffered > 0 and now - self.last_progress_at > self.server.limits.read_timeout_s

    def is_idle(self) -> bool:
        """Return whether it is between requests with nothing unread; closing it can at most cross a request."""
        busy = self.current_request is not None or self.queue or self.request_started_at
        if busy or self.closing or self.transport is None:
            return False
        return not self.has_unread_bytes()

    def unacknowledged_bytes(self) -> int:
        """Return the bytes that wait in this kernel: megabytes, which a slow client reads for many seconds."""
        assert self.transport is not None
        return socket_state.unacknowledged_bytes(self.transport.get_extra_info("socket"))

    def has_client_left(self) -> bool:
        """Return whether the client has closed its side, whether or not this program has got round to reading that."""
        if self.disconnected or self.transport is None:
            return True
        sock = self.transport.get_extra_info("socket")
        return sock is not None and socket_state.has_peer_closed(sock)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have come that this program has not got round to reading."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        return sock is not None and socket_state.has_unread_bytes(sock)
