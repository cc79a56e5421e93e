"""Background tasks, which no code awaits. A failure is logged at once, as nothing else would show it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from thistleusher.common.events import Event, log_event


def start_background(loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Start a background task; `name` identifies it in the log if it ends with an exception (event 120).

    The caller must keep a reference to the task while it runs, as the event loop holds none.
    """

    def report(task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log_event(Event.FAULT, name, repr(error))

    task = loop.create_task(work)
    task.add_done_callback(report)
    return task
