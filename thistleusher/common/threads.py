"""Threads of a program that starts on a machine that may have none to spare."""

from __future__ import annotations

import threading
import time

from thistleusher.common.events import Event, log_event

RETRY_DELAY_S = 0.25


def start_patiently(thread: threading.Thread) -> None:
    """Start a thread, again and again while the system refuses one. Blocks the caller's thread."""
    while True:
        try:
            thread.start()
        except RuntimeError as error:
            log_event(Event.THREAD_UNAVAILABLE, thread.name, error)
            time.sleep(RETRY_DELAY_S)
        else:
            return
