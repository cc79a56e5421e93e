"""A crowd: clients on loopback that send what no ordinary client sends, and come again when they are refused."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.crowds.deployment import HOST

PLAY_S = 5.0  # a member comes again until then
SEND_ON_INTERVAL_S = 0.2
SEND_ON_BYTES = 512
RETURN_DELAY_S = 0.02
CONNECT_TIMEOUT_S = 2.0

START = (
    f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n"
    "Authorization: Token key-1\r\n"
).encode()


def short_fields(count: int) -> bytes:
    """Return header lines of 8 bytes and a line end, all different."""
    return b"".join(b"%05x:41\r\n" % n for n in range(count))


def tiny_fields(count: int) -> bytes:
    """Return the shortest header lines that there are."""
    return b"a:\r\n" * count


def body_short_of_its_end(size: int) -> bytes:
    """Return a request whose body lacks its last byte."""
    return START + b"Content-Length: %d\r\n\r\n" % size + bytes(size - 1)


def chunks_short_of_their_end(size: int, chunk: int) -> bytes:
    """Return a request in chunks that lacks the last one."""
    one = b"%x\r\n%s\r\n" % (chunk, bytes(chunk))
    return START + b"Transfer-Encoding: chunked\r\n\r\n" + one * (size // chunk)


@dataclass
class Member:
    """What one connection sends: `begin`, and then `repeat` without end, or a few bytes now and then, or nothing."""

    begin: bytes
    repeat: bytes = b""
    sends_on: bool = False
    reads: bool = True


@dataclass
class Crowd:
    """Members at one address; `answers` counts the status lines that they got."""

    host: str
    port: int
    members: list[Member]
    answers: dict[bytes, int] = field(default_factory=dict)
    connections: int = 0

    async def play(self) -> None:
        """Play for `PLAY_S`, then close all connections."""
        tasks = [asyncio.create_task(self._come_again(member)) for member in self.members]
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _come_again(self, member: Member) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._visit(member)
            await asyncio.sleep(RETURN_DELAY_S)

    async def _visit(self, member: Member) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self.host, self.port)
        self.connections += 1
        sending = asyncio.create_task(self._send(member, writer))
        try:
            if not member.reads:
                await sending
            self._count(await reader.readline())
            while await reader.read(65536):
                pass
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.transport.abort()

    async def _send(self, member: Member, writer: asyncio.StreamWriter) -> None:
        writer.write(member.begin)
        await writer.drain()
        while member.repeat:
            writer.write(member.repeat)
            await writer.drain()
        while member.sends_on:
            await asyncio.sleep(SEND_ON_INTERVAL_S)
            writer.write(bytes(SEND_ON_BYTES))
            await writer.drain()
        if not member.reads:
            await asyncio.Event().wait()

    def _count(self, line: bytes) -> None:
        self.answers[line[9:12]] = self.answers.get(line[9:12], 0) + 1


async def play_beside(crowd: Crowd, ordinary: Callable[[], object]) -> None:
    """Play a crowd while an ordinary caller goes on calling."""
    calling = asyncio.create_task(_go_on(ordinary))
    await crowd.play()
    calling.cancel()
    await asyncio.gather(calling, return_exceptions=True)


async def _go_on(ordinary: Callable[[], object]) -> None:
    while True:
        await ordinary()  # type: ignore[misc]
        await asyncio.sleep(0.02)
