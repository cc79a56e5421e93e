"""Links to one service on each core machine that is known.

Links are only added, as settings and the newest view may name different machines: one that leaves the core is still
tried.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from thistleusher.transport.links import ReconnectingLink
from thistleusher.transport.messages import AnyMessage, Message


class CoreLinks:
    """Reconnecting links to one service of the core, by the machines' addresses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        port: Callable[[], int],
        first_message: Callable[[], Message],
        on_message: Callable[[ReconnectingLink, AnyMessage], None],
        own_address: str = "",
    ) -> None:
        """Create without any link; `own_address` is never connected to."""
        self.loop = loop
        self.port = port
        self.first_message = first_message
        self.on_message = on_message
        self.own_address = own_address
        self.links: dict[str, ReconnectingLink] = {}

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Open a link to each machine that is not known yet."""
        for address in addresses:
            if address != self.own_address and address not in self.links:
                self.links[address] = ReconnectingLink(
                    self.loop, address, self.port(), self.first_message, self.on_message
                )

    def send(self, address: str, message: Message) -> None:
        """Send to one machine; dropped where no connection is up."""
        link = self.links.get(address)
        if link is not None:
            link.send(message)

    def broadcast(self, message: Message) -> None:
        """Send to each machine whose connection is up."""
        for link in self.links.values():
            link.send(message)

    def retry_now(self, address: str) -> None:
        """Connect at once if the link is down: something has come from that machine, so it is up."""
        if address in self.links:
            self.links[address].retry_now()

    def close(self) -> None:
        """Close all links for good."""
        for link in self.links.values():
            link.close()
