"""Process functions shared by the three programs: start, signals, ticks, a watched settings file, graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from thistleusher.common import signals
from thistleusher.common.events import Event, log_event
from thistleusher.common.settings_file import SettingsFile

TICK_S = 0.06
SETTINGS_CHECK_S = 1.0  # Interval between checks of the settings file, which may change without a signal.


async def _start_nothing() -> None:
    """Start a program that has nothing to open."""


async def serve(
    name: str,
    settings: SettingsFile,
    tick: Callable[[], object],
    settings_changed: Callable[[], object],
    shut_down: Callable[[], Awaitable[object]],
    start: Callable[[], Awaitable[object]] = _start_nothing,
) -> None:
    """Await `start`, run until SIGTERM or SIGINT, which may also come before, then await `shut_down`.

    Call `tick` every `TICK_S`, and `settings_changed` after the settings file has been reloaded. Raise what `start`
    raises; an error in one of the others is logged.
    """
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[str] = loop.create_future()

    def stop(reason: str) -> None:
        if not stopped.done():
            stopped.set_result(reason)

    def reload() -> None:
        if settings.reload():
            settings_changed()

    def node_name() -> str:
        return settings.node_settings.node_name

    delivery = signals.Delivery(loop, stop, reload)
    try:
        await _start_unless_stopped(start, stopped, partial(log_event, Event.STARTED, node_name(), name))
        gc.freeze()  # Objects created at start-up stay alive. `thistleusher.system` had disabled collection.
        gc.enable()
        tick_task = loop.create_task(_run_ticks(name, tick, reload))
        reason = await stopped
        log_event(Event.STOPPING, node_name(), reason)
        try:
            await shut_down()
        except Exception as error:  # the process ends as it was asked to; what was not closed ends with it
            log_event(Event.FAULT, f"{name}: shutdown", repr(error))
        tick_task.cancel()
        log_event(Event.STOPPED, node_name())
    finally:
        delivery.end()


async def _start_unless_stopped(
    start: Callable[[], Awaitable[object]], stopped: asyncio.Future[str], on_started: Callable[[], object]
) -> None:
    """Await `start`, but no longer than until the process is asked to stop."""
    starting: asyncio.Future[Any] = asyncio.ensure_future(start())
    await asyncio.wait([starting, stopped], return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        on_started()
    else:
        starting.cancel()


async def _run_ticks(name: str, tick: Callable[[], object], reload: Callable[[], object]) -> None:
    """Call `tick` at once and then every `TICK_S`, and `reload` every `SETTINGS_CHECK_S`."""
    loop = asyncio.get_running_loop()
    next_check = loop.time() + SETTINGS_CHECK_S
    while True:
        try:
            tick()
            if loop.time() >= next_check:
                next_check = loop.time() + SETTINGS_CHECK_S
                reload()
        except Exception as error:  # An error in one tick ends neither the program nor later ticks.
            log_event(Event.FAULT, f"{name}: tick", repr(error))
        await asyncio.sleep(TICK_S)
