"""Calls to the platform: one connection, one call at a time, each with an end."""

from __future__ import annotations

import asyncio
import socket

from thistleusher.net.socket_state import enable_dead_peer_detection
from thistleusher.services.addresses import Address
from thistleusher.services.http_responses import Response, ResponseReader

CALL_S = 1.0
MOST = 4 * 1024 * 1024


class Platform:
    """The platform's address and the connection to it, if one is open."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> Response | None:
        """The whole answer; None where none came within `CALL_S`."""
        try:
            async with asyncio.timeout(CALL_S):
                return await self._get(target)
        except (OSError, TimeoutError, EOFError):
            self.drop()
            return None
        except asyncio.CancelledError:
            self.drop()  # its answer would be the next call's
            raise

    async def _get(self, target: str) -> Response:
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address)
            sock = self.streams[1].get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_dead_peer_detection(sock, CALL_S)
        reader, writer = self.streams
        writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target.encode("latin-1"), self.address[0].encode()))
        parser = ResponseReader(MOST)
        while True:
            data = await reader.read(65536)
            if not data:
                raise EOFError
            answers = parser.feed(data)
            if parser.error:
                raise EOFError
            if answers:
                if not answers[0].keep_alive or len(answers) > 1 or parser.partial:
                    self.drop()
                return answers[0]

    def drop(self) -> None:
        """Close the connection; the next call opens one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
