"""Parsing of HTTP/1.1 responses from backends, the counter and the platform."""

from __future__ import annotations

from typing import NamedTuple

import httptools

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")  # headers that determine where the body ends


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes | bytearray
    keep_alive: bool  # the connection may carry another request


class InvalidResponseError(Exception):
    """The received data is not a valid HTTP response, or exceeds the size limits."""


class ResponseReader:
    """Incremental parser of responses. A response that is delimited only by the end of the connection is an error.

    Invalid data may follow a valid response in the same bytes. The valid response is returned first; `error` then holds
    the reason why nothing more can be read from this connection.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.max_body_bytes = max_body_bytes
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.responses: list[Response] = []
        self.error = ""
        self.partial = False  # whether a response has begun and is not complete
        self.bytes_read = 0  # bytes since the last complete response

    def feed(self, data: bytes) -> list[Response]:
        """Parse more bytes and return the responses that they complete."""
        if not self.error:
            self.bytes_read += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.error = str(error.__context__ or error)
            if self.bytes_read > 2 * self.max_body_bytes + MAX_HEAD_BYTES:
                # The parser buffers an endless head in memory.
                self.error = self.error or "response too long"
        responses = self.responses
        self.responses = []
        return responses

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self.headers = {}
        self.body = bytearray()
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; raises InvalidResponseError if a framing header occurs twice."""
        key = name.lower()
        if key in FRAMING_HEADERS and key in self.headers:
            raise InvalidResponseError(f"duplicate header {key.decode()}")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check that the head determines where the body ends; otherwise the body could be read as another response.

        Raises InvalidResponseError.
        """
        if self.parser.get_status_code() < 200:
            return
        length, coding = (self.headers.get(key) for key in FRAMING_HEADERS)
        if (length is None) == (coding is None):
            raise InvalidResponseError("expected exactly one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise InvalidResponseError("transfer-encoding: expected chunked")
        if length is not None and int(length) > self.max_body_bytes:
            raise InvalidResponseError(f"body is larger than {self.max_body_bytes} bytes")

    def on_body(self, data: bytes) -> None:
        """Append to the body; raises InvalidResponseError if it exceeds the limit."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidResponseError(f"body is larger than {self.max_body_bytes} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        """Add the complete response to those to return; interim (1xx) responses are dropped."""
        self.partial = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.bytes_read = 0
        body = self.body
        self.body = bytearray()  # held here too, it would last until the connection's next response
        self.responses.append(Response(status, self.headers, body, self.parser.should_keep_alive()))
