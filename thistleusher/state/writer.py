"""Commits changed records from a thread of its own, in groups: the event loop hands them over and never waits.

Guaranteed: what was put is committed in order, the latest record of a key only; records of a failed commit are retried
together with what was put since. Bounded: at most `max_pending` records wait at a time. One beyond that is rejected and
counted, and the next change of the same thing brings it again.
"""

from __future__ import annotations

import logging
import sqlite3
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from thistleusher.state.store import RecordKey

log = logging.getLogger(__name__)

FIRST_RETRY_S = 0.1  # after a commit that failed
MAX_RETRY_S = 5.0


class CommitTarget(Protocol):
    """What the writer writes to; `Store` is one."""

    def commit(self, bodies: Iterable[tuple[RecordKey, bytes | None]]) -> None:
        """Write records, or delete those whose body is None, all or nothing; raises sqlite3.Error."""


class Batch(NamedTuple):
    """What one commit writes."""

    records: dict[RecordKey, bytes | None]
    last: int  # number of the last record in it, as `Writer.submitted` counts
    oldest_at: float | None  # when its oldest change was put


class Writer:
    """Queue of records to commit, and the thread that commits them."""

    def __init__(
        self,
        store: CommitTarget,
        interval: float = 0.05,
        max_pending: int = 200_000,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the thread; `interval`: seconds that a commit waits for others to join it."""
        self.store = store
        self.interval = interval
        self.max_pending = max_pending
        self.clock = clock
        self.pending: dict[RecordKey, bytes | None] = {}
        self.commits = 0
        self.failures = 0
        self.rejected = 0
        self.submitted = 0  # records put so far
        self.committed = 0  # how many of the first of them are on disk
        self._oldest_at: float | None = None  # when the oldest change that is not committed was put
        self._committing = False
        self._stopped = False
        self._changed = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="state", daemon=True)
        self._thread.start()

    def put(self, key: RecordKey, body: bytes | None) -> bool:
        """Queue a record, None to delete it; return False where too many wait. Costs a lock and an entry."""
        with self._changed:
            if key not in self.pending and len(self.pending) >= self.max_pending:
                self.rejected += 1
                return False
            self.pending[key] = body
            self.submitted += 1
            if self._oldest_at is None:
                self._oldest_at = self.clock()
                self._changed.notify_all()
            return True

    def capacity(self) -> int:
        """Return how many records may be put now without one being rejected."""
        with self._changed:
            return max(0, self.max_pending - len(self.pending))

    def lag(self) -> float:
        """Return the seconds that the oldest change has waited, 0 with none: what a kill would lose."""
        with self._changed:
            return 0.0 if self._oldest_at is None else max(0.0, self.clock() - self._oldest_at)

    def flush(self, timeout: float) -> bool:
        """Wait until all that was put is committed; for an orderly shutdown, not for the event loop in service."""
        with self._changed:
            return self._changed.wait_for(lambda: not self.pending and not self._committing, timeout)

    def close(self, timeout: float = 1.0) -> bool:
        """Commit what waits, within the time, and end the thread; return False where something was left."""
        done = self.flush(timeout)
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._thread.join(timeout)
        return done

    def _run(self) -> None:
        retry = FIRST_RETRY_S
        while self._wait_for_records():
            time.sleep(self.interval)  # others join the group
            batch = self._take_batch()
            error = self._commit(batch)
            if error is None:
                retry = FIRST_RETRY_S
                self._record_commit(batch)
            else:
                self._wait_after_failure(batch, error, retry)
                retry = min(MAX_RETRY_S, 2 * retry)

    def _wait_for_records(self) -> bool:
        """Return True once there are records to commit, False once the writer is stopped."""
        with self._changed:
            self._changed.wait_for(lambda: self.pending or self._stopped)
            return not self._stopped

    def _take_batch(self) -> Batch:
        with self._changed:
            batch = Batch(self.pending, self.submitted, self._oldest_at)
            self.pending = {}
            self._oldest_at = None
            self._committing = True
            return batch

    def _commit(self, batch: Batch) -> sqlite3.Error | None:
        """Commit outside of the lock, so that `put` does not wait for the disk."""
        try:
            self.store.commit(batch.records.items())
        except sqlite3.Error as error:
            return error
        return None

    def _record_commit(self, batch: Batch) -> None:
        with self._changed:
            self._committing = False
            self.commits += 1
            self.committed = batch.last
            self._changed.notify_all()

    def _wait_after_failure(self, batch: Batch, error: sqlite3.Error, retry: float) -> None:
        """Put the batch back behind what came since, and wait `retry` seconds or until the writer is stopped."""
        with self._changed:
            self._committing = False
            self.failures += 1
            self.pending = {**batch.records, **self.pending}
            self._oldest_at = batch.oldest_at
            self._changed.notify_all()
            if self.failures == 1 or retry >= MAX_RETRY_S:
                log.warning("state: not committed, %d members wait: %s", len(self.pending), error)
            self._changed.wait_for(lambda: self._stopped, retry)
