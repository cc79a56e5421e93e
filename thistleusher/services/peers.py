"""Datagrams between ingresses; they may be lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any, cast

from thistleusher.core import events
from thistleusher.services.addresses import Address

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 256


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends to one ingress or to all, and passes on what comes with the number of its sender."""

    def __init__(
        self,
        peers: Sequence[Address],
        everyone: Address | None,
        me: int,
        on_message: Callable[[events.PeerMessage], None],
    ) -> None:
        """`peers`: the ingresses' addresses by number, `me` this one's; `everyone`: an address that reaches all."""
        self.peers = peers
        self.everyone = everyone
        self.me = me
        self.on_message = on_message
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # no subclass of it under uvloop

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on what another ingress sent; drop what is too long or comes from elsewhere."""
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is not None and sender != self.me and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_message(events.PeerMessage(sender, data))

    def error_received(self, exc: Exception) -> None:
        """Log it: datagrams may be lost."""
        log.debug("peers: %s", exc)

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one ingress, or to all for None; a payload too long, or to nobody, is dropped and logged."""
        if len(payload) > MAX_DATAGRAM_BYTES or (peer is not None and not 0 <= peer < len(self.peers)):
            log.error("peers: %d bytes to %r are not sent", len(payload), peer)
        elif self.transport is not None:
            for address in self._addresses(peer):
                self.transport.sendto(payload, address)

    def _addresses(self, peer: int | None) -> list[Address]:
        if peer is not None:
            return [self.peers[peer]]
        if self.everyone is not None:
            return [self.everyone]
        return [address for number, address in enumerate(self.peers) if number != self.me]

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
