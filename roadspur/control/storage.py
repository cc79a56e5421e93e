"""The disk: records in lmdb, written by one thread, each batch in one synced transaction.

A write that hangs holds up those behind it and nothing else; who waits for it decides how long. Errors are told as a
failed write. The map is small and opened without `writemap`, which would sync all of it at each commit.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import msgpack

from roadspur.common.events import Event, say
from roadspur.control.views import Copy, Kept, View

MAP_MB = 64
PART = 0.5  # of the disk, that the map may take


class Storage:
    """One folder. `done(token, ok)` is called from the writer's thread."""

    def __init__(self, folder: Path, disk_mb: float, done: Callable[[int, bool], None]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        size = int(min(MAP_MB, max(4.0, disk_mb * PART)) * 1024 * 1024)
        self.env = lmdb.open(str(folder), map_size=size, max_dbs=0, metasync=True, sync=True, lock=False)
        self.done = done
        self.jobs: queue.SimpleQueue[tuple[int, dict[str, Any]] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self.thread.start()

    def read(self) -> Kept:
        """What an earlier life kept. What cannot be read counts as forgotten: nothing, rather than half."""
        with self.env.begin() as txn:
            raw = {bytes(key).decode(): bytes(value) for key, value in txn.cursor()}
        try:
            records = {name: msgpack.unpackb(value, strict_map_key=False) for name, value in raw.items()}
            return Kept(records["promise"]["e"] if "promise" in records else 0,
                        View.unpacked(records["view"]) if "view" in records else None,
                        Copy.unpacked(records["copy"]) if "copy" in records else Copy(),
                        {duty: (pair[0], pair[1]) for duty, pair in records.get("grants", {}).items()})
        except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException) as error:
            say(Event.DISK, f"not readable, counts as lost: {error!r}")
            return Kept()

    def write(self, token: int, records: dict[str, Any]) -> None:
        """Have records written together."""
        self.jobs.put((token, records))

    def _run(self) -> None:
        while (job := self.jobs.get()) is not None:
            token, records = job
            try:
                with self.env.begin(write=True) as txn:
                    for name, value in records.items():
                        txn.put(name.encode(), msgpack.packb(value))
                ok = True
            except (lmdb.Error, OSError) as error:
                say(Event.DISK, repr(error))
                ok = False
            self.done(token, ok)

    def close(self) -> None:
        """End the writer; what it has begun is finished first, for as long as the caller waits."""
        self.jobs.put(None)
