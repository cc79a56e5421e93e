"""Closed-loop load generator: each connection sends its next request as soon as it has a response."""

from __future__ import annotations

import asyncio
from typing import Any

import httptools

HOST = "127.0.0.1"
CONNECTIONS = 8
CONNECT_ATTEMPTS = 1000
CONNECT_PAUSE_S = 0.02


class LoadConnection(asyncio.Protocol):
    """A connection that sends its requests one after another.

    `done` fails with ConnectionError if the connection ends before the last response.
    """

    def __init__(self, requests: list[bytes], done: asyncio.Future[None], statuses: dict[int, int]) -> None:
        """Prepare the connection; it counts its responses by status in `statuses`."""
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
        """Parse received bytes of a response."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Count the response and send the next request."""
        status = self._parser.get_status_code()
        self._statuses[status] = self._statuses.get(status, 0) + 1
        self._send_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail `done` unless all requests have been answered."""
        if not self._done.done():
            self._done.set_exception(ConnectionError(f"connection closed after {self._sent} requests"))


async def send_all(host: str, port: int, requests: list[list[bytes]]) -> dict[int, int]:
    """Send each list of requests on its own connection, and return the number of responses by status.

    Raises ConnectionError if a connection ends before its last response.
    """
    loop = asyncio.get_running_loop()
    statuses: dict[int, int] = {}
    completions: list[asyncio.Future[None]] = []
    transports = []
    for batch in requests:
        done: asyncio.Future[None] = loop.create_future()
        completions.append(done)
        connection = LoadConnection(batch, done, statuses)
        transport, _ = await loop.create_connection(lambda c=connection: c, host, port)  # type: ignore[misc]
        transports.append(transport)
    await asyncio.gather(*completions)
    for transport in transports:
        transport.close()
    return statuses


async def wait_for_port(port: int) -> None:
    """Wait until a connection to the port succeeds.

    Raises TimeoutError after `CONNECT_ATTEMPTS` attempts, `CONNECT_PAUSE_S` seconds apart.
    """
    for _ in range(CONNECT_ATTEMPTS):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
        else:
            writer.close()
            return
    raise TimeoutError(f"no connection to port {port} after {CONNECT_ATTEMPTS} attempts")
