"""The disk: records in lmdb, written by one thread, each write in one synced transaction.

A write that hangs holds up those behind it and nothing else; who waits for it decides how long. Errors are told as a
failed write, of which nothing is on disk. The state is a record an item, so that a change writes its own size and a
whole copy takes the place of all items in one transaction: it is there whole or not at all. The map is small and opened
without `writemap`, which would sync all of it at each commit.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import msgpack
import msgspec

from thistleusher.common.events import Event, log_event
from thistleusher.control.interface import Records, StoredState
from thistleusher.transport.messages import Items, Position, ViewRecord

MAP_MB = 96
PART = 0.5  # of the disk, that the map may take
ITEM = b"i:"  # before an item's name in its key
PROMISE, VIEW, POSITION, LEASES = b"promise", b"view", b"position", b"leases"
OLD_COPY = b"copy"  # where releases before 0.2 kept the whole state under one key
UNREADABLE = (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException, msgspec.ValidationError)

Raw = dict[bytes, bytes]


class Storage:
    """One folder. `done(token, ok)` is called from the writer's thread."""

    def __init__(self, folder: Path, disk_mb: float, done: Callable[[int, bool], None]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        size = int(min(MAP_MB, max(4.0, disk_mb * PART)) * 1024 * 1024)
        self._environment = lmdb.open(str(folder), map_size=size, max_dbs=0, metasync=True, sync=True, lock=False)
        self._done = done
        self._jobs: queue.SimpleQueue[tuple[int, Records] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self._thread.start()

    def read(self) -> StoredState:
        """What an earlier life kept. What cannot be read counts as forgotten: nothing, rather than half."""
        with self._environment.begin() as transaction:
            raw = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        try:
            return _stored(raw)
        except UNREADABLE as error:
            log_event(Event.DISK_FAILED, f"not readable, counts as lost: {error!r}")
            return StoredState()

    def write(self, token: int, records: Records) -> None:
        """Have records written together."""
        self._jobs.put((token, records))

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            token, records = job
            try:
                with self._environment.begin(write=True) as transaction:
                    _put(transaction, records)
                ok = True
            except (lmdb.Error, OSError) as error:
                log_event(Event.DISK_FAILED, repr(error))
                ok = False
            self._done(token, ok)

    def close(self) -> None:
        """End the writer; what it has begun is finished first, for as long as the caller waits."""
        self._jobs.put(None)


def _put(transaction: Any, records: Records) -> None:
    if records.promised is not None:
        transaction.put(PROMISE, msgpack.packb(records.promised))
    if records.view is not None:
        transaction.put(VIEW, msgspec.msgpack.encode(records.view))
    if records.leases is not None:
        transaction.put(LEASES, msgpack.packb({role: list(pair) for role, pair in records.leases.items()}))
    if records.position is not None:
        transaction.put(POSITION, msgpack.packb([msgspec.to_builtins(records.position), records.floor]))
    if records.items is not None:
        _put_items(transaction, records.items, records.complete)


def _put_items(transaction: Any, items: Items, whole: bool) -> None:
    if whole:
        transaction.delete(OLD_COPY)
        stale = [bytes(key) for key, _ in transaction.cursor() if bytes(key).startswith(ITEM)]
        for key in stale:
            transaction.delete(key)
    for name, item in items.items():
        transaction.put(ITEM + name.encode(), msgpack.packb(item))


def _stored(raw: Raw) -> StoredState:
    stored = StoredState()
    if PROMISE in raw:
        promise = msgpack.unpackb(raw[PROMISE])
        stored.promised = promise["e"] if isinstance(promise, dict) else promise
    if VIEW in raw:
        stored.view = _view(raw[VIEW])
    if LEASES in raw:
        leases = msgpack.unpackb(raw[LEASES])
        stored.leases = {role: (pair[0], pair[1]) for role, pair in leases.items()}
    if POSITION in raw:
        position, stored.floor = msgpack.unpackb(raw[POSITION])
        stored.position = msgspec.convert(position, Position)
    elif OLD_COPY in raw:
        _read_old_copy(raw[OLD_COPY], stored)
    for key, value in raw.items():
        if key.startswith(ITEM):
            number, item = msgpack.unpackb(value, strict_map_key=False)
            stored.items[key[len(ITEM) :].decode()] = number, item
    return stored


def _view(raw: bytes) -> ViewRecord:
    """A view; releases before 0.2 wrote a table."""
    table = msgpack.unpackb(raw)
    if isinstance(table, dict):
        return ViewRecord(table["e"], table["p"], tuple(table["b"]), dict(table["v"]))
    return msgspec.convert(table, ViewRecord)


def _read_old_copy(raw: bytes, stored: StoredState) -> None:
    """The whole state under one key, as releases before 0.2 wrote it."""
    table = msgpack.unpackb(raw, strict_map_key=False)
    state = table["s"]
    stored.position = Position(table["e"], state["n"], 0)
    stored.floor = state.get("f", 0)
    stored.items = {name: (item[0], item[1]) for name, item in state["i"].items()}
