"""A small HTTP/1.1 server for stand-ins that can inject faulty answers. A connection serves one request at a time.

The limits are 64 KiB for a head and 1 MiB for a body; a larger or malformed message ends the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from typing import NamedTuple

MAX_HEAD, MAX_BODY = 64 * 1024, 1024 * 1024


class Message(NamedTuple):
    """A request or an answer: first line, headers with lower-case names, body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def target(self) -> str:
        """Return a request's target."""
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return an answer's status."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> Message:
    """Return the next complete message. Raises IncompleteReadError at the end, ValueError for a malformed message.

    `first`: bytes of the message that have been read already.
    """
    try:
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.LimitOverrunError as error:
        raise ValueError("message head is too long") from error
    line, *rest = head[:-4].split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in rest)}
    length = int(headers.get("content-length", "0"))
    if not 0 <= length <= MAX_BODY or len(line.split(" ")) < 3:
        raise ValueError(f"malformed message: {line[:80]!r}")
    return Message(line, headers, await reader.readexactly(length) if length else b"")


def answer(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """Encode an answer."""
    lines = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Connection:
    """One connection of a client to a service."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def reset(self) -> None:
        """Reset the connection; data that the client has not read yet is lost."""
        self.writer.transport.abort()

    def has_ended(self) -> bool:
        """Return whether the connection has ended."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


class Service:
    """A server on loopback; subclasses implement `handle`."""

    def __init__(self) -> None:
        self.host, self.port = "127.0.0.1", 0
        self.connections: set[Connection] = set()
        self.connections_opened = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address of the service, `host:port`."""
        return f"{self.host}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Start to listen. Raises OSError if the port is not available."""
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=MAX_HEAD)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, as if the process had been killed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def next_message(self, connection: Connection) -> Message:
        """Return the next request on a connection."""
        return await read_message(connection.reader)

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Return the answer, or None to end the connection."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        connection = Connection(reader, writer)
        self.connections.add(connection)
        self.connections_opened += 1
        try:
            while (reply := await self.handle(await self.next_message(connection), connection)) is not None:
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(connection)
            with contextlib.suppress(Exception):
                writer.close()
