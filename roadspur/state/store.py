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
from collections.abc import Iterable, Iterator
from pathlib import Path

from roadspur.state.records import FORMAT, BadRecord, Life, Member, pack, read_life, read_member

SYNCS = ("off", "normal", "full")
PAGE = 4096
FILE, LOCK = "state.db", "lock"


class BadState(Exception):
    """Why a folder cannot be used, in one line that names it."""


class Store:
    """`most_mb`: bound of the file; what does not fit is an error of the commit. Not for use by two threads at once."""

    def __init__(self, folder: str | Path, name: str, sync: str = "normal", most_mb: float = 256.0) -> None:
        """Open or make the folder of the ingress `name`, and hold it. BadState says what keeps it from being used."""
        self.folder = Path(folder)
        if sync not in SYNCS:
            raise BadState(f"{folder}: sync: expected one of {', '.join(SYNCS)}, got {sync!r}")
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise BadState(f"{folder}: {error.strerror}") from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise BadState(f"{folder}: another process holds it") from None
        try:
            self._open(name, sync, most_mb)
        except BaseException as error:
            self.close()
            if isinstance(error, sqlite3.Error):
                raise BadState(f"{self.folder / FILE}: {error}") from error
            raise

    def _open(self, name: str, sync: str, most_mb: float) -> None:
        path = self.folder / FILE
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={sync}")
        self.db.execute(f"PRAGMA max_page_count={max(16, int(most_mb * 1024 * 1024 / PAGE))}")
        self.db.execute("CREATE TABLE IF NOT EXISTS life (number INTEGER PRIMARY KEY, body BLOB)")
        self.db.execute("CREATE TABLE IF NOT EXISTS member (key INTEGER PRIMARY KEY, body BLOB)")
        self.spoilt = 0  # records that could not be read
        self.before = self._last_life()
        if self.before is not None and self.before.format > FORMAT:
            raise BadState(f"{path}: format {self.before.format}, this program reads up to {FORMAT}")
        if self.before is not None and self.before.name != name:
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
        """Note that a life begins: by number and by time after all before, whatever the clock says."""
        last = self.before
        number = (last.number if last else 0) + self.spoilt + 1
        life = Life(name, number, max(now, last.began + 0.001 if last else now), self.inode)
        self.db.execute("INSERT OR REPLACE INTO life VALUES (?, ?)", (number, pack(life)))
        self.db.execute("DELETE FROM life WHERE number < ?", (number - 8,))
        return life

    def members(self) -> Iterator[Member]:
        """All that can be read; the rest is counted in `spoilt`."""
        for (body,) in self.db.execute("SELECT body FROM member"):
            try:
                yield read_member(body)
            except BadRecord:
                self.spoilt += 1

    def commit(self, bodies: Iterable[tuple[int, bytes | None]]) -> None:
        """Write records, or delete those of None, all or nothing. sqlite3.Error where the disk will not take them."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            for key, body in bodies:
                if body is None:
                    self.db.execute("DELETE FROM member WHERE key = ?", (key,))
                else:
                    self.db.execute("INSERT OR REPLACE INTO member VALUES (?, ?)", (key, body))
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
