"""A relay that drops and delays datagrams between ingresses.

Each ingress has one address at the relay: the others send to it, and the ingress's own datagrams come from it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any, cast

HOST = "127.0.0.1"
Address = tuple[str, int]


class RelaySocket(asyncio.DatagramProtocol):
    """The socket of the relay that represents one ingress."""

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forward a datagram from a known sender; ignore all others."""
        sender = self.relay.numbers.get((addr[0], addr[1]))
        if sender is not None:
            self.relay.forward(sender, self.number, data)


class Relay:
    """The relay. `loss`: fraction of datagrams that are dropped; `delay`: maximum delay of each, in seconds."""

    def __init__(self, targets: Sequence[Address], seed: int = 0, loss: float = 0.0, delay: float = 0.0) -> None:
        self.targets = list(targets)
        self.numbers = {address: n for n, address in enumerate(targets)}
        self.loss, self.delay = loss, delay
        self.generators = {
            (a, b): random.Random(f"{seed} {a} {b}") for a in range(len(targets)) for b in range(len(targets))
        }  # one generator per pair, so that the draws do not depend on the traffic of other pairs
        self.isolated: set[int] = set()
        self.sockets: list[RelaySocket] = []
        self.forwarded = self.lost = 0

    @property
    def addresses(self) -> list[str]:
        """Return the relay's address for each ingress, as used in the setting `peers`."""
        assert all(d.transport is not None for d in self.sockets)
        return [f"{HOST}:{d.transport.get_extra_info('sockname')[1]}" for d in self.sockets if d.transport]

    async def start(self) -> None:
        """Open a socket for each ingress."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.targets)):
            endpoint = RelaySocket(self, number)
            await loop.create_datagram_endpoint(lambda endpoint=endpoint: endpoint, local_addr=(HOST, 0))  # type: ignore[misc]
            self.sockets.append(endpoint)

    def isolate(self, number: int, on: bool) -> None:
        """Drop all datagrams to and from one ingress, or stop doing so."""
        (self.isolated.add if on else self.isolated.discard)(number)

    def forward(self, sender: int, target: int, data: bytes) -> None:
        """Deliver a datagram after its delay, or drop it."""
        draw = self.generators[sender, target]
        lost, late = draw.random() < self.loss, draw.random() * self.delay
        if lost or sender in self.isolated or target in self.isolated:
            self.lost += 1
        elif late > 0:
            asyncio.get_running_loop().call_later(late, self.deliver, sender, target, data)
        else:
            self.deliver(sender, target, data)

    def deliver(self, sender: int, target: int, data: bytes) -> None:
        """Send a datagram to its target."""
        transport = self.sockets[sender].transport
        if transport is not None and not transport.is_closing():
            self.forwarded += 1
            transport.sendto(data, self.targets[target])

    def stop(self) -> None:
        """Close all sockets."""
        for endpoint in self.sockets:
            if endpoint.transport is not None:
                endpoint.transport.close()
