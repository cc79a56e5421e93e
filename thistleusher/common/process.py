"""Process functions shared by the three programs: a watched settings file, signals, ticks, graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from thistleusher.common.events import Event, log_event
from thistleusher.common.settings_reader import node_settings_path, read_node_settings

TICK_S = 0.06
SETTINGS_CHECK_S = 1.0  # Interval between checks of the settings file, which may change without a signal.


class SettingsFile:
    """The settings file of this process, which is reloaded when it changes."""

    def __init__(self, path: Path | None = None) -> None:
        """Read the file at `path`, by default that of `node_settings_path`.

        Raise an ExceptionGroup of InvalidSettingError if it is invalid, OSError if it cannot be read.
        """
        self.path = path or node_settings_path()
        self.text = self.path.read_text()
        self.node_settings = read_node_settings(self.text)

    def reload(self) -> bool:
        """Read the file again; return whether it contains new, valid settings, which are then in effect."""
        try:
            text = self.path.read_text()
            if text == self.text:
                return False
            self.text = text
            self.node_settings = read_node_settings(text)
        except OSError as error:
            log_event(Event.SETTINGS_REJECTED, error)
            return False
        except ExceptionGroup as group:
            log_event(Event.SETTINGS_REJECTED, "; ".join(str(error) for error in group.exceptions))
            return False
        log_event(Event.SETTINGS_RELOADED, ",".join(self.node_settings.seed_nodes))
        return True


async def serve(
    name: str,
    settings: SettingsFile,
    tick: Callable[[], object],
    settings_changed: Callable[[], object],
    shut_down: Callable[[], Awaitable[object]],
) -> None:
    """Run until SIGTERM or SIGINT, then await `shut_down`.

    Call `tick` every `TICK_S`, and `settings_changed` after the settings file has been reloaded.
    """
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[str] = loop.create_future()

    def stop(reason: str) -> None:
        if not stopped.done():
            stopped.set_result(reason)

    def reload() -> None:
        if settings.reload():
            settings_changed()

    loop.add_signal_handler(signal.SIGTERM, stop, "SIGTERM")
    loop.add_signal_handler(signal.SIGINT, stop, "SIGINT")
    loop.add_signal_handler(signal.SIGHUP, reload)
    log_event(Event.STARTED, settings.node_settings.node_name, name)
    gc.freeze()  # Objects created at start-up stay alive. `thistleusher.system` had disabled collection.
    gc.enable()

    async def run_ticks() -> None:
        next_check = loop.time() + SETTINGS_CHECK_S
        while True:
            await asyncio.sleep(TICK_S)
            try:
                tick()
                if loop.time() >= next_check:
                    next_check = loop.time() + SETTINGS_CHECK_S
                    reload()
            except Exception as error:  # An error in one tick ends neither the program nor later ticks.
                log_event(Event.FAULT, f"{name}: tick", repr(error))

    tick_task = loop.create_task(run_ticks())
    reason = await stopped
    log_event(Event.STOPPING, settings.node_settings.node_name, reason)
    await shut_down()
    tick_task.cancel()
    log_event(Event.STOPPED, settings.node_settings.node_name)
