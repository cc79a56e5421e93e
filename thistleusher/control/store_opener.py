"""Opens the control store of a process that starts, again and again while the disk refuses.

The first attempt is made before the rest of the program is loaded, as a founder's record is to be on disk as soon after
the start as possible. It is made in the main thread: nothing can be served without a store, so a second thread would
gain nothing, and none runs while the process still loads its libraries. Later attempts are made from the event loop.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import lmdb

from thistleusher.common.node_settings import NodeSettings
from thistleusher.control.store_file import OpenedStore, open_store

RETRY_DELAY_S = 0.25


def store_arguments(settings: NodeSettings) -> tuple[Path, float, Sequence[str]]:
    """Return the arguments of `try_opening` for a control process."""
    founding_seeds = settings.core_ips if settings.bootstrap else ()
    return Path(settings.data_dir or "."), settings.limits.disk_mb, founding_seeds


def try_opening(folder: Path, disk_mb: float, founding_seeds: Sequence[str] = ()) -> OpenedStore | None:
    """Open a store as `open_store` does; log the failure and return None if the disk refuses."""
    try:
        return open_store(folder, disk_mb, founding_seeds)
    except (OSError, lmdb.Error) as error:
        _log_failure(error)
        return None


def open_patiently(folder: Path, disk_mb: float, founding_seeds: Sequence[str] = ()) -> OpenedStore:
    """Open a store, again and again while the disk refuses. Blocks its thread."""
    while (store := try_opening(folder, disk_mb, founding_seeds)) is None:
        time.sleep(RETRY_DELAY_S)
    return store


def _log_failure(error: Exception) -> None:
    from thistleusher.common.events import Event, log_event  # slow to load, and seldom needed here

    log_event(Event.DISK_FAILED, f"the store cannot be opened yet: {error!r}")
