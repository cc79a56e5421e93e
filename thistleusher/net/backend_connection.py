"""A connection to a backend: one exchange at a time, with every way in which it may break."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from thistleusher.core.events import Outcome
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.last_byte_guard import LastByteGuard
from thistleusher.services.http_responses import MAX_BODY_BYTES, Response, ResponseReader

log = logging.getLogger(__name__)

TRUSTED_IDLE_SHARE = 0.5  # of the backends' own idle time-out, after which a connection is no longer used
REJECTED_STATUSES = (503, 504)  # with X-Rejected: 1, a backend's statement that the request has not run


class UpstreamOptions(NamedTuple):
    """What is agreed with the backends of a deployment; the defaults are those of the program in service."""

    max_body_bytes: int = MAX_BODY_BYTES
    request_id_header: bytes = b""  # in which a response names its request, if it does
    peer_timeout_s: float = 0.0  # without an acknowledgement, after which a connection ends; 0: the kernel's own time
    outcome_of: Callable[[Response], Outcome] | None = None  # None: as `outcome_of` below


DEFAULT_OPTIONS = UpstreamOptions()


class ConnectionOwner(Protocol):
    """What a connection asks of its pool."""

    backend: str
    loop: asyncio.AbstractEventLoop
    guard: LastByteGuard
    options: UpstreamOptions
    read_count: int

    @property
    def reopen(self) -> Callable[[BackendExchange], None]:
        """The call that sends an exchange on a new connection."""

    def put_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next exchange."""

    def forget(self, connection: BackendConnection) -> None:
        """Remove a connection that was closed."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one exchange at a time."""

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader(pool.options.max_body_bytes)
        self.exchange: BackendExchange | None = None
        self.idle_since = 0.0
        self.idle_timeout_s = float("inf")  # between requests, as the backend has said in a response
        self.closed = False
        self.has_carried_request = False
        self.has_brought_stray_response = False  # one that belongs to no request here
        self.stall_timer: asyncio.TimerHandle | None = None
        self.last_byte_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop

    def is_stale(self) -> bool:
        """Return whether the backend has closed it, or has sent what was not read yet."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def is_trusted(self, now: float) -> bool:
        """Return whether the backend is still far from closing it as idle."""
        return now - self.idle_since < TRUSTED_IDLE_SHARE * self.idle_timeout_s

    def send(self, exchange: BackendExchange) -> None:
        """Write the request. From its last byte on a broken connection counts as a reset: the request may have run."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        message = exchange.message()
        if exchange.guarded:
            self.transport.write(message[:-1])
            hold_time = self.pool.guard.hold_time()
            self.last_byte_timer = self.pool.loop.call_later(hold_time, self._send_last_byte, message[-1:])
        else:
            exchange.written = True
            self.transport.write(message)

    def _send_last_byte(self, last_byte: bytes) -> None:
        """Write a guarded request's last byte, unless the connection has ended or nobody wants it any more."""
        exchange = self.exchange
        assert self.transport is not None
        assert exchange is not None
        if self.is_stale():
            self._fail("it ended before the request's last byte")
        elif not exchange.can_send():
            self.drop()
            exchange.end(Outcome.MOOT)
        else:
            exchange.written = True
            self.transport.write(last_byte)

    def data_received(self, data: bytes) -> None:
        """Take only the first response of a read for the exchange's.

        The connection is used again only once the whole read has been looked at: what came behind the response,
        a copy of it or noise, would be taken for the response to whatever is sent next.
        """
        self.pool.read_count += 1
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.exchange is None:
            self.drop()
            return
        if not self.exchange.written:
            self._fail("a response before the request's last byte")
            return
        responses = self.reader.feed(data)
        id_header = self.pool.options.request_id_header
        own = responses
        if id_header:  # a surplus response may come in the place of the one that is waited for
            own = [r for r in responses if r.headers.get(id_header) == self.exchange.request_id]
            self.has_brought_stray_response = self.has_brought_stray_response or len(own) < len(responses)
        if own:
            spoilt = self.has_brought_stray_response or self.reader.partial or self.reader.error
            self._finish(own[0], reusable=len(own) == 1 and not spoilt)
        elif self.reader.error:
            self._fail(self.reader.error)
        elif any(id_header not in response.headers for response in responses):
            self._fail("a response that names no request")
        elif self.reader.partial and (stall_s := self.exchange.stall_timeout()):
            self.stall_timer = self.pool.loop.call_later(stall_s, self._response_stalled)

    def _finish(self, response: Response, *, reusable: bool) -> None:
        """End the exchange with its response; the connection goes back to the pool first, if it can be used again."""
        exchange = self.exchange
        assert exchange is not None
        self.exchange = None
        exchange.connection = None
        if reusable and response.keep_alive and not self.closed:
            self.has_carried_request = True
            self.idle_timeout_s = read_idle_timeout(response)
            self.pool.put_back(self)
        else:
            self.drop()
        exchange.end((self.pool.options.outcome_of or outcome_of)(response), response)

    def _response_stalled(self) -> None:
        """Stop waiting for a response that stops midway; unread bytes mean that it was this process that stopped."""
        stall_s = self.exchange.stall_timeout() if self.exchange is not None else 0.0
        if self.is_stale() and not self.closed and stall_s:
            self.stall_timer = self.pool.loop.call_later(stall_s, self._response_stalled)
        elif stall_s:
            self._fail("the response stops midway")

    def _fail(self, reason: str) -> None:
        """Drop the connection, from which no response can be had any more; the request may have run."""
        exchange = self.exchange
        self.drop()
        if exchange is None:
            return
        log.debug("backend %s: %s", self.pool.backend, reason)
        self.pool.guard.connection_broke(self.pool.loop.time())
        if exchange.written:
            exchange.end(Outcome.RESET)
        elif self.has_carried_request:
            # The request was never whole, so this is no attempt yet: it goes out on a new connection, for which this
            # does not hold again.
            exchange.connection = None
            self.pool.reopen(exchange)
        else:
            exchange.end(Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        """Close it at once: the kernel sends its end before anything else is written anywhere."""
        if self.closed:
            return
        self.closed = True
        self.exchange = None
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.last_byte_timer is not None:
            self.last_byte_timer.cancel()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("backend %s: shutdown: %s", self.pool.backend, error)
        if self.transport is not None:
            self.transport.abort()
        self.pool.forget(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that it carries."""
        self._fail("the connection ended")


def read_idle_timeout(response: Response) -> float:
    """Return for how many seconds the backend keeps an idle connection, by its `Keep-Alive` header; inf without one."""
    for part in response.headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return float("inf")


def outcome_of(response: Response) -> Outcome:
    """Return what a response says of the attempt; only a complete 200 is served."""
    if response.status == 200:
        return Outcome.OK
    if response.status in REJECTED_STATUSES and response.headers.get(b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR
