"""The state folder: one SQLite file in WAL mode, locked by one process.

Reasons for SQLite: its recovery truncates a torn tail, a full disk raises an error instead of leaving a partly written
record, and `max_page_count` bounds the file's size. Its pages have no checksums, so records have their own (`records`).
The sync mode determines what a power failure may lose: everything that the operating system had not written (`off`),
the commits since the last checkpoint (`normal`), or nothing that was committed (`full`). A kill of the process loses
uncommitted changes only, in every sync mode.
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
# The names of the tables are part of the format.
INCARNATION_TABLE = "life"
MEMBER_TABLE: Final = "member"
RESERVATION_TABLE: Final = "room"
FACT_TABLE: Final = "fact"
INCARNATIONS_KEPT = 8  # older records are deleted at each start
INCARNATIONS_READ = 4  # maximum number of records tried, newest first, until one is readable
MIN_INCARNATION_GAP_S = 0.001  # minimum difference between the recorded starts of two incarnations
T = TypeVar("T")


class RecordKey(NamedTuple):
    """The table of a record and its key in that table."""

    table: Literal["member", "room", "fact"]
    key: int


LEARNED_KEY = RecordKey(FACT_TABLE, 1)
ENDPOINT_LIST_KEY = RecordKey(FACT_TABLE, 2)


class StateFolderError(Exception):
    """A folder cannot be used. The message is one line that names the folder."""


class Store:
    """One ingress's state folder, locked while it is open. Not thread-safe.

    `previous` is the last recorded incarnation, `is_copy` tells whether the folder is a copy of another one, and
    `corrupt_records` is the number of records that could not be read so far.
    """

    def __init__(
        self, folder: str | Path, name: str | None, sync: str = "normal", max_bytes: float = 256 << 20
    ) -> None:
        """Open or create the folder of the ingress `name` (None: of any ingress) and lock it.

        `max_bytes` is the maximum size of the database file; a commit that exceeds it fails. Raises StateFolderError if
        the folder cannot be used.
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
    def open_existing(cls, folder: str | Path) -> Store:
        """Open an existing folder of any ingress. Raises StateFolderError if it has no database file."""
        if not (Path(folder) / DATABASE_FILE).is_file():
            raise StateFolderError(f"{folder}: not a state folder: {DATABASE_FILE} does not exist")
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
            raise StateFolderError(f"{self.folder}: owned by user {owner}, but this process runs as {os.geteuid()}")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise StateFolderError(f"{self.folder}: locked by another process") from None
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
        self.current: IncarnationRecord | None = None  # this process's incarnation, set by `start_incarnation`
        self.previous = self._read_last_incarnation()
        if self.previous is not None:
            self._check_previous(self.previous, name)
        self._inode = path.stat().st_ino
        # The original of a copied folder may still be running and write back the same units.
        self.is_copy = self.previous is not None and self.previous.inode != self._inode

    def _check_previous(self, previous: IncarnationRecord, name: str | None) -> None:
        path = self.folder / DATABASE_FILE
        if previous.format > FORMAT:
            raise StateFolderError(f"{path}: format {previous.format} is newer than the supported format {FORMAT}")
        if name is not None and previous.name != name:
            raise StateFolderError(f"{path}: belongs to ingress {previous.name!r}, but this ingress is {name!r}")

    def _read_last_incarnation(self) -> IncarnationRecord | None:
        newest = f"SELECT number, body FROM {INCARNATION_TABLE} ORDER BY number DESC LIMIT {INCARNATIONS_READ}"
        for _, body in self.db.execute(newest):
            try:
                return decode_incarnation(body)
            except RecordError:
                self.corrupt_records += 1
        return None

    def start_incarnation(self, name: str, now: float) -> IncarnationRecord:
        """Record the start of an incarnation and return its record.

        Its number and its start time are above those of all earlier incarnations, even if the clock was set back. The
        predecessor's reservations are deleted in the same commit: this incarnation may spend them, so no later one may
        rely on them.
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
        """Record an orderly shutdown of the current incarnation, with all of its changes committed."""
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

    def _readable_records(self, table: str, decode: Callable[[bytes], T]) -> Iterator[T]:
        for (body,) in self.db.execute(f"SELECT body FROM {table}"):
            try:
                yield decode(body)
            except RecordError:
                self.corrupt_records += 1

    def members(self) -> Iterator[MemberRecord]:
        """Yield the readable members. Unreadable records are counted in `corrupt_records`."""
        return self._readable_records(MEMBER_TABLE, decode_member)

    def reservations(self) -> Iterator[ReservationRecord]:
        """Yield the predecessor's readable reservations. Call this before `start_incarnation`, which deletes them."""
        return self._readable_records(RESERVATION_TABLE, decode_reservation)

    def learned(self) -> Learned | None:
        """Return an earlier incarnation's measurements of the backends, or None if there is no readable record."""
        return next(self._readable_records(f"{FACT_TABLE} WHERE key = {LEARNED_KEY.key}", decode_learned), None)

    def endpoint_list(self) -> EndpointListRecord | None:
        """Return the last endpoint list, or None if there is no readable record."""
        return next(
            self._readable_records(f"{FACT_TABLE} WHERE key = {ENDPOINT_LIST_KEY.key}", decode_endpoint_list), None
        )

    def integrity_errors(self) -> str:
        """Return damage to the structure of the database file, in one line that is empty if there is none.

        Reads the entire file.
        """
        try:
            found = "; ".join(row[0] for row in self.db.execute("PRAGMA quick_check(3)"))
        except sqlite3.DatabaseError as error:
            return str(error)
        return "" if found == "ok" else " ".join(found.split())

    def commit(self, bodies: Iterable[tuple[RecordKey, bytes | None]]) -> None:
        """Write records, or delete those whose body is None, in one transaction.

        Raises sqlite3.Error if the records cannot be written.
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
        """Close the file and unlock the folder. A second call does nothing."""
        db = getattr(self, "db", None)  # not set if opening the database failed
        if db is not None:
            db.close()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
