"""Unreliable datagrams between ingresses."""

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
    """Sends datagrams to one ingress or to all, and passes on received ones with the number of the sender."""

    def __init__(
        self,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        me: int,
        on_message: Callable[[events.PeerMessage], None],
    ) -> None:
        """Create without a socket.

        peers: addresses of all ingresses, by number
        broadcast_address: address that reaches all ingresses; None to send to each peer separately
        me: number of this ingress
        """
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.me = me
        self.on_message = on_message
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's transports are not subclasses of it

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on a datagram from another ingress; drop datagrams that are too long or from unknown senders."""
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is not None and sender != self.me and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_message(events.PeerMessage(sender, data))

    def error_received(self, exc: Exception) -> None:
        """Log the error; no recovery is needed, as datagrams may be lost."""
        log.debug("peers: socket error: %s", exc)

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one ingress, or to all if `peer` is None; an oversized payload or unknown peer is logged."""
        if len(payload) > MAX_DATAGRAM_BYTES or (peer is not None and not 0 <= peer < len(self.peers)):
            log.error("peers: datagram of %d bytes to peer %r not sent: too long or unknown peer", len(payload), peer)
        elif self.transport is not None:
            for address in self._addresses(peer):
                self.transport.sendto(payload, address)

    def _addresses(self, peer: int | None) -> list[Address]:
        if peer is not None:
            return [self.peers[peer]]
        if self.broadcast_address is not None:
            return [self.broadcast_address]
        return [address for number, address in enumerate(self.peers) if number != self.me]

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
