"""The client of discovery: follows the list of backends as long as the process runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import httptools

from thistleusher.net.backend_list import BackendList, parse_backend_list_text
from thistleusher.services.addresses import Address

log = logging.getLogger(__name__)

SILENCE_S = 3.2  # an empty line comes every 2 s; discovery takes what was not heard as known 6 s later all the same
RETRY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8 * 1024 * 1024


class DiscoveryConnection(asyncio.Protocol):
    """One connection: the whole list first if no version is known, then the changes, one object a line.

    `ended` is set to the reason once nothing more can be read here.
    """

    def __init__(self, on_text: Callable[[bytes], int], address: Address, version: int | None) -> None:
        """`on_text` takes a message in and returns its version, or raises ValueError."""
        self.on_text = on_text
        self.address = address
        self.version = version
        self.parser = httptools.HttpResponseParser(self)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_heard = self.loop.time()
        self.ended: asyncio.Future[str] = self.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self._request()

    def _request(self) -> None:
        """Ask for the whole list, or for the changes since the version that is known."""
        assert self.transport is not None
        query = b"" if self.version is None else b"?stream=1&index=%d" % self.version
        host, port = self.address
        self.transport.write(b"GET /v1/servers%s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (query, host.encode(), port))

    def data_received(self, data: bytes) -> None:
        """Parse."""
        if self.ended.done():
            return
        self.last_heard = self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.end(str(error.__context__ or error))

    def on_headers_complete(self) -> None:
        """End on any status but 200."""
        if self.parser.get_status_code() != 200:
            self.end(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Take the complete lines of a watch; a whole list is taken once its response is complete."""
        self.buffer += data
        if self.version is not None:
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = bytearray(rest)
            for line in lines:
                self._take(bytes(line))
        if len(self.buffer) > MAX_LINE_BYTES:
            self.end("a line without end")

    def _take(self, text: bytes) -> None:
        """Pass on one message; an empty line is a keep-alive."""
        if text.strip() and not self.ended.done():
            try:
                self.version = self.on_text(text)
            except ValueError as error:  # the list stays as it is; what follows it is asked for again
                self.end(f"a garbled line: {error}")

    def on_message_complete(self) -> None:
        """Take the whole list, and watch for changes from its version on."""
        if self.version is not None:
            self.end("the watch ended")
            return
        text = bytes(self.buffer)
        self.buffer = bytearray()
        self._take(text)
        if self.version is None:
            self.end("no list")
        else:
            self._request()

    def connection_lost(self, exc: Exception | None) -> None:
        """End."""
        self.end(f"the connection ended: {exc}" if exc else "the connection ended")

    def end(self, reason: str) -> None:
        """Set the reason; only the first one counts."""
        if not self.ended.done():
            self.ended.set_result(reason)


class DiscoverySource:
    """Keeps watching one address, from the last version that was taken in."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        version: int | None,
        on_list: Callable[[DiscoverySource, BackendList], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.version = version
        self.on_list = on_list
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        """Watch, and when that ends or falls silent, watch again."""
        while True:
            try:
                reason = await self._watch(DiscoveryConnection(self._on_text, self.address, self.version))
            except (OSError, TimeoutError) as error:
                reason = f"connect: {error!r}"
            except Exception:  # whatever it was, the list must not stay as it is for ever
                log.exception("discovery")
                reason = "a fault"
            log.info("discovery: %s", reason)
            await asyncio.sleep(RETRY_S)

    async def _watch(self, connection: DiscoveryConnection) -> str:
        """Keep one connection, and return why it ended."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, _ = await self.loop.create_connection(lambda: connection, *self.address)
        try:
            while (left_s := connection.last_heard + SILENCE_S - self.loop.time()) > 0:
                done, _ = await asyncio.wait([connection.ended], timeout=left_s)
                if done:
                    return connection.ended.result()
            return f"silent for {SILENCE_S:g} s"
        finally:
            connection.end("given up")
            transport.abort()

    def _on_text(self, text: bytes) -> int:
        backends = parse_backend_list_text(text)
        self.on_list(self, backends)
        self.version = backends.version  # only now: what failed to be taken in is asked for again
        return backends.version


class DiscoveryClient:
    """Passes on what the present source says.

    A new source knows nothing of what the old one sent, and its versions need not go on from there: it is asked for
    the whole list, and takes over with it. Until then the old one stays.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, version: int, on_list: Callable[[BackendList], None]
    ) -> None:
        self.loop = loop
        self.on_list = on_list
        self.source = DiscoverySource(loop, address, version, self.on_source_list)
        self.newest = self.source

    def move(self, address: Address) -> None:
        """Follow discovery to another address."""
        if address == self.newest.address:
            return
        if self.newest is not self.source:
            self.newest.task.cancel()
        self.newest = DiscoverySource(self.loop, address, None, self.on_source_list)

    def on_source_list(self, source: DiscoverySource, backends: BackendList) -> None:
        """Pass a list on, unless it comes from a source that has been replaced."""
        if source is self.newest:
            if source is not self.source:
                self.source.task.cancel()
                self.source = source
        elif source is not self.source:
            return
        self.on_list(backends)

    def close(self) -> None:
        """Stop following."""
        self.source.task.cancel()
        self.newest.task.cancel()
