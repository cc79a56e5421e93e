"""Client of the counter service; each add gets exactly one outcome before its time-out."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.services.addresses import Address
from thistleusher.services.counter_channel import CounterChannel
from thistleusher.services.counter_connection import PendingAdd

CHANNELS = 4  # a malformed or stuck response delays only one channel's calls; the counter accepts 32 connections
MAX_LIFETIME_MS = 60_000  # maximum time for which the counter keeps a name


class CounterClient:
    """Client of one counter. All calls for one name go over one channel, so that they keep their order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout: float,
        on_reply: Callable[[events.CounterReply], None],
        time: Callable[[], float] | None = None,
    ) -> None:
        """Open the channels; `timeout` in seconds; `time`: clock that measures the calls, by default the loop's."""
        self.loop = loop
        self.address = address
        self.timeout = timeout
        self.on_reply = on_reply
        self.time = time or loop.time
        self.pending: dict[int, deque[PendingAdd]] = {}  # by name, calls not passed to `on_reply` yet
        self.channels = [CounterChannel(self) for _ in range(CHANNELS)]

    def move(self, address: Address) -> None:
        """Switch to another address of the counter; the old connections are used until the new ones are open."""
        if address != self.address:
            self.address = address
            for channel in self.channels:
                channel.reconnect.set()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a name, which expires after `lifetime` seconds if it is new."""
        now = self.loop.time()
        lifetime_ms = max(1, min(MAX_LIFETIME_MS, round(lifetime * 1000)))
        request = (
            f"POST /v2/numbers/{name}?delta={amount:.6f}&life_ms={lifetime_ms} HTTP/1.1\r\n"
            f"Host: {self.address[0]}:{self.address[1]}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        add = PendingAdd(name, request, self.time(), now + self.timeout)
        self.pending.setdefault(name, deque()).append(add)
        self.channels[name % CHANNELS].call(add)

    def report(self, add: PendingAdd, outcome: Outcome, total: float = 0.0) -> None:
        """Record the outcome of a call; only the first outcome counts.

        Outcomes for one name are passed to `on_reply` in the order of the calls, even if an old and a new connection
        carry calls at the same time: the decision module matches outcomes to calls by this order.
        """
        if add.reply is not None:
            return
        add.reply = events.CounterReply(add.name, outcome, self.time() - add.started_at, total)
        calls = self.pending[add.name]
        while calls and (reply := calls[0].reply) is not None:
            calls.popleft()
            self.on_reply(reply)
        if not calls and self.pending.get(add.name) is calls:
            del self.pending[add.name]

    def close(self) -> None:
        """Close all connections; calls that have been written but not answered are reported as timed out."""
        for channel in self.channels:
            channel.close()
