"""Connections to backends: one exchange at a time, with detection of stale and broken connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from thistleusher.core.events import Outcome
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.head_guard import HeadGuard
from thistleusher.net.memory_budget import MemoryBudget, Reservation, ReservationGroup, Stage
from thistleusher.net.message_writer import write_message
from thistleusher.services.fair_reads import FairReads
from thistleusher.services.http_responses import MAX_BODY_BYTES, Response, ResponseReader

log = logging.getLogger(__name__)

# A connection is not reused after it has been idle for this fraction of the backend's idle time-out.
MAX_IDLE_FRACTION = 0.5
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
REJECTED_STATUSES = (503, 504)  # with the header X-Rejected: 1, the backend states that it has not run the request


class UpstreamOptions(NamedTuple):
    """Protocol options of the backend connections of a deployment. The defaults are those of the daemon."""

    max_body_bytes: int = MAX_BODY_BYTES
    request_id_header: bytes = b""  # response header that names its request; empty if responses do not name it
    peer_timeout_s: float = 0.0  # TCP user time-out without an acknowledgement; 0: the kernel's default
    outcome_of: Callable[[Response], Outcome] | None = None  # classifies a response; None: `outcome_of` below
    budget: MemoryBudget | None = None  # memory of the bodies; None: not limited
    # Called with the backend and the reason when an answer is cut off because it is none.
    on_invalid_answer: Callable[[str, str], None] | None = None


DEFAULT_OPTIONS = UpstreamOptions()


class ConnectionOwner(Protocol):
    """The part of a connection pool that its connections use."""

    backend: str
    loop: asyncio.AbstractEventLoop
    guard: HeadGuard
    options: UpstreamOptions
    memory_group: ReservationGroup | None
    read_count: int

    @property
    def reopen(self) -> Callable[[BackendExchange], None]:
        """The function that sends an exchange on a new connection."""

    def put_back(self, connection: BackendConnection) -> None:
        """Add a connection to the idle ones, for the next exchange."""

    def forget(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""


class BackendConnection(FairReads):
    """One connection to a backend. It carries one exchange at a time."""

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        self.pool = pool
        self.loop = pool.loop
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        has_budget = pool.options.budget is not None
        self.reader = ResponseReader(
            pool.options.max_body_bytes,
            self._reserve if has_budget else None,
            self._reserve_head if has_budget else None,
        )
        self.reading_paused = False  # Whether the response waits for memory.
        self.exchange: BackendExchange | None = None
        self.idle_since = 0.0
        self.idle_timeout_s = float("inf")  # the backend's idle time-out, from its Keep-Alive header
        self.closed = False
        self.has_carried_request = False
        self.has_received_stray_response = False  # a response that matches no request on this connection
        self.stall_timer: asyncio.TimerHandle | None = None
        self.head_end_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it

    def _reserve(self) -> Reservation:
        assert self.pool.options.budget is not None
        return Reservation(self.pool.options.budget, Stage.RESPONSE, self._read_on, self.pool.memory_group)

    def _reserve_head(self) -> Reservation:
        """Return a reservation outside the backend's group, in which a response's own body would wait for it."""
        assert self.pool.options.budget is not None
        return Reservation(self.pool.options.budget, Stage.RESPONSE, bool)

    def _read_on(self) -> None:
        """Read the rest of a response that is granted memory."""
        if self.reading_paused and not self.closed and self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()
            self._await_more()

    def _await_more(self) -> None:
        """Fail the response if it receives no further byte for the stall time-out."""
        if self.exchange is not None and (stall_s := self.exchange.stall_timeout()):
            self.stall_timer = self.pool.loop.call_later(stall_s, self._response_stalled)

    def is_stale(self) -> bool:
        """Return whether the backend has closed the connection or has sent bytes that are not read yet."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def is_within_idle_limit(self, now: float) -> bool:
        """Return whether the idle time is well below the backend's own idle time-out."""
        return now - self.idle_since < MAX_IDLE_FRACTION * self.idle_timeout_s

    def send(self, exchange: BackendExchange) -> None:
        """Write the request. Once its head is complete the request may run, so a break then counts as a reset.

        A backend may run and answer a request before it has read the body, so a body that is not sent completely
        proves nothing. Of a guarded request, the blank line that ends the head is written later, with the body.
        """
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        message = exchange.message()
        if exchange.guarded:
            held_from = message.index(HEAD_END) + len(LINE_END)
            self.transport.write(message[:held_from])
            held_back = memoryview(message)[held_from:]
            self.head_end_timer = self.pool.loop.call_later(
                self.pool.guard.head_end_delay(), self._complete_head, held_back, exchange.body()
            )
        else:
            exchange.may_have_run = True
            write_message(self.transport, message, exchange.body())

    def _complete_head(self, held_back: memoryview, body: bytes | bytearray) -> None:
        """Write the rest of a guarded request, unless the connection has ended or the request is no longer needed."""
        exchange = self.exchange
        self.head_end_timer = None  # it would keep the body
        assert self.transport is not None
        assert exchange is not None
        if self.is_stale():
            self._fail("connection closed before the request's head was complete")
        elif not exchange.can_send():
            self.drop()
            exchange.end(Outcome.MOOT)
        else:
            exchange.may_have_run = True
            write_message(self.transport, held_back, body)

    def data_received(self, data: bytes) -> None:
        """Parse a read; only its first response can be the response to the exchange.

        The connection is reused only after the entire read has been checked: surplus bytes after the response, such as
        a duplicate or noise, would otherwise be taken for the response to the next request.
        """
        self.pool.read_count += 1
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.exchange is None:
            self.drop()
            return
        if not self.exchange.may_have_run:
            # No backend can answer a request whose head is not complete, so these bytes belong to no request.
            self._fail("response received before the request's head was complete")
            return
        responses = self.reader.feed(data)
        own = self._own(responses)
        for response in responses:
            if not own or response is not own[0]:
                response.release()
        if own:
            is_unusable = self.has_received_stray_response or self.reader.partial or self.reader.error
            self._finish(own[0], reusable=len(own) == 1 and not is_unusable)
        else:
            self._go_on_reading(responses)

    def wants_data(self) -> bool:
        """Return whether the connection is open and reading is not paused."""
        return not self.closed and not self.reading_paused

    def take_work(self) -> int:
        """Return the number of parts of responses that were read since the last call."""
        return self.reader.meter.take_parts()

    def _own(self, responses: list[Response]) -> list[Response]:
        """Return the responses to the exchange; a surplus response may arrive before the expected one."""
        id_header = self.pool.options.request_id_header
        if not id_header or self.exchange is None:
            return responses
        own = [r for r in responses if r.headers.get(id_header) == self.exchange.request_id]
        self.has_received_stray_response = self.has_received_stray_response or len(own) < len(responses)
        return own

    def _go_on_reading(self, others: list[Response]) -> None:
        """Wait for the response to the exchange, unless it cannot come any more; `others` came in its place."""
        id_header = self.pool.options.request_id_header
        if self.reader.error:
            if self.pool.options.on_invalid_answer is not None:
                self.pool.options.on_invalid_answer(self.pool.backend, self.reader.error)
            self._fail(self.reader.error)
        elif any(id_header not in response.headers for response in others):
            self._fail("response without a request id header")
        elif self.reader.is_waiting:
            assert self.transport is not None
            self.reading_paused = True
            self.transport.pause_reading()
        elif self.reader.partial:
            self._await_more()

    def _finish(self, response: Response, *, reusable: bool) -> None:
        """End the exchange with its response. A reusable connection is returned to the pool first."""
        exchange = self.exchange
        assert exchange is not None
        assert self.transport is not None
        self.exchange = None
        exchange.connection = None
        is_request_sent = not self.transport.get_write_buffer_size()  # An unsent body would stay in memory.
        if reusable and response.keep_alive and not self.closed and is_request_sent:
            self.has_carried_request = True
            self.idle_timeout_s = read_idle_timeout(response)
            self.pool.put_back(self)
        else:
            self.drop()
        exchange.end((self.pool.options.outcome_of or outcome_of)(response), response)

    def _response_stalled(self) -> None:
        """Fail a response that is stalled. Unread bytes mean that this process stalled instead: wait once more."""
        stall_s = self.exchange.stall_timeout() if self.exchange is not None else 0.0
        if self.is_stale() and not self.closed and stall_s:
            self.stall_timer = self.pool.loop.call_later(stall_s, self._response_stalled)
        elif stall_s:
            self._fail("response stalled before its end")

    def _fail(self, reason: str) -> None:
        """Drop a connection that can deliver no response; its exchange is resent, or a RESET if it may have run."""
        exchange = self.exchange
        self.drop()
        if exchange is None:
            return
        log.debug("backend %s: %s", self.pool.backend, reason)
        self.pool.guard.record_broken_connection(self.pool.loop.time())
        if exchange.may_have_run:
            exchange.end(Outcome.RESET)
        elif self.has_carried_request:
            # The head was not complete, so the request has not run and this does not count as an attempt. It is sent
            # again on a new connection; there this branch does not apply, so it is resent at most once.
            exchange.connection = None
            self.pool.reopen(exchange)
        else:
            exchange.end(Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        """Close at once: the kernel sends the FIN before this process writes to any other connection."""
        if self.closed:
            return
        self.closed = True
        self.exchange = None
        self.reader.drop_body()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.head_end_timer is not None:
            self.head_end_timer.cancel()
            self.head_end_timer = None
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("backend %s: shutdown: %s", self.pool.backend, error)
        if self.transport is not None:
            self.transport.abort()
        self.pool.forget(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._fail("connection lost")


def read_idle_timeout(response: Response) -> float:
    """Return the backend's idle time-out in seconds, from its `Keep-Alive` header; inf without one."""
    for part in response.headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return float("inf")


def outcome_of(response: Response) -> Outcome:
    """Return the outcome of an attempt that got this response; only status 200 counts as served."""
    if response.status == 200:
        return Outcome.OK
    if response.status in REJECTED_STATUSES and response.headers.get(b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR
