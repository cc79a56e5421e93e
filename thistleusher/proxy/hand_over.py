"""Sending what a watched proxy lacks of both states, where it has had no updates from the core for a while."""

from __future__ import annotations

import asyncio

from thistleusher.transport.links import Link
from thistleusher.transport.messages import HandOver, HandOverAccepted

HAND_OVER_TIMEOUT_S = 1.0  # for the copy to be accepted


async def send_hand_over(loop: asyncio.AbstractEventLoop, ip: str, port: int, copy: HandOver) -> bool:
    """Send the copy on a connection of its own; return whether the proxy there has accepted it."""
    accepted: asyncio.Future[bool] = loop.create_future()

    def end(value: bool) -> None:
        if not accepted.done():
            accepted.set_result(value)

    link = Link(
        loop,
        lambda link: link.send(copy),
        lambda link, message: end(isinstance(message, HandOverAccepted)),
        lambda link, why: end(False),
    )
    try:
        async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
            await loop.create_connection(lambda: link, ip, port)
            return await accepted
    except (OSError, TimeoutError):
        return False
    finally:
        link.close()
