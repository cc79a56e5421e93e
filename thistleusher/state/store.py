"""The folder: one SQLite file in WAL mode, held by one process.

Why SQLite: a torn tail is cut off by its own recovery, a full disk is an error and not a half-written record, the
size is bounded by `max_page_count`; its pages have no checksums, so records have their own (`records`). How much a
loss of power may cost is the sync policy: `off` (what the system had not written), `normal` (the commits since the
last checkpoint), `full` (nothing that was committed). A kill of the process costs the same under all three: what was
not committed.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Literal, TypeVar

from thistleusher.core.snapshots import Learned
from thistleusher.state.records import (
    FORMAT,
    BadRecord,
    Life,
    Listed,
    Member,
    Room,
    pack,
    read_learned,
    read_life,
    read_listed,
    read_member,
    read_room,
)

SYNCS = ("off", "normal", "full")
PAGE = 4096
FILE, LOCK = "state.db", "lock"
Slot = tuple[Literal["member", "room", "fact"], int]  # table and key of a record
LEARNED: Slot = ("fact", 1)
LISTED: Slot = ("fact", 2)
T = TypeVar("T")


class BadState(Exception):
    """Why a folder cannot be used, in one line that names it."""


class Store:
    """`most`: bytes of the file; what does not fit is an error of the commit. Not for use by two threads at once."""

    def __init__(self, folder: str | Path, name: str | None, sync: str = "normal", most: float = 256 << 20) -> None:
        """Open or make the folder of the ingress `name` (None: of any), and hold it.

        BadState says what keeps it from being used.
        """
        self.folder = Path(folder)
        if sync not in SYNCS:
            raise BadState(f"{folder}: sync: expected one of {', '.join(SYNCS)}, got {sync!r}")
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise BadState(f"{folder}: {error.strerror}") from error
        owner = os.fstat(self._lock).st_uid
        if owner != os.geteuid():
            os.close(self._lock)
            raise BadState(f"{folder}: it is user {owner}'s, this is user {os.geteuid()}")
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise BadState(f"{folder}: another process holds it") from None
        try:
            self._open(name, sync, most)
        except BaseException as error:
            self.close()
            if isinstance(error, sqlite3.Error):
                raise BadState(f"{self.folder / FILE}: {error}") from error
            raise

    @classmethod
    def existing(cls, folder: str | Path) -> Store:
        """A folder that is there, to be looked at; BadState where there is none."""
        if not (Path(folder) / FILE).is_file():
            raise BadState(f"{folder}: no state folder: {FILE} is not there")
        return cls(folder, None)

    def _open(self, name: str | None, sync: str, most: float) -> None:
        path = self.folder / FILE
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={sync}")
        self.db.execute(f"PRAGMA max_page_count={max(16, int(most / PAGE))}")
        self.db.execute("CREATE TABLE IF NOT EXISTS life (number INTEGER PRIMARY KEY, body BLOB)")
        for table in ("member", "room", "fact"):
            self.db.execute(f"CREATE TABLE IF NOT EXISTS {table} (key INTEGER PRIMARY KEY, body BLOB)")
        self.spoilt = 0  # records that could not be read
        self.life: Life | None = None  # that has begun here
        self.before = self._last_life()
        if self.before is not None and self.before.format > FORMAT:
            raise BadState(f"{path}: format {self.before.format}, this program reads up to {FORMAT}")
        if self.before is not None and name is not None and self.before.name != name:
            raise BadState(f"{path}: it is of ingress {self.before.name!r}, this is {name!r}")
        self.inode = path.stat().st_ino
        # Copied with all that is in it: the one it was copied from may live, and write back the same units.
        self.twin = self.before is not None and self.before.inode != self.inode

    def _last_life(self) -> Life | None:
        for _, body in self.db.execute("SELECT number, body FROM life ORDER BY number DESC LIMIT 4"):
            try:
                return read_life(body)
            except BadRecord:
                self.spoilt += 1
        return None

    def begin(self, name: str, now: float) -> Life:
        """Note that a life begins: by number and by time after all before, whatever the clock says.

        Its predecessor's rooms go in the same commit: this life may spend them, and none after it may count on them.
        """
        last = self.before
        number = (last.number if last else 0) + self.spoilt + 1
        life = Life(name, number, max(now, last.began + 0.001 if last else now), self.inode)
        self._all_or_nothing(
            [
                ("INSERT OR REPLACE INTO life VALUES (?, ?)", (number, pack(life))),
                ("DELETE FROM life WHERE number < ?", (number - 8,)),
                ("DELETE FROM room", ()),
            ]
        )
        self.life = life
        return life

    def end(self, now: float) -> None:
        """Note that the life has ended in order, with all of its changes committed."""
        life = self.life
        if life is not None:
            ended = Life(life.name, life.number, life.began, life.inode, life.format, max(now, life.began))
            self._all_or_nothing([("INSERT OR REPLACE INTO life VALUES (?, ?)", (life.number, pack(ended)))])

    def _readable(self, table: str, read: Callable[[bytes], T]) -> Iterator[T]:
        for (body,) in self.db.execute(f"SELECT body FROM {table}"):
            try:
                yield read(body)
            except BadRecord:
                self.spoilt += 1

    def members(self) -> Iterator[Member]:
        """All that can be read; the rest is counted in `spoilt`."""
        return self._readable("member", read_member)

    def rooms(self) -> Iterator[Room]:
        """All that can be read; the rest is counted in `spoilt`. Before `begin`."""
        return self._readable("room", read_room)

    def learned(self) -> Learned | None:
        """What an earlier life had learned; None where there is nothing to be read."""
        return next(self._readable(f"fact WHERE key = {LEARNED[1]}", read_learned), None)

    def listed(self) -> Listed | None:
        """The last list of servers; None where there is nothing to be read."""
        return next(self._readable(f"fact WHERE key = {LISTED[1]}", read_listed), None)

    def damage(self) -> str:
        """What the file's own structure is damaged by, in one line; empty where it is whole. Reads all of it."""
        try:
            found = "; ".join(row[0] for row in self.db.execute("PRAGMA quick_check(3)"))
        except sqlite3.DatabaseError as error:
            return str(error)
        return "" if found == "ok" else " ".join(found.split())

    def commit(self, bodies: Iterable[tuple[Slot, bytes | None]]) -> None:
        """Write records, or delete those of None, all or nothing. sqlite3.Error where the disk will not take them."""
        self._all_or_nothing(
            (f"DELETE FROM {table} WHERE key = ?", (key,))
            if body is None
            else (f"INSERT OR REPLACE INTO {table} VALUES (?, ?)", (key, body))
            for (table, key), body in bodies
        )

    def _all_or_nothing(self, steps: Iterable[tuple[str, tuple[object, ...]]]) -> None:
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
        """Let the folder go. A second time does nothing."""
        db = getattr(self, "db", None)
        if db is not None:
            db.close()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
