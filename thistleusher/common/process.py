"""What the three programs have in common: settings that are followed, signals, ticks, an end in order."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from thistleusher.common.events import Event, log_event
from thistleusher.common.node_settings import node_settings_path, read_node_settings

TICK_S = 0.06
LOOK_S = 1.0  # between looks at the settings file, which may change without a signal


class SettingsFile:
    """The settings file, followed."""

    def __init__(self, path: Path | None = None) -> None:
        """ExceptionGroup where the file cannot be used; OSError where there is none."""
        self.path = path or node_settings_path()
        self.text = self.path.read_text()
        self.boot = read_node_settings(self.text)

    def look(self) -> bool:
        """Whether the file has changed to something that can be used, which is taken."""
        try:
            text = self.path.read_text()
            if text == self.text:
                return False
            self.text = text
            self.boot = read_node_settings(text)
        except OSError as error:
            log_event(Event.SETTINGS_REJECTED, error)
            return False
        except ExceptionGroup as group:
            log_event(Event.SETTINGS_REJECTED, "; ".join(str(e) for e in group.exceptions))
            return False
        log_event(Event.SETTINGS_RELOADED, ",".join(self.boot.seed_nodes))
        return True


async def serve(
    name: str,
    settings: SettingsFile,
    tick: Callable[[], object],
    changed: Callable[[], object],
    leave: Callable[[], Awaitable[object]],
) -> None:
    """Run until SIGTERM or SIGINT, then `leave` in order; `tick` each `TICK_S`, `changed` after new settings."""
    loop = asyncio.get_running_loop()
    over: asyncio.Future[str] = loop.create_future()

    def end(why: str) -> None:
        if not over.done():
            over.set_result(why)

    def look() -> None:
        if settings.look():
            changed()

    loop.add_signal_handler(signal.SIGTERM, end, "SIGTERM")
    loop.add_signal_handler(signal.SIGINT, end, "SIGINT")
    loop.add_signal_handler(signal.SIGHUP, look)
    log_event(Event.STARTED, settings.boot.node_name, name)
    gc.freeze()
    gc.enable()

    async def beat() -> None:
        next_look = loop.time() + LOOK_S
        while True:
            await asyncio.sleep(TICK_S)
            try:
                tick()
            except Exception as error:  # one tick's fault is not the program's end
                log_event(Event.FAULT, f"{name}: tick", repr(error))
            if loop.time() >= next_look:
                next_look = loop.time() + LOOK_S
                look()

    beating = loop.create_task(beat())
    why = await over
    log_event(Event.STOPPING, settings.boot.node_name, why)
    await leave()
    beating.cancel()
    log_event(Event.STOPPED, settings.boot.node_name)


def new_incarnation() -> str:
    """A name for this life of a process, that no other has."""
    return f"{time.time_ns():x}{os.urandom(4).hex()}"
