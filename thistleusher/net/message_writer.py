"""Writes HTTP messages to transports without copying large bodies."""

from __future__ import annotations

import asyncio
import http

MAX_JOINED_BYTES = 64 * 1024  # larger bodies are written without a copy


REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def response_head(status: int, header_lines: bytes, body_bytes: int) -> bytes:
    """Return the head of a response; `header_lines`: complete lines of its other headers."""
    phrase = REASON_PHRASES.get(status, b"-")
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (status, phrase, header_lines, body_bytes)


def write_message(transport: asyncio.Transport, head: bytes | memoryview, body: bytes | bytearray) -> None:
    """Write a head and the body behind it, which may be empty."""
    if len(body) > MAX_JOINED_BYTES:
        transport.writelines([head, body])
    else:
        transport.write(b"".join((head, body)))
