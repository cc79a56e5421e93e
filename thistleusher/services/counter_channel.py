"""A channel to the counter service: one current connection, replaced when it fails; calls keep their order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from thistleusher.core.events import Outcome
from thistleusher.services.addresses import Address
from thistleusher.services.counter_connection import CounterConnection, PendingAdd

log = logging.getLogger(__name__)

STUCK_TIMEOUT_S = 1.0  # a connection with pending calls is replaced after this time without data from the counter
RECONNECT_DELAY_S = 0.1  # delay before the next attempt to connect
CONNECT_TIMEOUT_S = 0.5


class ChannelOwner(Protocol):
    """What a channel needs of its client."""

    loop: asyncio.AbstractEventLoop
    address: Address

    @property
    def report(self) -> Callable[..., Any]:
        """The callback `report(add, outcome, total)` for the outcome of an add; only the first outcome counts."""


class CounterChannel:
    """Keeps one connection to the counter's current address; calls wait while there is no connection."""

    def __init__(self, client: ChannelOwner) -> None:
        self.client = client
        self.loop = client.loop
        self.report = client.report
        self.connection: CounterConnection | None = None
        self.unsent: deque[PendingAdd] = deque()
        self.unreported: deque[PendingAdd] = deque()  # calls without an outcome, oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.reconnect = asyncio.Event()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Connect, and reconnect whenever the connection is lost or the counter's address changes."""
        while True:
            address = self.client.address
            connection = CounterConnection(self)
            started_at = self.loop.time()
            self.reconnect.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self.loop.create_connection(self._factory(connection), *address)
            except (OSError, TimeoutError) as error:
                log.debug("counter: connect failed: %r", error)
            except Exception:  # keep reconnecting after any error, or calls would wait for a connection forever
                log.exception("counter")
            else:
                await self.reconnect.wait()
                # Reconnect without delay if the connection has served calls or was only closed for being idle.
                lasted_s = self.loop.time() - started_at
                if connection.has_served or lasted_s > STUCK_TIMEOUT_S or self.client.address != address:
                    continue
            await asyncio.sleep(RECONNECT_DELAY_S)

    @staticmethod
    def _factory(connection: CounterConnection) -> Callable[[], CounterConnection]:
        return lambda: connection

    def connection_ready(self, connection: CounterConnection) -> None:
        """Switch to a new connection, send the waiting calls over it, and retire the old one."""
        old = self.connection
        self.connection = connection
        waiting = [add for add in self.unsent if add.reply is None]
        self.unsent.clear()
        for add in waiting:
            connection.write(add)
        if old is not None:
            old.retire()

    def connection_ended(self, connection: CounterConnection) -> None:
        """Open another connection if this was the current one."""
        if self.connection is connection:
            self.connection = None
            self.reconnect.set()

    def call(self, add: PendingAdd) -> None:
        """Write a call, or queue it until there is a connection or its deadline passes."""
        self.unreported.append(add)
        if self.connection is None:
            self.unsent.append(add)
        else:
            self.connection.write(add)
        self._arm_timer()

    def _arm_timer(self) -> None:
        """Set the timer to the deadline of the oldest call without an outcome."""
        while self.unreported and self.unreported[0].reply is not None:
            self.unreported.popleft()
        if self.timer is None and self.unreported:
            self.timer = self.loop.call_at(self.unreported[0].due_at, self._expire)

    def _expire(self) -> None:
        """Report the calls whose deadline has passed; only those never written are known not to have been added."""
        self.timer = None
        now = self.loop.time()
        connection = self.connection
        late = [add for add in self.unreported if add.reply is None and add.due_at <= now]
        unsent = {add for add in late if add in self.unsent}
        for add in unsent:
            self.unsent.remove(add)
        if connection is not None and connection.pending and now - connection.last_received_at > STUCK_TIMEOUT_S:
            log.warning("counter: no response for %.1f s; opening a new connection", now - connection.last_received_at)
            connection.end("stuck")
        for add in late:
            self.report(add, Outcome.CONNECT_FAILED if add in unsent else Outcome.TIMEOUT)
        self._arm_timer()

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self.task.cancel()
        if self.connection is not None:
            self.connection.end("client closed")
