"""Datagrams between ingresses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any, cast

from thistleusher.core import events
from thistleusher.services.addresses import Address

log = logging.getLogger(__name__)

MAX_MESSAGE = 256


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends to one ingress or to all, and tells who sent what came."""

    def __init__(
        self,
        peers: Sequence[Address],
        everyone: Address | None,
        me: int,
        on_message: Callable[[events.PeerMessage], None],
    ) -> None:
        self.peers, self.everyone, self.me, self.on_message = peers, everyone, me, on_message
        self.numbers = {address: n for n, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # no subclass of it under uvloop

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is not None and sender != self.me and len(data) <= MAX_MESSAGE:
            self.on_message(events.PeerMessage(sender, data))

    def error_received(self, exc: Exception) -> None:
        log.debug("peers: %s", exc)

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send; a message that is too long, or to nobody, is left out and logged."""
        if len(payload) > MAX_MESSAGE or (peer is not None and not 0 <= peer < len(self.peers)):
            log.error("peers: %d bytes to %r are not sent", len(payload), peer)
        elif self.transport is not None:
            for address in self.addresses(peer):
                self.transport.sendto(payload, address)

    def addresses(self, peer: int | None) -> list[Address]:
        if peer is not None:
            return [self.peers[peer]]
        if self.everyone is not None:
            return [self.everyone]
        return [a for n, a in enumerate(self.peers) if n != self.me]

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
