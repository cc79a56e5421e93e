"""A channel to the counter service: one connection after another, so that calls keep their order."""

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

STUCK_S = 1.0  # without any response to what is pending, after which a connection is replaced
RETRY_S = 0.1
CONNECT_TIMEOUT_S = 0.5


class ChannelOwner(Protocol):
    """What a channel asks of its client."""

    loop: asyncio.AbstractEventLoop
    address: Address

    @property
    def report(self) -> Callable[..., Any]:
        """The call `report(add, outcome, total)`, which takes the outcome of an add; only the first one counts."""


class CounterChannel:
    """Keeps one connection to wherever the counter is; calls that find none wait for it."""

    def __init__(self, client: ChannelOwner) -> None:
        self.client = client
        self.loop = client.loop
        self.report = client.report
        self.connection: CounterConnection | None = None
        self.unsent: deque[PendingAdd] = deque()
        self.unreported: deque[PendingAdd] = deque()  # those without an outcome, oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.reconnect = asyncio.Event()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Connect, and again when that connection is lost or the counter is elsewhere."""
        while True:
            address = self.client.address
            connection = CounterConnection(self)
            started_at = self.loop.time()
            self.reconnect.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self.loop.create_connection(self._factory(connection), *address)
            except (OSError, TimeoutError) as error:
                log.debug("counter: connect: %r", error)
            except Exception:  # whatever it was, calls must not wait for ever for a connection
                log.exception("counter")
            else:
                await self.reconnect.wait()
                # One that has been of use, or was merely closed for being idle, is replaced at once.
                lasted_s = self.loop.time() - started_at
                if connection.has_served or lasted_s > STUCK_S or self.client.address != address:
                    continue
            await asyncio.sleep(RETRY_S)

    @staticmethod
    def _factory(connection: CounterConnection) -> Callable[[], CounterConnection]:
        return lambda: connection

    def connection_ready(self, connection: CounterConnection) -> None:
        """Let a new connection take over, with the calls that waited for it."""
        old = self.connection
        self.connection = connection
        waiting = [add for add in self.unsent if add.reply is None]
        self.unsent.clear()
        for add in waiting:
            connection.write(add)
        if old is not None:
            old.retire()

    def connection_ended(self, connection: CounterConnection) -> None:
        """Open another connection if this is the present one."""
        if self.connection is connection:
            self.connection = None
            self.reconnect.set()

    def call(self, add: PendingAdd) -> None:
        """Write a call, or let it wait for the connection as long as its time allows."""
        self.unreported.append(add)
        if self.connection is None:
            self.unsent.append(add)
        else:
            self.connection.write(add)
        self._arm_timer()

    def _arm_timer(self) -> None:
        """Have the oldest call without an outcome expire in time."""
        while self.unreported and self.unreported[0].reply is not None:
            self.unreported.popleft()
        if self.timer is None and self.unreported:
            self.timer = self.loop.call_at(self.unreported[0].due_at, self._expire)

    def _expire(self) -> None:
        """Report what is due; only what was never written is sure not to have been added."""
        self.timer = None
        now = self.loop.time()
        connection = self.connection
        late = [add for add in self.unreported if add.reply is None and add.due_at <= now]
        unsent = {add for add in late if add in self.unsent}
        for add in unsent:
            self.unsent.remove(add)
        if connection is not None and connection.pending and now - connection.last_heard > STUCK_S:
            log.warning("counter: no answer for %.1f s: opening a new connection", now - connection.last_heard)
            connection.end("stuck")
        for add in late:
            self.report(add, Outcome.CONNECT_FAILED if add in unsent else Outcome.TIMEOUT)
        self._arm_timer()

    def close(self) -> None:
        """Close the connection, and open none any more."""
        self.task.cancel()
        if self.connection is not None:
            self.connection.end("the program ends")
