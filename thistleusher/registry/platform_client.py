"""HTTP client for the platform: one connection, one call at a time, each with a time-out.

Guarantee: a call ends within `CALL_TIMEOUT_S` with a response or None, whatever happens to its connection. The caller
relies on this, as it starts no other call before that.
"""

from __future__ import annotations

import asyncio
import socket

from thistleusher.common.events import Event, log_event
from thistleusher.net.socket_state import enable_dead_peer_detection
from thistleusher.services.addresses import Address
from thistleusher.services.http_responses import Response, ResponseReader

CALL_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536


class PlatformClient:
    """The platform's address and the connection to it, if one is open."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> Response | None:
        """Return the complete response, or None if none arrived within `CALL_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._get(target)
        except (OSError, TimeoutError, EOFError):
            self.disconnect()
            return None
        except Exception as error:  # An internal error must not leave the caller without a result.
            self.disconnect()
            log_event(Event.FAULT, "a call to the platform", repr(error))
            return None
        except asyncio.CancelledError:
            self.disconnect()  # Otherwise the late response would be read as that of the next call.
            raise

    async def _get(self, target: str) -> Response:
        reader, writer = await self._connect()
        writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target.encode("latin-1"), self.address[0].encode()))
        parser = ResponseReader(MAX_RESPONSE_BYTES)
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                raise EOFError
            responses = parser.feed(data)
            if parser.error:
                raise EOFError
            if responses:
                if not responses[0].keep_alive or len(responses) > 1 or parser.partial:
                    self.disconnect()
                return responses[0]

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the streams of the open connection; open a new one if it has ended since the last call."""
        if self.streams is not None and self._has_ended(*self.streams):
            self.disconnect()
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address)
            sock = self.streams[1].get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_dead_peer_detection(sock, CALL_TIMEOUT_S)
        return self.streams

    @staticmethod
    def _has_ended(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Return whether the platform has closed or reset the connection; uvloop raises RuntimeError if it is used."""
        return writer.is_closing() or reader.at_eof()

    def disconnect(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
