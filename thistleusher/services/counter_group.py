"""Several counters that share the names; each is a client of its own, so a lost one holds up nobody else."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address
from thistleusher.services.counter_client import CounterClient

LEAVE_S = 2.0  # for the answers that a counter taken out still owes


class CounterGroup:
    """Calls go to the counter that holds their name. `place` changes the set in service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        placement: Placement,
        timeout: float,
        on_reply: Callable[[events.CounterReply], None],
        time: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.timeout, self.on_reply, self.time = loop, timeout, on_reply, time
        self.clients: dict[str, CounterClient] = {}
        self.leaving: dict[CounterClient, asyncio.TimerHandle] = {}
        self.placement = placement
        self.place(placement)

    def place(self, placement: Placement) -> None:
        """Follow another set: new ones are connected to, those taken out may still answer for a while."""
        self.placement = placement
        for address in placement.addresses:
            if address not in self.clients:
                self.clients[address] = CounterClient(
                    self.loop, read_address(address), self.timeout, self.on_reply, self.time
                )
        for address in self.clients.keys() - set(placement.addresses):
            client = self.clients.pop(address)
            self.leaving[client] = self.loop.call_later(LEAVE_S, self.drop, client)

    def drop(self, client: CounterClient) -> None:
        self.leaving.pop(client).cancel()
        client.close()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        self.clients[self.placement.addresses[self.placement.of(name)]].add(name, amount, lifetime)

    def close(self) -> None:
        for client in list(self.leaving):
            self.drop(client)
        for client in self.clients.values():
            client.close()
