"""The control process's storage: records in LMDB, written by one thread, each write in one synced transaction.

A write that hangs delays only the writes behind it; the caller that waits for it decides on a time-out. An error is
reported as a failed write, of which nothing is on disk. Each item of the state is a record of its own, so that a change
writes no more than its own size and a complete copy replaces all items in one transaction. The map is small, and is
opened without `writemap`, which would sync the entire map at each commit. `store_file` opens and creates the file.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import msgpack
import msgspec

from thistleusher.common.events import Event, log_event
from thistleusher.common.threads import start_patiently
from thistleusher.control.interface import Records, StoredState
from thistleusher.control.store_file import FOUNDERS_KEY, OpenedStore, open_store
from thistleusher.control.store_opener import open_patiently
from thistleusher.transport.messages import Items, Position, ViewRecord

SYNC_RETRY_DELAY_S = 0.05

# Keys. These and the records' formats must not change: a later release reads what an earlier one wrote.
PROMISE_KEY = b"promise"
VIEW_KEY = b"view"
POSITION_KEY = b"position"
LEASES_KEY = b"leases"
ITEM_PREFIX = b"i:"  # prefix of an item's key, followed by the item's name
OLD_COPY_KEY = b"copy"  # key under which releases before 0.2 stored the complete state

DECODE_ERRORS = (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException, msgspec.ValidationError)

OnCompleted = Callable[[int, bool], None]


class Storage:
    """The storage in one data folder."""

    def __init__(
        self, folder: Path, disk_mb: float, on_completed: OnCompleted, opened: OpenedStore | None = None
    ) -> None:
        """Open the folder, unless it is `opened`; `on_completed(token, ok)` is called from the writer thread.

        Raise OSError or lmdb.Error if the folder cannot be opened.
        """
        self._folder = folder
        self._disk_mb = disk_mb
        self._on_completed = on_completed
        store = opened or open_store(folder, disk_mb)
        self._environment = store.environment
        self._is_lost = False  # whether the store was lost while this process ran: nothing is written until it restarts
        if store.lost:
            log_event(Event.DISK_FAILED, f"the store is unreadable, its state is lost: {store.lost}")
        self._jobs: queue.SimpleQueue[tuple[int, Records] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)
        start_patiently(self._thread)

    def read(self) -> StoredState:
        """Return the state that earlier incarnations stored.

        If any record cannot be decoded, the complete state counts as lost: a machine that has lost its state is safe,
        but a machine that knows only some of its promises is not.
        """
        try:
            with self._environment.begin() as transaction:
                raw = {bytes(key): bytes(value) for key, value in transaction.cursor()}
            return _decode(raw)
        except (lmdb.Error, *DECODE_ERRORS) as error:
            log_event(Event.DISK_FAILED, f"stored state cannot be decoded, treated as lost: {error!r}")
            return StoredState()

    def write(self, token: int, records: Records) -> None:
        """Write records in one transaction, after those of earlier calls."""
        self._jobs.put((token, records))

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            token, records = job
            self._on_completed(token, self._write(records))

    def _write(self, records: Records) -> bool:
        """Write records; return whether they are on disk. If False, none of them is."""
        if self._is_lost:  # what a later process would read is not what this one relies on
            return False
        try:
            with self._environment.begin(write=True) as transaction:
                _put(transaction, records)
        except Exception as error:  # the thread must go on to complete later writes, whatever the error
            log_event(Event.DISK_FAILED, repr(error))
            if isinstance(error, lmdb.PanicError):
                self._reopen()
            return False
        self._sync()
        return True

    def _sync(self) -> None:
        """Sync a committed transaction, again and again while the disk refuses: it is visible, so it has not failed."""
        while (error := self._try_sync()) is not None:
            log_event(Event.DISK_FAILED, f"a write is not synced yet: {error!r}")
            time.sleep(SYNC_RETRY_DELAY_S)

    def _try_sync(self) -> lmdb.Error | None:
        try:
            self._environment.sync(True)
        except lmdb.Error as error:
            return error
        return None

    def _reopen(self) -> None:
        """Open the store anew: after a failure in the middle of a commit, LMDB refuses all further transactions."""
        self._environment.close()
        store = open_patiently(self._folder, self._disk_mb)
        self._environment, self._is_lost = store.environment, bool(store.lost)

    def close(self) -> None:
        """Let the writer thread finish the queued writes and end. Does not wait for it: the process may exit before."""
        self._jobs.put(None)


def _put(transaction: Any, records: Records) -> None:
    if records.promised is not None:
        transaction.put(PROMISE_KEY, msgpack.packb(records.promised))
    if records.view is not None:
        transaction.put(VIEW_KEY, msgspec.msgpack.encode(records.view))
    if records.leases is not None:
        transaction.put(LEASES_KEY, msgpack.packb({role: list(pair) for role, pair in records.leases.items()}))
    if records.position is not None:
        transaction.put(POSITION_KEY, msgpack.packb([msgspec.to_builtins(records.position), records.floor]))
    if records.items is not None:
        _put_items(transaction, records.items, records.complete)


def _put_items(transaction: Any, items: Items, complete: bool) -> None:
    if complete:
        transaction.delete(OLD_COPY_KEY)
        stale = [bytes(key) for key, _ in transaction.cursor() if bytes(key).startswith(ITEM_PREFIX)]
        for key in stale:
            transaction.delete(key)
    for name, item in items.items():
        transaction.put(ITEM_PREFIX + name.encode(), msgpack.packb(item))


def _decode(raw: dict[bytes, bytes]) -> StoredState:
    stored = StoredState()
    if PROMISE_KEY in raw:
        promise = msgpack.unpackb(raw[PROMISE_KEY])
        stored.promised = promise["e"] if isinstance(promise, dict) else promise  # a map before 0.2
    if VIEW_KEY in raw:
        stored.view = _decode_view(raw[VIEW_KEY])
    if LEASES_KEY in raw:
        leases = msgpack.unpackb(raw[LEASES_KEY])
        stored.leases = {role: (pair[0], pair[1]) for role, pair in leases.items()}
    if POSITION_KEY in raw:
        position, stored.floor = msgpack.unpackb(raw[POSITION_KEY])
        stored.position = msgspec.convert(position, Position)
    elif OLD_COPY_KEY in raw:
        _decode_old_copy(raw[OLD_COPY_KEY], stored)
    if FOUNDERS_KEY in raw:
        stored.add_founding_view(msgpack.unpackb(raw[FOUNDERS_KEY]))
    for key, value in raw.items():
        if key.startswith(ITEM_PREFIX):
            number, item = msgpack.unpackb(value, strict_map_key=False)
            stored.items[key[len(ITEM_PREFIX) :].decode()] = number, item
    return stored


def _decode_view(raw: bytes) -> ViewRecord:
    """Decode a view. Releases before 0.2 stored it as a map."""
    table = msgpack.unpackb(raw)
    if isinstance(table, dict):
        return ViewRecord(table["e"], table["p"], tuple(table["b"]), dict(table["v"]))
    return msgspec.convert(table, ViewRecord)


def _decode_old_copy(raw: bytes, stored: StoredState) -> None:
    """Fill in the complete state from one record, the format of releases before 0.2."""
    table = msgpack.unpackb(raw, strict_map_key=False)
    state = table["s"]
    stored.position = Position(table["e"], state["n"], 0)
    stored.floor = state.get("f", 0)
    stored.items = {name: (item[0], item[1]) for name, item in state["i"].items()}
