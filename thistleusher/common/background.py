"""Tasks that nobody awaits. One that ends by a fault says so at once: nothing else shows that its work has stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from thistleusher.common.events import Event, log_event


def start_background(loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Start work that nobody awaits; `name` is what the log calls it if it ends by an exception (event 120).

    The caller keeps the task for as long as the work goes on, as the loop itself does not.
    """

    def report(task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log_event(Event.FAULT, name, repr(error))

    task = loop.create_task(work)
    task.add_done_callback(report)
    return task
