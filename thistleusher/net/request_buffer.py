"""Buffer for one incoming HTTP/1.1 request, filled by the parser's callbacks within the client's limits."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import httptools

from thistleusher.core.request import BadRequest
from thistleusher.net.memory_budget import BodyTooLargeError, MemoryBudget, Reservation, Stage
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_HEAD_BYTES

READ_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 5.0
GROWTH_BYTES = 64 * 1024  # steps in which a body of unknown length is reserved
NO_MEMORY = (503, "no memory for this body now")  # status and reason; the request was not read, so it has not run


class ClientLimits(NamedTuple):
    """Size limits and time-outs of a client's connection.

    `read_timeout_s` bounds the wait for the first byte, for the rest of a request, and for progress when the client
    reads its responses. `idle_timeout_s` bounds the wait for the next request on a connection.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    read_timeout_s: float = READ_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class HasLimits(Protocol):
    """Holder of the limits of its connections; they may change while a connection is open."""

    limits: ClientLimits
    budget: MemoryBudget | None
    body_stage: Stage


class RequestBuffer:
    """The incoming request of one connection, filled by the parser's callbacks.

    A callback that raises BadRequest(status, reason) stops the parser, which raises HttpParserError with that context.
    """

    def __init__(self, server: HasLimits) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.reservation: Reservation | None = None  # of the incoming body, if there is a budget
        self.reset()

    def reset(self) -> None:
        """Clear the buffer for the next request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.read_ahead_bytes = 0  # memory of the request besides its body, if it was read ahead
        self.received_bytes = 0  # size of a head received in several reads; then size of discarded input
        self.in_head = True
        self.is_first_read = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url
        if len(self.url) > self.server.limits.max_head_bytes:
            raise BadRequest(431, "the head is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailer fields after a chunked body are dropped."""
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
        if len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers) > limits.max_head_bytes:
            raise BadRequest(431, "the head is too long")
        if length != 0 and self.server.budget is not None:
            self.reservation = Reservation(self.server.budget, self.server.body_stage, self.on_memory_granted)
            if length is not None:
                self._ask_for_memory(length)

    def on_memory_granted(self) -> None:
        """Read on: the body that has waited for memory is granted it."""

    def on_memory_awaited(self) -> None:
        """Read no further until the body is granted memory, and not longer than it may wait."""

    def _ask_for_memory(self, size: int) -> None:
        """Reserve memory for `size` bytes of the body; raise BadRequest if they can never be held."""
        assert self.reservation is not None
        try:
            if not self.reservation.ask(size):
                self.on_memory_awaited()
        except BodyTooLargeError as error:
            raise BadRequest(*NO_MEMORY) from error

    def _account_for_body(self) -> None:
        """Reserve memory for a body that is longer than what is reserved."""
        reservation = self.reservation
        assert reservation is not None
        size = len(self.body)
        if not reservation.is_waiting and size <= self.server.limits.max_body_bytes:
            self._ask_for_memory(-(-size // GROWTH_BYTES) * GROWTH_BYTES)
        if size > reservation.held and not reservation.cover(size):
            raise BadRequest(*NO_MEMORY)

    def take_reservation(self) -> Reservation | None:
        """Return the reservation of a body that has come whole, for its request to release."""
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            reservation.settle(len(self.body) + self.read_ahead_bytes)
        return reservation

    def drop_body(self) -> None:
        """Drop a body that is not needed any more, and its reservation."""
        self.body = bytearray()
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if len(self.body) + len(data) > self.server.limits.max_body_bytes:
            raise BadRequest(413, f"a body holds at most {self.server.limits.max_body_bytes} bytes")
        self.body += data
        if self.reservation is not None and len(self.body) > self.reservation.held:
            self._account_for_body()
