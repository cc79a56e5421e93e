"""Opens the file of the control store: creates it whole, and sets an unreadable one aside.

A file that power took while it was created must not be found half made. A new file is therefore written under another
name, synced, renamed, and its folder synced. With it goes the founder's record: the seeds of the first start.

A file that cannot be read means that the machine has lost its state. It is renamed to `SET_ASIDE_NAME` for an operator,
and the new file holds `LOST_KEY`, so that the machine is no founder even if its settings say `bootstrap=true`.

Imports little: a founder's record is to be on disk as soon after the start as possible.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import lmdb
import msgpack

from thistleusher.control.store_check import DamagedStoreError, check_store

STORE_NAME = "data.mdb"
NEW_NAME = "data.mdb.new"
SET_ASIDE_NAME = "data.mdb.unreadable"

# Keys. These and the records' formats must not change: a later release reads what an earlier one wrote.
FOUNDERS_KEY = b"founders"  # list of the addresses of the seeds of the first start
LOST_KEY = b"lost"  # why the state before was given up

MIN_MAP_MB = 4.0
MAX_MAP_MB = 96
MAP_FRACTION = 0.5  # fraction of the disk limit that the map may use
BYTES_PER_MB = 1024 * 1024

# Errors of files that no later attempt can read. Others, of a full disk for example, may pass.
UNREADABLE_ERRORS = (DamagedStoreError, lmdb.InvalidError, lmdb.CorruptedError, lmdb.VersionMismatchError)


class OpenedStore(NamedTuple):
    """An open store; `lost` tells why an unreadable file was set aside just now, or is empty."""

    environment: Any
    lost: str


def open_store(folder: Path, disk_mb: float, founding_seeds: Sequence[str] = ()) -> OpenedStore:
    """Open the store in a folder, or create it; `founding_seeds`: the seeds if this is the system's first start.

    Raise OSError or lmdb.Error if the disk refuses; a later attempt may succeed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path, map_bytes = folder / STORE_NAME, _map_bytes(disk_mb)
    lost = ""
    if path.exists():
        try:
            check_store(path)
            environment = _open(path, map_bytes)
        except UNREADABLE_ERRORS as error:
            lost = str(error)
            _create(folder, map_bytes, {LOST_KEY: lost})
            path.rename(folder / SET_ASIDE_NAME)
    elif (folder / SET_ASIDE_NAME).exists():  # power was lost after the file had been set aside
        lost = "an unreadable file was set aside"
        _create(folder, map_bytes, {LOST_KEY: lost})
    elif not _is_whole(folder / NEW_NAME):  # else power was lost before the new file had its name
        _create(folder, map_bytes, _founding_records(founding_seeds))
    if not path.exists():
        (folder / NEW_NAME).rename(path)
        _sync_folder(folder)
        environment = _open(path, map_bytes)
    _add_founding_record(environment, founding_seeds)
    return OpenedStore(environment, lost)


def _map_bytes(disk_mb: float) -> int:
    return int(min(MAX_MAP_MB, max(MIN_MAP_MB, disk_mb * MAP_FRACTION)) * BYTES_PER_MB)


def _open(path: Path, map_bytes: int) -> Any:
    """Open a file. `metasync` is off as `sync` follows each commit: a write through O_DSYNC alone may be lost."""
    return lmdb.open(
        str(path), subdir=False, map_size=map_bytes, max_dbs=0, metasync=False, sync=True, lock=False, readahead=False
    )


def commit(environment: Any, records: dict[bytes, object]) -> None:
    """Write packed records in one transaction and sync it."""
    with environment.begin(write=True) as transaction:
        for key, value in records.items():
            transaction.put(key, msgpack.packb(value))
    environment.sync(True)


def _create(folder: Path, map_bytes: int, records: dict[bytes, object]) -> None:
    """Write a new, synced file under `NEW_NAME`. One that an earlier process left is dropped."""
    path = folder / NEW_NAME
    path.unlink(missing_ok=True)
    environment = _open(path, map_bytes)
    try:
        commit(environment, records)
    finally:
        environment.close()
    with path.open("rb") as file:
        os.fsync(file.fileno())


def _is_whole(path: Path) -> bool:
    """Return whether an earlier process has left a complete new file."""
    try:
        check_store(path)
    except (DamagedStoreError, FileNotFoundError):
        return False
    return path.stat().st_size > 0


def _founding_records(seeds: Sequence[str]) -> dict[bytes, object]:
    return {FOUNDERS_KEY: sorted(seeds)} if seeds else {}


def _add_founding_record(environment: Any, seeds: Sequence[str]) -> None:
    """Make this machine a founder if its settings say so and its store has never held anything."""
    if not seeds:
        return
    with environment.begin() as transaction:
        is_empty = not transaction.cursor().first()
    if is_empty:
        commit(environment, _founding_records(seeds))


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
