"""Discovery: the list of backends, followed for ever."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import httptools

from thistleusher.core.events import BackendEntry, Phase
from thistleusher.net.client_call import Address, read_address
from thistleusher.net.upstream import Endpoint

log = logging.getLogger(__name__)

SILENCE_S = 3.2  # an empty line comes every 2 s; what is not heard counts as told 6 s later all the same
RETRY_S = 0.2
CONNECT_S = 1.0
MAX_LINE = 8 * 1024 * 1024
PHASES = {"SERVING": Phase.RUNNING, "DRAINING": Phase.STOPPING, "DELETED": Phase.DELETED}


class Listing(NamedTuple):
    """The list of backends, or a change to it."""

    version: int
    whole: bool
    entries: tuple[tuple[BackendEntry, Endpoint | None], ...]


def read_listing(message: Any) -> Listing:
    """A message of discovery's; ValueError for anything else."""
    try:
        whole = message["snapshot"]
        if not isinstance(whole, bool):
            raise ValueError(f"snapshot: {whole!r}")
        return Listing(int(message["index"]), whole, tuple(_entry(e) for e in message["endpoints"]))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of backends: {error!r}") from error


def read_listing_text(text: bytes) -> Listing:
    """The same out of a line; ValueError for anything else, also for one that is nested without end."""
    try:
        return read_listing(json.loads(text))
    except RecursionError as error:
        raise ValueError("not a list of backends: nested too deeply") from error


def _entry(e: Any) -> tuple[BackendEntry, Endpoint | None]:
    name, status, born = e["name"], e["status"], float(e.get("since_ms") or 0) / 1000
    weight = float(e.get("weight", 1.0))
    if not isinstance(name, str) or not name or not math.isfinite(born) or not math.isfinite(weight):
        raise ValueError(f"not a backend: {e!r}")
    if status not in PHASES:
        raise ValueError(f"status: {status!r}")
    phase = PHASES[status]
    # A deleted one needs no address any more.
    endpoint = None if phase is Phase.DELETED else Endpoint(read_address(e["address"]), born)
    return BackendEntry(
        name, phase, weight, str(e.get("type", "")), int(e.get("group") or 0), born, str(e.get("zone", ""))
    ), endpoint


class Watch(asyncio.Protocol):
    """One connection: the whole list first where no version is known, then the changes, an object a line."""

    def __init__(self, on_text: Callable[[bytes], int], host: Address, index: int | None) -> None:
        self.on_text, self.host, self.index = on_text, host, index
        self.parser = httptools.HttpResponseParser(self)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.rest = bytearray()
        self.heard = self.loop.time()
        self.ended: asyncio.Future[str] = self.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.ask()

    def ask(self) -> None:
        assert self.transport is not None
        what = b"" if self.index is None else b"?stream=1&index=%d" % self.index
        self.transport.write(
            b"GET /v1/servers%s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (what, self.host[0].encode(), self.host[1])
        )

    def data_received(self, data: bytes) -> None:
        if self.ended.done():
            return
        self.heard = self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.end(str(error.__context__ or error))

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.end(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        self.rest += data
        if self.index is not None:
            *lines, rest = self.rest.split(b"\n")
            self.rest = bytearray(rest)
            for line in lines:
                self.take(bytes(line))
        if len(self.rest) > MAX_LINE:
            self.end("a line without end")

    def take(self, text: bytes) -> None:
        """One message."""
        if text.strip() and not self.ended.done():
            try:
                self.index = self.on_text(text)
            except ValueError as error:  # the list stands; what follows it is asked for anew
                self.end(f"a garbled line: {error}")

    def on_message_complete(self) -> None:
        if self.index is not None:
            self.end("the watch ended")
            return
        text, self.rest = bytes(self.rest), bytearray()
        self.take(text)
        if self.index is None:
            self.end("no list")
        else:
            self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended: {exc}" if exc else "the connection ended")

    def end(self, why: str) -> None:
        if not self.ended.done():
            self.ended.set_result(why)


class Source:
    """Keeps a watch on one address going, from the last version that was taken in."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        index: int | None,
        on_listing: Callable[[Source, Listing], None],
    ) -> None:
        self.loop, self.address, self.index, self.on_listing = loop, address, index, on_listing
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        """Watch, and when that ends or falls silent, watch again."""
        while True:
            try:
                why = await self.follow(Watch(self.text, self.address, self.index))
            except (OSError, TimeoutError) as error:
                why = f"connect: {error!r}"
            except Exception:  # whatever it was, the list must not stay as it is for ever
                log.exception("discovery")
                why = "a fault"
            log.info("discovery: %s", why)
            await asyncio.sleep(RETRY_S)

    async def follow(self, watch: Watch) -> str:
        """Keep a watch going; returns why it came to its end."""
        async with asyncio.timeout(CONNECT_S):
            transport, _ = await self.loop.create_connection(lambda: watch, *self.address)
        try:
            while (left := watch.heard + SILENCE_S - self.loop.time()) > 0:
                done, _ = await asyncio.wait([watch.ended], timeout=left)
                if done:
                    return watch.ended.result()
            return f"silent for {SILENCE_S:g} s"
        finally:
            watch.end("given up")
            transport.abort()

    def text(self, text: bytes) -> int:
        listing = read_listing_text(text)
        self.on_listing(self, listing)
        self.index = listing.version  # only now: what failed to be taken in is asked for again
        return listing.version


class Discovery:
    """Hands on what the present source says.

    A new source says nothing of what went before at the old one, and its versions need not go on from there:
    it is asked for the whole list, and takes over with it. Until then the old one stays.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, index: int, on_listing: Callable[[Listing], None]
    ) -> None:
        self.loop, self.on_listing = loop, on_listing
        self.source = self.newest = Source(loop, address, index, self.listed)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on."""
        if address == self.newest.address:
            return
        if self.newest is not self.source:
            self.newest.task.cancel()
        self.newest = Source(self.loop, address, None, self.listed)

    def listed(self, source: Source, listing: Listing) -> None:
        if source is self.newest:
            if source is not self.source:
                self.source.task.cancel()
                self.source = source
        elif source is not self.source:
            return
        self.on_listing(listing)

    def close(self) -> None:
        self.source.task.cancel()
        self.newest.task.cancel()
