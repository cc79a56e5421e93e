"""Links to one service on each known core machine.

Links are added but never removed, as the settings and the newest view may name different machines. Connections to a
machine that has left the core are therefore still attempted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from thistleusher.transport.frame_memory import FrameMemory
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
        memory: FrameMemory | None = None,
    ) -> None:
        """Create an object without links; it never connects to `own_address`.

        `memory`: what the incomplete messages of all links of the process may take.
        """
        self.memory = memory
        self.loop = loop
        self.port = port
        self.first_message = first_message
        self.on_message = on_message
        self.own_address = own_address
        self.links: dict[str, ReconnectingLink] = {}

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Open a link to each machine that has none yet."""
        for address in addresses:
            if address != self.own_address and address not in self.links:
                self.links[address] = ReconnectingLink(
                    self.loop, address, self.port(), self.first_message, self.on_message, memory=self.memory
                )

    def send(self, address: str, message: Message) -> None:
        """Send a message to one machine; drop it if no connection is open."""
        link = self.links.get(address)
        if link is not None:
            link.send(message)

    def broadcast(self, message: Message) -> None:
        """Send a message to each machine with an open connection."""
        for link in self.links.values():
            link.send(message)

    def retry_now(self, address: str) -> None:
        """Connect at once if the link is down; called when data has arrived from that machine, which is thus up."""
        if address in self.links:
            self.links[address].retry_now()

    def close(self) -> None:
        """Close all links for good."""
        for link in self.links.values():
            link.close()
