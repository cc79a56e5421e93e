"""The signals of a program, from its first moment to its last.

SIGTERM and SIGINT ask the process to end, SIGHUP to read its settings again. Outside of the main loop there is nothing
to hand over and nothing to reload: a process that is starting ends at once with exit code 0, and one that has shut down
ignores all three. The handlers belong to the process, not to the event loop, which drops its own before it is closed.

Imports little, because a signal that arrives before `install` ends the process.
"""

from __future__ import annotations

import os
import signal

from thistleusher.log import standard_streams

TYPE_CHECKING = False  # as in `typing`, which is not loaded here
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0


def install() -> None:
    """Handle the signals of a process that is starting."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the settings are still to be read
    for number in STOP_SIGNALS:
        signal.signal(number, _exit_at_once)


def _exit_at_once(number: int, frame: FrameType | None) -> None:
    """End the process; the log may not be set up yet."""
    line = f"102 the process has shut down: {signal.Signals(number).name} before it served\n"
    standard_streams.write_error(line)
    os._exit(EXIT_OK)


class Delivery:
    """Delivers the signals to a running event loop, from its creation on until `end`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_stop: Callable[[str], object], on_reload: Callable[[], object]
    ) -> None:
        """Begin to call `on_stop(name)` on SIGTERM and SIGINT, and `on_reload()` on SIGHUP."""
        self._loop = loop
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._before = {number: signal.signal(number, self._stop) for number in STOP_SIGNALS}
        self._before[signal.SIGHUP] = signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, number: int, frame: FrameType | None) -> None:
        self._loop.call_soon_threadsafe(self._on_stop, signal.Signals(number).name)

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self._loop.call_soon_threadsafe(self._on_reload)

    def end(self) -> None:
        """Handle the signals as before."""
        for number, handler in self._before.items():
            signal.signal(number, handler)


def ignore() -> None:
    """Ignore the signals for the rest of the process, which is about to exit."""
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
