"""Load for a program that is measured: some connections, each of which asks as soon as it has been answered."""

from __future__ import annotations

import asyncio
from typing import Any

import httptools

HOST = "127.0.0.1"
CONNECTIONS = 8
CONNECT_ATTEMPTS = 1000
CONNECT_PAUSE_S = 0.02


class LoadConnection(asyncio.Protocol):
    """One connection that sends its requests one after the other; `done` fails where it ends before the last answer."""

    def __init__(self, requests: list[bytes], done: asyncio.Future[None], statuses: dict[int, int]) -> None:
        """`statuses` counts the answers by their status."""
        self._requests = requests
        self._done = done
        self._statuses = statuses
        self._sent = 0
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: Any) -> None:
        """Send the first request."""
        self._transport = transport
        self._send_next()

    def _send_next(self) -> None:
        if self._sent == len(self._requests):
            if not self._done.done():
                self._done.set_result(None)
            return
        self._transport.write(self._requests[self._sent])
        self._sent += 1

    def data_received(self, data: bytes) -> None:
        """Read a part of an answer."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Count an answer, and send the next request."""
        status = self._parser.get_status_code()
        self._statuses[status] = self._statuses.get(status, 0) + 1
        self._send_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail unless all requests were answered."""
        if not self._done.done():
            self._done.set_exception(ConnectionError(f"ended after {self._sent} requests"))


async def send_all(host: str, port: int, requests: list[list[bytes]]) -> dict[int, int]:
    """Send each list of requests on a connection of its own.

    Return the number of answers by status. Raises ConnectionError where a connection ends.
    """
    loop = asyncio.get_running_loop()
    statuses: dict[int, int] = {}
    waits: list[asyncio.Future[None]] = []
    transports = []
    for each in requests:
        done: asyncio.Future[None] = loop.create_future()
        waits.append(done)
        connection = LoadConnection(each, done, statuses)
        transport, _ = await loop.create_connection(lambda c=connection: c, host, port)  # type: ignore[misc]
        transports.append(transport)
    await asyncio.gather(*waits)
    for transport in transports:
        transport.close()
    return statuses


async def wait_for_port(port: int) -> None:
    """Wait until something listens on a port. Raises TimeoutError where nothing ever does."""
    for _ in range(CONNECT_ATTEMPTS):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
        else:
            writer.close()
            return
    raise TimeoutError(f"nothing listens on {port}")
