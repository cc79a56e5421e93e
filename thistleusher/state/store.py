"""The state folder: one SQLite file in WAL mode, locked by one process.

Why SQLite: its own recovery cuts off a torn tail, a full disk is an error and not a half-written record, and
`max_page_count` bounds the size; its pages have no checksums, so records have their own (`records`). What a loss of
power may cost is the sync mode: `off` (what the system had not written), `normal` (the commits since the last
checkpoint), `full` (nothing that was committed). A kill of the process costs the same under all three: what was not
committed.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Final, Literal, NamedTuple, TypeVar

from thistleusher.core.snapshots import Learned
from thistleusher.state.records import (
    FORMAT,
    EndpointListRecord,
    IncarnationRecord,
    MemberRecord,
    RecordError,
    ReservationRecord,
    decode_endpoint_list,
    decode_incarnation,
    decode_learned,
    decode_member,
    decode_reservation,
    encode,
)

SYNC_MODES = ("off", "normal", "full")
PAGE_BYTES = 4096
MIN_PAGES = 16
DATABASE_FILE = "state.db"
LOCK_FILE = "lock"
# The tables' names are part of the format.
INCARNATION_TABLE = "life"
MEMBER_TABLE: Final = "member"
RESERVATION_TABLE: Final = "room"
FACT_TABLE: Final = "fact"
INCARNATIONS_KEPT = 8
INCARNATIONS_READ = 4  # at most, until one is readable
MIN_INCARNATION_GAP_S = 0.001
T = TypeVar("T")


class RecordKey(NamedTuple):
    """Where a record is stored: its table and its key there."""

    table: Literal["member", "room", "fact"]
    key: int


LEARNED_KEY = RecordKey(FACT_TABLE, 1)
ENDPOINT_LIST_KEY = RecordKey(FACT_TABLE, 2)


class StateFolderError(Exception):
    """Why a folder cannot be used, in one line that names it."""


class Store:
    """One ingress's state folder, locked while it is open. Not for use by two threads at once.

    `previous` is the last incarnation that the folder knows, `is_copy` whether the folder was copied from another
    ingress's, `corrupt_records` the number of records that could not be read so far.
    """

    def __init__(
        self, folder: str | Path, name: str | None, sync: str = "normal", max_bytes: float = 256 << 20
    ) -> None:
        """Open or create the folder of the ingress `name` (None: of any) and lock it.

        `max_bytes` bounds the file; a commit beyond it fails. Raises StateFolderError where the folder cannot be used.
        """
        self.folder = Path(folder)
        if sync not in SYNC_MODES:
            raise StateFolderError(f"{folder}: sync: expected one of {', '.join(SYNC_MODES)}, got {sync!r}")
        self._lock = self._acquire_lock()
        try:
            self._open(name, sync, max_bytes)
        except BaseException as error:
            self.close()
            if isinstance(error, sqlite3.Error):
                raise StateFolderError(f"{self.folder / DATABASE_FILE}: {error}") from error
            raise

    @classmethod
    def existing(cls, folder: str | Path) -> Store:
        """Open a folder that exists, of any ingress; raises StateFolderError where there is none."""
        if not (Path(folder) / DATABASE_FILE).is_file():
            raise StateFolderError(f"{folder}: no state folder: {DATABASE_FILE} is not there")
        return cls(folder, None)

    def _acquire_lock(self) -> int:
        """Return the descriptor of the lock file, locked by this process."""
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StateFolderError(f"{self.folder}: {error.strerror}") from error
        owner = os.fstat(lock).st_uid
        if owner != os.geteuid():
            os.close(lock)
            raise StateFolderError(f"{self.folder}: it is user {owner}'s, this is user {os.geteuid()}")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise StateFolderError(f"{self.folder}: another process holds it") from None
        return lock

    def _open(self, name: str | None, sync: str, max_bytes: float) -> None:
        path = self.folder / DATABASE_FILE
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={sync}")
        self.db.execute(f"PRAGMA max_page_count={max(MIN_PAGES, int(max_bytes / PAGE_BYTES))}")
        self.db.execute(f"CREATE TABLE IF NOT EXISTS {INCARNATION_TABLE} (number INTEGER PRIMARY KEY, body BLOB)")
        for table in (MEMBER_TABLE, RESERVATION_TABLE, FACT_TABLE):
            self.db.execute(f"CREATE TABLE IF NOT EXISTS {table} (key INTEGER PRIMARY KEY, body BLOB)")
        self.corrupt_records = 0
        self.current: IncarnationRecord | None = None  # of this process, once it has started
        self.previous = self._read_last_incarnation()
        if self.previous is not None:
            self._check_previous(self.previous, name)
        self._inode = path.stat().st_ino
        # A copy holds all that its original holds: the original may be alive, and write back the same units.
        self.is_copy = self.previous is not None and self.previous.inode != self._inode

    def _check_previous(self, previous: IncarnationRecord, name: str | None) -> None:
        path = self.folder / DATABASE_FILE
        if previous.format > FORMAT:
            raise StateFolderError(f"{path}: format {previous.format}, this program reads up to {FORMAT}")
        if name is not None and previous.name != name:
            raise StateFolderError(f"{path}: it is of ingress {previous.name!r}, this is {name!r}")

    def _read_last_incarnation(self) -> IncarnationRecord | None:
        newest = f"SELECT number, body FROM {INCARNATION_TABLE} ORDER BY number DESC LIMIT {INCARNATIONS_READ}"
        for _, body in self.db.execute(newest):
            try:
                return decode_incarnation(body)
            except RecordError:
                self.corrupt_records += 1
        return None

    def start_incarnation(self, name: str, now: float) -> IncarnationRecord:
        """Record that an incarnation has started, and return it.

        Its number and its start are above those of all before, whatever the clock says. Its predecessor's reservations
        are deleted in the same commit: this incarnation may spend them, and none after it may count on them.
        """
        previous = self.previous
        number = (previous.number if previous else 0) + self.corrupt_records + 1
        started_at = max(now, previous.started_at + MIN_INCARNATION_GAP_S) if previous else now
        incarnation = IncarnationRecord(name, number, started_at, self._inode)
        self._transaction(
            [
                (f"INSERT OR REPLACE INTO {INCARNATION_TABLE} VALUES (?, ?)", (number, encode(incarnation))),
                (f"DELETE FROM {INCARNATION_TABLE} WHERE number < ?", (number - INCARNATIONS_KEPT,)),
                (f"DELETE FROM {RESERVATION_TABLE}", ()),
            ]
        )
        self.current = incarnation
        return incarnation

    def record_shutdown(self, now: float) -> None:
        """Record that the current incarnation has ended in order, with all of its changes committed."""
        current = self.current
        if current is None:
            return
        ended = IncarnationRecord(
            current.name,
            current.number,
            current.started_at,
            current.inode,
            current.format,
            max(now, current.started_at),
        )
        statement = f"INSERT OR REPLACE INTO {INCARNATION_TABLE} VALUES (?, ?)"
        self._transaction([(statement, (current.number, encode(ended)))])

    def _readable(self, table: str, decode: Callable[[bytes], T]) -> Iterator[T]:
        for (body,) in self.db.execute(f"SELECT body FROM {table}"):
            try:
                yield decode(body)
            except RecordError:
                self.corrupt_records += 1

    def members(self) -> Iterator[MemberRecord]:
        """Yield the members that can be read; the others are counted in `corrupt_records`."""
        return self._readable(MEMBER_TABLE, decode_member)

    def reservations(self) -> Iterator[ReservationRecord]:
        """Yield the predecessor's reservations that can be read; to be called before `start_incarnation`."""
        return self._readable(RESERVATION_TABLE, decode_reservation)

    def learned(self) -> Learned | None:
        """Return what an earlier incarnation had learned of backends; None where nothing can be read."""
        return next(self._readable(f"{FACT_TABLE} WHERE key = {LEARNED_KEY.key}", decode_learned), None)

    def endpoint_list(self) -> EndpointListRecord | None:
        """Return the last list of servers; None where nothing can be read."""
        return next(self._readable(f"{FACT_TABLE} WHERE key = {ENDPOINT_LIST_KEY.key}", decode_endpoint_list), None)

    def integrity_errors(self) -> str:
        """Return the damage to the file's own structure in one line; empty where there is none. Reads all of it."""
        try:
            found = "; ".join(row[0] for row in self.db.execute("PRAGMA quick_check(3)"))
        except sqlite3.DatabaseError as error:
            return str(error)
        return "" if found == "ok" else " ".join(found.split())

    def commit(self, bodies: Iterable[tuple[RecordKey, bytes | None]]) -> None:
        """Write records, or delete those whose body is None, all or nothing.

        Raises sqlite3.Error where the disk does not take them.
        """
        self._transaction(
            (f"DELETE FROM {table} WHERE key = ?", (key,))
            if body is None
            else (f"INSERT OR REPLACE INTO {table} VALUES (?, ?)", (key, body))
            for (table, key), body in bodies
        )

    def _transaction(self, steps: Iterable[tuple[str, tuple[object, ...]]]) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        try:
            for statement, values in steps:
                self.db.execute(statement, values)
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def close(self) -> None:
        """Close the file and release the folder. A second call does nothing."""
        db = getattr(self, "db", None)  # absent where opening it failed
        if db is not None:
            db.close()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
