"""Buffer for one incoming HTTP/1.1 request, filled by the parser's callbacks within the client's limits."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import httptools

from thistleusher.core.request import BadRequest
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_HEAD_BYTES

READ_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 5.0


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


class RequestBuffer:
    """The incoming request of one connection, filled by the parser's callbacks.

    A callback that raises BadRequest(status, reason) stops the parser, which raises HttpParserError with that context.
    """

    def __init__(self, server: HasLimits) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self) -> None:
        """Clear the buffer for the next request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
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
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length" and int(value) > limits.max_body_bytes:
                raise BadRequest(413, f"a body holds at most {limits.max_body_bytes} bytes")
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                raise BadRequest(400, "transfer-encoding: expected chunked")
        if self.parser.should_upgrade():
            raise BadRequest(400, "no other protocol is spoken here")
        if len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers) > limits.max_head_bytes:
            raise BadRequest(431, "the head is too long")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if len(self.body) + len(data) > self.server.limits.max_body_bytes:
            raise BadRequest(413, f"a body holds at most {self.server.limits.max_body_bytes} bytes")
        self.body += data
