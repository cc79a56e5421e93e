"""Parsing of HTTP/1.1 responses from backends, the counter and the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from thistleusher.services.message_limits import MessageLimitError, MessageMeter

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # of a request
MAX_RESPONSE_HEAD_BYTES = 64 * 1024  # of a response, with its interim responses; its trailers may take as much again
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")  # headers that determine where the body ends

UNCOUNTED_BODY_BYTES = 16 * 1024  # Upper bound of a body that is not reserved; a connection holds one.
UNCOUNTED_HEAD_BYTES = 4096  # The same for the memory of a head.


class BodyReservation(Protocol):
    """The memory of one body (`net.memory_budget.Reservation`)."""

    held: int

    @property
    def is_waiting(self) -> bool:
        """Whether it waits to be granted what it asked for."""

    def ask(self, size: int) -> bool:
        """Ask to hold `size` bytes in all; return whether that is granted. Raise if it never could be."""

    def grow(self, size: int) -> None:
        """Ask for a body of unknown length that has grown to `size` bytes. Raise if it never could be granted."""

    def cover(self, size: int) -> bool:
        """Account for `size` bytes that are in memory already. Return False if there is no room for them."""

    def resize(self, size: int) -> None:
        """Hold exactly `size` bytes, and wait for nothing."""

    def release(self) -> None:
        """Hold nothing any more."""


def joined_reservation(
    body: BodyReservation | None, head: BodyReservation | None, body_bytes: int
) -> BodyReservation | None:
    """Return one reservation for a response that has come whole, for its owner to release; None if it needs none."""
    head_bytes = head.held if head is not None else 0
    if body is None:
        body = head
    elif head is not None:
        head.release()
    if body is not None:
        body.resize(body_bytes + head_bytes)
    return body


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes | bytearray
    keep_alive: bool  # the connection may carry another request
    reservation: BodyReservation | None = None  # the memory of the body

    def release(self) -> None:
        """Release the memory of the body, which is not needed any more."""
        if self.reservation is not None:
            self.reservation.release()


class InvalidResponseError(Exception):
    """The received data is not a valid HTTP response, or exceeds the size limits."""


class ResponseReader:
    """Incremental parser of responses. A response that is delimited only by the end of the connection is an error.

    Invalid data may follow a valid response in the same bytes. The valid response is returned first; `error` then holds
    the reason why nothing more can be read from this connection.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        reserve: Callable[[], BodyReservation] | None = None,
        reserve_head: Callable[[], BodyReservation] | None = None,
    ) -> None:
        """`reserve` and `reserve_head` return a reservation for a body and a head; None if memory is not limited."""
        self.parser = httptools.HttpResponseParser(self)
        self.max_body_bytes = max_body_bytes
        self.reserve = reserve
        self.reserve_head = reserve_head
        self.reservation: BodyReservation | None = None  # Memory of the incoming body.
        self.head_reservation: BodyReservation | None = None  # Memory of a large head, or of trailers.
        self.headers: dict[bytes, bytes] = {}
        self.in_trailers = False
        self.body = bytearray()
        self.responses: list[Response] = []
        self.error = ""
        self.partial = False  # whether a response has begun and is not complete
        self.meter = MessageMeter(MAX_RESPONSE_HEAD_BYTES)

    def feed(self, data: bytes) -> list[Response]:
        """Parse more bytes and return the responses that they complete."""
        if not self.error:
            try:
                self.meter.feed(self.parser, data)
                if self.partial and self.reserve_head is not None:
                    self._account_for_head(self.reserve_head)
            except MessageLimitError as error:
                self._end(f"response with {error}")
            except InvalidResponseError as error:
                self._end(str(error))
            except httptools.HttpParserError as error:
                self._end(str(error.__context__ or error))
        responses = self.responses
        self.responses = []
        return responses

    def _end(self, reason: str) -> None:
        """Read no further, and keep nothing of an incomplete response."""
        self.error = reason
        self.headers = {}
        self.drop_body()

    @property
    def is_waiting(self) -> bool:
        """Whether the incoming body waits for memory: no more of it is to be read."""
        return self.reservation is not None and self.reservation.is_waiting

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self.headers = {}
        self.in_trailers = False
        self.drop_body()
        self.partial = True

    def drop_body(self) -> None:
        """Drop the incoming body, and the reservations of the response."""
        self.body = bytearray()
        for reservation in (self.reservation, self.head_reservation):
            if reservation is not None:
                reservation.release()
        self.reservation = self.head_reservation = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; raises InvalidResponseError if a framing header occurs twice.

        A trailer field is dropped: it may not take the place of a header, and nothing reads it.
        """
        self.meter.count_field()
        if self.in_trailers:
            return
        key = name.lower()
        if key in FRAMING_HEADERS and key in self.headers:
            raise InvalidResponseError(f"duplicate header {key.decode()}")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check that the head determines where the body ends; otherwise the body could be read as another response.

        Raises InvalidResponseError.
        """
        self.in_trailers = True
        if self.parser.get_status_code() < 200:
            return
        length, coding = (self.headers.get(key) for key in FRAMING_HEADERS)
        if (length is None) == (coding is None):
            raise InvalidResponseError("expected exactly one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise InvalidResponseError("transfer-encoding: expected chunked")
        if length is not None and int(length) > self.max_body_bytes:
            raise InvalidResponseError(f"body is larger than {self.max_body_bytes} bytes")
        if length is not None and int(length) > UNCOUNTED_BODY_BYTES and self.reserve is not None:
            self.reservation = self.reserve()
            self.reservation.ask(int(length))

    def _account_for_head(self, reserve: Callable[[], BodyReservation]) -> None:
        """Reserve memory for what is kept of a response apart from its body."""
        size = self.meter.kept_bytes
        if size <= UNCOUNTED_HEAD_BYTES:
            return
        if self.head_reservation is None:
            self.head_reservation = reserve()
        if not self.head_reservation.cover(size):
            raise InvalidResponseError("no memory for the head")

    def _account_for_body(self, reserve: Callable[[], BodyReservation]) -> None:
        """Reserve memory for a body that is longer than what is reserved."""
        if self.reservation is None:
            self.reservation = reserve()
        self.reservation.grow(len(self.body))
        if not self.reservation.cover(len(self.body)):
            raise InvalidResponseError("no memory for the body")

    def on_body(self, data: bytes) -> None:
        """Append to the body; raises InvalidResponseError if it exceeds the limit."""
        self.meter.count_body(len(data))
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidResponseError(f"body is larger than {self.max_body_bytes} bytes")
        self.body += data
        reserved = UNCOUNTED_BODY_BYTES if self.reservation is None else self.reservation.held
        if self.reserve is not None and len(self.body) > reserved:
            self._account_for_body(self.reserve)

    def on_message_complete(self) -> None:
        """Add the complete response to those to return; interim (1xx) responses are dropped."""
        self.partial = False
        status = self.parser.get_status_code()
        if status < 200:
            self.meter.count_interim_response()
            return
        self.meter.end_message()
        body = self.body
        self.body = bytearray()  # held here too, it would last until the connection's next response
        keep_alive = self.parser.should_keep_alive()
        reservation = joined_reservation(self.reservation, self.head_reservation, len(body))
        self.reservation = self.head_reservation = None
        self.responses.append(Response(status, self.headers, body, keep_alive, reservation))
