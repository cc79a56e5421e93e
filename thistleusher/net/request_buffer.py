"""Buffer for one incoming HTTP/1.1 request, filled by the parser's callbacks within the client's limits."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

import httptools

from thistleusher.core.request import BadRequest
from thistleusher.net.head_memory import HeadReservation
from thistleusher.net.memory_budget import BodyTooLargeError, MemoryBudget, Reservation, Stage, release
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_HEAD_BYTES
from thistleusher.services.message_limits import FIELD_BYTES, MessageMeter

READ_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 5.0
# Allowance for the method, the version and the line ends, which do not count towards `max_head_bytes`.
START_LINE_BYTES = 256
# Upper bound of a head that is not reserved: a part of `connection_limits.CONNECTION_BYTES`.
UNCOUNTED_HEAD_MEMORY_BYTES = 4096
QUEUED_REQUEST_BYTES = 4096  # Estimated memory of a request read ahead, in addition to its head and body.

_NO_PARSER = httptools.HttpRequestParser(object())  # Of connections whose requests are not read any more.


class BodyRejectedError(BadRequest):
    """There is no memory for a request now."""


class ClientLimits(NamedTuple):
    """Size limits and time-outs of a client's connection.

    `read_timeout_s` bounds the wait for the first byte, for the rest of a request, and for progress when the client
    reads its responses. `idle_timeout_s` bounds the wait for the next request on a connection.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    read_timeout_s: float = READ_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class RequestMemory(NamedTuple):
    """The reservations of a request that has come whole, held until it is answered."""

    body: Reservation | None = None
    head: Reservation | None = None

    def release(self) -> None:
        """Hold nothing any more."""
        release(self.body)
        release(self.head)


class HasLimits(Protocol):
    """Holder of the limits of its connections; they may change while a connection is open."""

    limits: ClientLimits
    budget: MemoryBudget | None
    body_stage: Stage
    # The buffers with an incomplete request whose head takes more than `UNCOUNTED_HEAD_MEMORY_BYTES`, oldest first.
    incomplete_requests: dict[RequestBuffer, None]


class RequestBuffer:
    """The incoming request of one connection, filled by the parser's callbacks.

    A callback that raises BadRequest(status, reason) stops the parser, which raises HttpParserError with that context.
    """

    def __init__(self, server: HasLimits) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.meter = MessageMeter(server.limits.max_head_bytes + START_LINE_BYTES, max_fields=None)
        self.reservation: Reservation | None = None  # Memory of the incoming body, if there is a budget.
        self.head_reservation: HeadReservation | None = None  # Memory of a large head, or of trailers.
        self.reset()

    def reset(self) -> None:
        """Clear the buffer for the next request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.in_head = True
        self.head_memory = 0  # Bytes that the complete head takes in memory.
        self.meter.max_head_bytes = self.server.limits.max_head_bytes + START_LINE_BYTES

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url
        if len(self.url) > self.server.limits.max_head_bytes:
            raise BadRequest(431, "the head is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailer fields after a chunked body are dropped."""
        self.meter.count_field()
        if self.in_head:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Reject a request whose head is invalid, before its body is received.

        The parser itself rejects a request with both Content-Length and Transfer-Encoding, with two lengths, or with a
        length that is not a plain number.
        """
        self.in_head = False
        limits = self.server.limits
        length: int | None = 0  # None: unknown
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length":
                length = int(value)
                if length > limits.max_body_bytes:
                    raise BadRequest(413, f"a body holds at most {limits.max_body_bytes} bytes")
            elif key == b"transfer-encoding":
                if value.lower() != b"chunked":
                    raise BadRequest(400, "transfer-encoding: expected chunked")
                length = None
        if self.parser.should_upgrade():
            raise BadRequest(400, "no other protocol is spoken here")
        # Bytes on the wire without line ends and blanks: whoever counts more is within the limit too.
        head_bytes = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
        if head_bytes + len(self.headers) > limits.max_head_bytes:
            raise BadRequest(431, "the head is too long")
        self.head_memory = head_bytes + FIELD_BYTES * len(self.headers)
        self.account_for_head(self.head_memory)
        if length != 0 and self.server.budget is not None:
            self.reservation = Reservation(self.server.budget, self.server.body_stage, self.on_memory_granted)
            if length is not None:
                self._reserve(partial(self.reservation.ask, length))

    def on_memory_granted(self) -> None:
        """Read on: the body that has waited for memory is granted it."""

    def on_memory_awaited(self) -> None:
        """Read no further until the body is granted memory, and not longer than it may wait."""

    def _reserve(self, ask: Callable[[], object]) -> None:
        """Call a method of the reservation that asks for memory, and wait if it has to wait from now on.

        Raise BodyRejectedError if there never can be enough.
        """
        assert self.reservation is not None
        was_waiting = self.reservation.is_waiting
        try:
            ask()
        except BodyTooLargeError as error:
            raise BodyRejectedError from error
        if self.reservation.is_waiting and not was_waiting:
            self.on_memory_awaited()

    def _account_for_body(self) -> None:
        """Reserve memory for a body that is longer than what is reserved."""
        assert self.reservation is not None
        size = len(self.body)
        self._reserve(partial(self.reservation.grow, size))
        if not self.reservation.cover(size):
            raise BodyRejectedError

    def account_for_head(self, size: int) -> None:
        """Reserve memory for what is kept of a request apart from its body. Raise BodyRejectedError without room."""
        if size <= UNCOUNTED_HEAD_MEMORY_BYTES or self.server.budget is None:
            return
        if self.head_reservation is None:
            self.head_reservation = HeadReservation(self.server.budget, self.server.body_stage)
        self.server.incomplete_requests.setdefault(self)
        while not self.head_reservation.cover(size):
            if not self._refuse_an_older_request():
                raise BodyRejectedError

    def _refuse_an_older_request(self) -> bool:
        """Make room for this head at the cost of the one that has been incomplete for longest, if there is another."""
        oldest = next((each for each in self.server.incomplete_requests if each is not self), None)
        if oldest is None:
            return False
        oldest.reject_for_memory()
        return True

    def reject_for_memory(self) -> None:
        """Reject the incoming request, for which there is no memory; it was not read whole, so it has not run."""
        self.forget_request()

    def account_for_read_ahead(self) -> None:
        """Reserve memory for a request that has to wait for the one before; a single read may hold thousands of them.

        Raise BodyRejectedError if there is none.
        """
        if self.server.budget is None:
            return
        self.account_for_head(self.head_memory + QUEUED_REQUEST_BYTES)

    def take_memory(self) -> RequestMemory:
        """Return the reservations of a request that has come whole, for its end to release; keep nothing of it."""
        memory = RequestMemory(self.reservation, self.head_reservation)
        if memory.body is not None:
            memory.body.resize(len(self.body))
        self.reservation = self.head_reservation = None
        self.server.incomplete_requests.pop(self, None)
        # The request has them now; held here too, they would last until the next request.
        self.body = bytearray()
        self.headers = []
        self.url = b""
        return memory

    def forget_request(self) -> None:
        """Keep nothing of the incoming request, in the parser neither, and read no more requests."""
        self.server.incomplete_requests.pop(self, None)
        self.parser = _NO_PARSER
        self.url = b""
        self.headers = []
        self.body = bytearray()
        release(self.reservation)
        release(self.head_reservation)
        self.reservation = self.head_reservation = None

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.meter.count_body(len(data))
        if len(self.body) + len(data) > self.server.limits.max_body_bytes:
            raise BadRequest(413, f"a body holds at most {self.server.limits.max_body_bytes} bytes")
        self.body += data
        if self.reservation is not None and len(self.body) > self.reservation.held:
            self._account_for_body()
