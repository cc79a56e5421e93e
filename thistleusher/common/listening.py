"""Waits for addresses that another process still holds when a program starts."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

from thistleusher.common.events import Event, log_event

MAX_WAIT_S = 10.0  # longer than the grace period of a process that shuts down
RETRY_DELAY_S = 0.1

T = TypeVar("T")


async def listening(listen: Callable[[], Awaitable[T]]) -> T:
    """Await `listen` until its address is free, for at most `MAX_WAIT_S`. Raise its OSError otherwise."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + MAX_WAIT_S
    logged = False
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > deadline:
                raise
            if not logged:
                log_event(Event.PORT_IN_USE, error)
                logged = True
        await asyncio.sleep(RETRY_DELAY_S)
