"""Calls to the platform over real sockets: each call ends whatever happens to its connection, and the next succeeds."""

import asyncio
import contextlib
import socket
import struct

import pytest
import uvloop

from standins.http import read_message
from thistleusher.registry.platform_client import PlatformClient

RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which closing resets the connection.
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class RestingPlatform:
    """Answers calls, and closes or resets their connections when `end` is called."""

    def __init__(self, resets):
        self.resets = resets
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(EOFError, ConnectionError):
            while True:
                await read_message(reader)
                writer.write(ANSWER)

    def end(self):
        for writer in self.writers:
            if self.resets:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort() if self.resets else writer.close()
        self.writers.clear()


async def calls_around_an_end(resets):
    """Return the statuses of one call before the idle connection ends, and of two calls after it."""
    platform = RestingPlatform(resets)
    client = PlatformClient(await platform.start())
    statuses = [(await client.get("/instances")).status]
    reader, _ = client.streams
    platform.end()
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(5):
            await reader.read()  # Wait until the client's side has seen the end of the connection.
    for _ in range(2):
        response = await client.get("/instances")
        statuses.append(response.status if response is not None else 0)
    client.disconnect()
    platform.server.close()
    return statuses


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_a_connection_that_ends_between_two_calls_is_replaced(resets):
    assert uvloop.run(calls_around_an_end(resets)) == [200, 200, 200]
