"""The datagram socket of the heartbeat ring."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from thistleusher.transport.codec import MalformedMessageError, decode, encode
from thistleusher.transport.messages import RingHeartbeat


class RingSocket(asyncio.DatagramProtocol):
    """Sends and receives the ring's heartbeats as datagrams."""

    def __init__(self, on_heartbeat: Callable[[RingHeartbeat, str], None]) -> None:
        """`on_heartbeat` is called with each heartbeat and the IP address of its sender."""
        self.on_heartbeat = on_heartbeat
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a heartbeat to the callback; drop anything else, as senders of datagrams expect no answer."""
        try:
            message = decode(data)
        except MalformedMessageError:
            return
        if isinstance(message, RingHeartbeat):
            self.on_heartbeat(message, addr[0])

    def send(self, heartbeat: RingHeartbeat, address: tuple[str, int]) -> None:
        """Send a heartbeat, without any guarantee of delivery."""
        if self.transport is not None:
            self.transport.sendto(encode(heartbeat), address)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier datagrams, as the next heartbeat follows soon."""
