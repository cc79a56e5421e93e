"""Client of several counters among which the names are distributed.

Each counter has a client of its own, so that the failure of one does not delay calls to the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address
from thistleusher.services.counter_client import CounterClient

REMOVAL_DELAY_S = 2.0  # time for which the client of a removed counter stays open for pending responses


class CounterGroup:
    """Sends each call to the counter that holds its name. `place` changes the counters in use."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        placement: Placement,
        timeout: float,
        on_reply: Callable[[events.CounterReply], None],
        time: Callable[[], float] | None = None,
    ) -> None:
        """Open a client for each counter; parameters as for `CounterClient`, with a placement instead of an address."""
        self.loop = loop
        self.timeout = timeout
        self.on_reply = on_reply
        self.time = time
        self.clients: dict[str, CounterClient] = {}
        self.removed: dict[CounterClient, asyncio.TimerHandle] = {}  # by removed client, the timer that closes it
        self.placement = placement
        self.place(placement)

    def place(self, placement: Placement) -> None:
        """Switch to other counters: connect to added ones, and close removed ones after `REMOVAL_DELAY_S`."""
        self.placement = placement
        for address in placement.addresses:
            if address not in self.clients:
                self.clients[address] = CounterClient(
                    self.loop, read_address(address), self.timeout, self.on_reply, self.time
                )
        for address in self.clients.keys() - set(placement.addresses):
            client = self.clients.pop(address)
            self.removed[client] = self.loop.call_later(REMOVAL_DELAY_S, self._drop, client)

    def _drop(self, client: CounterClient) -> None:
        """Close the client of a removed counter."""
        self.removed.pop(client).cancel()
        client.close()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a name at the counter that holds it."""
        self.clients[self.placement.addresses[self.placement.of(name)]].add(name, amount, lifetime)

    def close(self) -> None:
        """Close all clients."""
        for client in list(self.removed):
            self._drop(client)
        for client in self.clients.values():
            client.close()
