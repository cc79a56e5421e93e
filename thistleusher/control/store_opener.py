"""Opens the control store in a thread from the start of the process on, again and again while the disk refuses.

A stalled disk holds up the thread that waits for it, and nothing else: the process goes on loading and ends on SIGTERM.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future
from pathlib import Path

import lmdb

from thistleusher.common.node_settings import NodeSettings
from thistleusher.control.store_file import OpenedStore, open_store

RETRY_DELAY_S = 0.25


def start_opening(settings: NodeSettings) -> Future[OpenedStore]:
    """Return the store of a control process as a future, which never fails: attempts are repeated."""
    opened: Future[OpenedStore] = Future()
    threading.Thread(target=_open, args=(settings, opened), name="store opener", daemon=True).start()
    return opened


def _open(settings: NodeSettings, opened: Future[OpenedStore]) -> None:
    founding_seeds = settings.core_ips if settings.bootstrap else ()
    opened.set_result(open_patiently(Path(settings.data_dir or "."), settings.limits.disk_mb, founding_seeds))


def open_patiently(folder: Path, disk_mb: float, founding_seeds: Sequence[str] = ()) -> OpenedStore:
    """Open a store as `open_store` does, again and again while the disk refuses."""
    while True:
        try:
            store = open_store(folder, disk_mb, founding_seeds)
        except (OSError, lmdb.Error) as error:
            _log_failure(error)
            time.sleep(RETRY_DELAY_S)
        else:
            return store


def _log_failure(error: Exception) -> None:
    from thistleusher.common.events import Event, log_event  # slow to load, and seldom needed here

    log_event(Event.DISK_FAILED, f"the store cannot be opened yet: {error!r}")
