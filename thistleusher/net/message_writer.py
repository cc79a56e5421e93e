"""Writes HTTP messages to transports without copying large bodies."""

from __future__ import annotations

import asyncio

MAX_JOINED_BYTES = 64 * 1024  # larger bodies are written without a copy


def write_message(transport: asyncio.Transport, head: bytes | memoryview, body: bytes | bytearray) -> None:
    """Write a head and the body behind it, which may be empty."""
    if len(body) > MAX_JOINED_BYTES:
        transport.writelines([head, body])
    else:
        transport.write(b"".join((head, body)))
