"""HTTP/1.1 responses as the peers of this process send them: backends, the counter, the platform."""

from __future__ import annotations

from typing import NamedTuple

import httptools

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class Response(NamedTuple):
    """A complete response; the names of its headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # the connection may carry another request


class InvalidResponseError(Exception):
    """What came is no HTTP response, or a larger one than is taken."""


class ResponseReader:
    """Collects complete responses. One that only the end of its connection would end is never complete.

    What a peer sends may be spoilt at any point, also right behind a response that is good: complete responses are
    returned first, and `error` then says why nothing more can be read here.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.max_body_bytes = max_body_bytes
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.responses: list[Response] = []
        self.error = ""
        self.partial = False  # a response has begun and is not complete
        self.bytes_read = 0  # since the last complete response

    def feed(self, data: bytes) -> list[Response]:
        """Take bytes in, and return the responses that are complete with them."""
        if not self.error:
            self.bytes_read += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.error = str(error.__context__ or error)
            if self.bytes_read > 2 * self.max_body_bytes + MAX_HEAD_BYTES:
                # A head without end is kept in the parser's memory.
                self.error = self.error or "the answer is too long"
        responses = self.responses
        self.responses = []
        return responses

    def on_message_begin(self) -> None:
        """Get ready for a new response."""
        self.headers = {}
        self.body = bytearray()
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header. InvalidResponseError for a second one that says where the body ends."""
        key = name.lower()
        if key in FRAMING_HEADERS and key in self.headers:
            raise InvalidResponseError(f"{key.decode()}: more than one")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check that the head says how long the response is, else its end could be taken for another's.

        Raises InvalidResponseError.
        """
        if self.parser.get_status_code() < 200:
            return
        length, coding = (self.headers.get(key) for key in FRAMING_HEADERS)
        if (length is None) == (coding is None):
            raise InvalidResponseError("expected one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise InvalidResponseError("transfer-encoding: expected chunked")
        if length is not None and int(length) > self.max_body_bytes:
            raise InvalidResponseError(f"a body of over {self.max_body_bytes} bytes")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body. InvalidResponseError beyond the limit."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidResponseError(f"a body of over {self.max_body_bytes} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        """Add the complete response to those that are returned; an interim one is dropped."""
        self.partial = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.bytes_read = 0
        response = Response(status, self.headers, bytes(self.body), self.parser.should_keep_alive())
        self.responses.append(response)
