"""The discovery client: watches the endpoint list for as long as the process runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import httptools

from thistleusher.net.backend_list import BackendList, parse_backend_list_text
from thistleusher.services.addresses import Address
from thistleusher.services.fair_reads import FairReads
from thistleusher.services.http_responses import MAX_RESPONSE_HEAD_BYTES
from thistleusher.services.message_limits import MessageLimitError, MessageMeter

log = logging.getLogger(__name__)

# Discovery sends an empty line every 2 s, and 6 s after a change it assumes that every client knows the change. A watch
# that receives nothing for this long is reopened, well before that.
RECEIVE_TIMEOUT_S = 3.2
RETRY_DELAY_S = 0.2  # delay before a failed or ended watch is reopened
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8 * 1024 * 1024


class DiscoveryConnection(FairReads):
    """One connection to discovery: reads the complete list first if no version is known, then a watch of its changes.

    Changes are JSON objects, one per line. `ended` is set to the reason once the connection is no longer usable.
    """

    def __init__(self, on_message: Callable[[bytes], int], address: Address, version: int | None) -> None:
        """`on_message` applies a message and returns its version; it raises ValueError for an invalid one."""
        self.on_message = on_message
        self.address = address
        self.version = version
        self.parser = httptools.HttpResponseParser(self)
        self.meter = MessageMeter(MAX_RESPONSE_HEAD_BYTES)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at = self.loop.time()
        self.ended: asyncio.Future[str] = self.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it
        self._request()

    def _request(self) -> None:
        """Request the complete list, or a watch of the changes since the known version."""
        assert self.transport is not None
        query = b"" if self.version is None else b"?stream=1&index=%d" % self.version
        host, port = self.address
        self.transport.write(b"GET /v1/servers%s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (query, host.encode(), port))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed HTTP ends the connection."""
        if self.ended.done():
            return
        self.last_received_at = self.loop.time()
        try:
            self.meter.feed(self.parser, data)
        except MessageLimitError as error:
            self.end(f"response with {error}")
        except httptools.HttpParserError as error:
            self.end(str(error.__context__ or error))

    def wants_data(self) -> bool:
        """Return whether the connection is still usable."""
        return not self.ended.done()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header or trailer field; none is needed."""
        self.meter.count_field()

    def on_headers_complete(self) -> None:
        """End the connection on any status other than 200."""
        if self.parser.get_status_code() != 200:
            self.end(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Process the complete lines of a watch; buffer a complete list until its response ends."""
        self.meter.count_body(len(data))
        if self.ended.done():
            return
        if len(self.buffer) + len(data) > MAX_LINE_BYTES:
            self.buffer = bytearray()
            self.end(f"message longer than {MAX_LINE_BYTES} bytes")
            return
        self.buffer += data
        if self.version is not None and b"\n" in data:  # split once a line, which may come in many pieces
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = bytearray(rest)
            for line in lines:
                self._apply_message(bytes(line))

    def _apply_message(self, text: bytes) -> None:
        """Apply one message; an empty line is a keep-alive."""
        if text.strip() and not self.ended.done():
            try:
                self.version = self.on_message(text)
            except ValueError as error:  # the list stays unchanged; the next watch starts from the last valid version
                self.end(f"invalid message: {error}")

    def on_message_complete(self) -> None:
        """Apply the complete list, and start a watch of the changes since its version."""
        self.meter.end_message()
        if self.version is not None:
            self.end("watch ended by discovery")
            return
        text = bytes(self.buffer)
        self.buffer = bytearray()
        self._apply_message(text)
        if self.version is None:
            self.end("response without an endpoint list")
        else:
            self._request()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection with the transport's error, if any."""
        self.end(f"connection lost: {exc}" if exc else "connection closed")

    def end(self, reason: str) -> None:
        """Record why the connection ended; only the first reason counts."""
        if not self.ended.done():
            self.ended.set_result(reason)


class DiscoverySource:
    """Watches the endpoint list at one address, starting from the last version that was applied."""

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
        """Watch the list; reopen the watch after `RETRY_DELAY_S` whenever it ends, fails or times out."""
        while True:
            try:
                reason = await self._watch(DiscoveryConnection(self._on_message, self.address, self.version))
            except (OSError, TimeoutError) as error:
                reason = f"connect: {error!r}"
            except Exception:  # any fault must lead to a new watch: otherwise the list would never be updated again
                log.exception("discovery: the watch failed")
                reason = "internal error"
            log.info("discovery: %s", reason)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _watch(self, connection: DiscoveryConnection) -> str:
        """Run one connection until it ends or times out, and return the reason."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, _ = await self.loop.create_connection(lambda: connection, *self.address)
        try:
            while (left_s := connection.last_received_at + RECEIVE_TIMEOUT_S - self.loop.time()) > 0:
                done, _ = await asyncio.wait([connection.ended], timeout=left_s)
                if done:
                    return connection.ended.result()
            return f"nothing received for {RECEIVE_TIMEOUT_S:g} s"
        finally:
            connection.end("watch abandoned")
            transport.abort()

    def _on_message(self, text: bytes) -> int:
        backends = parse_backend_list_text(text)
        self.on_list(self, backends)
        self.version = backends.version  # set after the list was applied, so that a failed message is requested again
        return backends.version


class DiscoveryClient:
    """Passes on the lists of the active discovery source.

    After a move to another address, the new source's version numbers need not continue the old ones. So the complete
    list is requested from the new source, which becomes active once the list has arrived. Until then the old source
    stays active.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, version: int, on_list: Callable[[BackendList], None]
    ) -> None:
        self.loop = loop
        self.on_list = on_list
        self.active_source = DiscoverySource(loop, address, version, self.on_source_list)
        self.latest_source = self.active_source

    def move(self, address: Address) -> None:
        """Switch to discovery at another address once it has sent the complete list."""
        if address == self.latest_source.address:
            return
        if self.latest_source is not self.active_source:
            self.latest_source.task.cancel()
        self.latest_source = DiscoverySource(self.loop, address, None, self.on_source_list)

    def on_source_list(self, source: DiscoverySource, backends: BackendList) -> None:
        """Pass on a list, unless its source has been replaced. The newest source becomes active with its first list."""
        if source is self.latest_source:
            if source is not self.active_source:
                self.active_source.task.cancel()
                self.active_source = source
        elif source is not self.active_source:
            return
        self.on_list(backends)

    def close(self) -> None:
        """Stop all watches."""
        self.active_source.task.cancel()
        self.latest_source.task.cancel()
