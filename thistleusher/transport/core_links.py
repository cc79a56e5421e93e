"""Connections to one service of the core: a dial to each machine that is known.

A machine once known stays known, as settings and the newest view may name different ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from thistleusher.transport.links import ReconnectingLink
from thistleusher.transport.messages import AnyMessage, Message


class CoreLinks:
    """Dials to one service of the core, by the machines' addresses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        port: Callable[[], int],
        hello: Callable[[], Message],
        on_message: Callable[[ReconnectingLink, AnyMessage], None],
        own: str = "",
    ) -> None:
        """`own`: an address that is never dialled."""
        self.loop, self.port, self.hello, self.on_message, self.own = loop, port, hello, on_message, own
        self.dials: dict[str, ReconnectingLink] = {}

    def meet(self, addresses: Iterable[str]) -> None:
        """Open a connection to each of some machines that is not known yet."""
        for address in addresses:
            if address != self.own and address not in self.dials:
                self.dials[address] = ReconnectingLink(self.loop, address, self.port(), self.hello, self.on_message)

    def send(self, address: str, message: Message) -> None:
        """Send to one machine; nothing where no connection stands."""
        dial = self.dials.get(address)
        if dial is not None:
            dial.send(message)

    def broadcast(self, message: Message) -> None:
        """Send to each machine."""
        for dial in self.dials.values():
            dial.send(message)

    def poke(self, address: str) -> None:
        """Something has come from a machine: try it at once if its connection is down."""
        if address in self.dials:
            self.dials[address].poke()

    def close(self) -> None:
        """End all of them for good."""
        for dial in self.dials.values():
            dial.close()
