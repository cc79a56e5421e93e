"""Several counters that share the names; each has a client of its own, so that a lost one holds up nobody else."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address
from thistleusher.services.counter_client import CounterClient

REMOVAL_S = 2.0  # for the pending responses of a counter that was taken out


class CounterGroup:
    """Calls go to the counter that has their name. `place` changes the set in service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        placement: Placement,
        timeout: float,
        on_reply: Callable[[events.CounterReply], None],
        time: Callable[[], float] | None = None,
    ) -> None:
        """Take the same parameters as `CounterClient`, with a placement for the address."""
        self.loop = loop
        self.timeout = timeout
        self.on_reply = on_reply
        self.time = time
        self.clients: dict[str, CounterClient] = {}
        self.removed: dict[CounterClient, asyncio.TimerHandle] = {}
        self.placement = placement
        self.place(placement)

    def place(self, placement: Placement) -> None:
        """Follow another set: connect to new counters; those that were taken out may still answer for a while."""
        self.placement = placement
        for address in placement.addresses:
            if address not in self.clients:
                self.clients[address] = CounterClient(
                    self.loop, read_address(address), self.timeout, self.on_reply, self.time
                )
        for address in self.clients.keys() - set(placement.addresses):
            client = self.clients.pop(address)
            self.removed[client] = self.loop.call_later(REMOVAL_S, self._drop, client)

    def _drop(self, client: CounterClient) -> None:
        """Close a client that was taken out."""
        self.removed.pop(client).cancel()
        client.close()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a name at its counter."""
        self.clients[self.placement.addresses[self.placement.of(name)]].add(name, amount, lifetime)

    def close(self) -> None:
        """Close all clients."""
        for client in list(self.removed):
            self._drop(client)
        for client in self.clients.values():
            client.close()
