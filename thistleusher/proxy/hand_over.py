"""Sends a watched proxy the updates that it is missing, if it has had none from the core machines for a while."""

from __future__ import annotations

import asyncio

from thistleusher.transport.links import Link
from thistleusher.transport.messages import HandOver, HandOverAccepted

HAND_OVER_TIMEOUT_S = 1.0  # limit for connecting, sending the copy and receiving its acceptance


async def send_hand_over(loop: asyncio.AbstractEventLoop, ip: str, port: int, copy: HandOver) -> bool:
    """Send the copy on a separate connection; return whether the receiving proxy has accepted it in time."""
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
