"""Reading from a socket in turns: what one peer sends takes a bounded part of the event loop's time and memory.

An event loop hands a protocol a read of up to 256 KiB, and reads a fast peer's socket dozens of times before it looks
at another one. A `FairReads` protocol takes at most `READ_BYTES` at a time. If there is more, it goes on after the
other sockets have had their turn; meanwhile the kernel holds the rest, and so the peer back.
"""

from __future__ import annotations

import asyncio

READ_BYTES = 64 * 1024

# Filled by a read and passed on before the next one, on any connection.
_read_buffer = memoryview(bytearray(READ_BYTES))


class FairReads(asyncio.BufferedProtocol):
    """Base of protocols whose `data_received` gets at most `READ_BYTES` in a turn of the event loop."""

    transport: asyncio.Transport | None
    loop: asyncio.AbstractEventLoop

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def wants_data(self) -> bool:
        """Return whether the connection is open and the protocol itself has not paused reading."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a read on. If it may not have been all, let the other sockets have their turn first."""
        self.data_received(bytes(_read_buffer[:nbytes]))
        if nbytes == READ_BYTES and self.transport is not None and self.wants_data():
            self.transport.pause_reading()
            self.loop.call_soon(self._take_next_turn)

    def _take_next_turn(self) -> None:
        if self.transport is not None and self.wants_data():
            self.transport.resume_reading()
