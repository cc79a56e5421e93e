"""Commits changed records in batches from a dedicated thread, so that the event loop never waits for the disk.

Guarantees: records are committed in the order in which they were put, and only the latest record of each key. The
records of a failed commit are retried together with later ones. At most `max_pending` records wait at a time. Further
records are rejected and counted; the next change of the same member, reservation or fact submits it again.
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

FIRST_RETRY_S = 0.1  # delay before the first retry of a failed commit; it doubles with each failure
MAX_RETRY_S = 5.0  # maximum delay between retries


class CommitTarget(Protocol):
    """The storage that the writer commits to, such as `Store`."""

    def commit(self, bodies: Iterable[tuple[RecordKey, bytes | None]]) -> None:
        """Write records, or delete those whose body is None, in one transaction. Raises sqlite3.Error."""


class Batch(NamedTuple):
    """The records of one commit."""

    records: dict[RecordKey, bytes | None]
    last_record: int  # value of `Writer.submitted` after the batch's last record
    oldest_at: float | None  # time at which the batch's oldest change was put


class Writer:
    """A queue of records to commit, and the thread that commits them."""

    def __init__(
        self,
        store: CommitTarget,
        interval: float = 0.05,
        max_pending: int = 200_000,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the thread. `interval` is the time in seconds for which a commit waits for further records."""
        self.store = store
        self.interval = interval
        self.max_pending = max_pending
        self.clock = clock
        self.pending: dict[RecordKey, bytes | None] = {}
        self.commits = 0
        self.failures = 0
        self.rejected = 0
        self.submitted = 0  # number of records put so far
        self.committed = 0  # the first `committed` of the submitted records are on disk
        self._oldest_at: float | None = None  # time at which the oldest uncommitted change was put
        self._committing = False
        self._stopped = False
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="state", daemon=True)
        self._thread.start()

    def put(self, key: RecordKey, body: bytes | None) -> bool:
        """Queue a record, or its deletion if `body` is None; return False if the queue is full.

        The cost is one lock and one dictionary entry.
        """
        with self._condition:
            if key not in self.pending and len(self.pending) >= self.max_pending:
                self.rejected += 1
                return False
            self.pending[key] = body
            self.submitted += 1
            if self._oldest_at is None:
                self._oldest_at = self.clock()
                self._condition.notify_all()
            return True

    def capacity(self) -> int:
        """Return the number of further records that the queue accepts."""
        with self._condition:
            return max(0, self.max_pending - len(self.pending))

    def lag(self) -> float:
        """Return the age of the oldest uncommitted change in seconds, or 0 if there is none.

        A kill would lose the changes of this time.
        """
        with self._condition:
            return 0.0 if self._oldest_at is None else max(0.0, self.clock() - self._oldest_at)

    def flush(self, timeout: float) -> bool:
        """Wait until all submitted records are committed; return False on a time-out.

        This blocks, so it is meant for an orderly shutdown and not for the event loop of a serving ingress.
        """
        with self._condition:
            return self._condition.wait_for(lambda: not self.pending and not self._committing, timeout)

    def close(self, timeout: float = 1.0) -> bool:
        """Commit the queued records within `timeout` seconds and end the thread; return False if any were left."""
        done = self.flush(timeout)
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        self._thread.join(timeout)
        return done

    def _run(self) -> None:
        retry = FIRST_RETRY_S
        while self._wait_for_records():
            time.sleep(self.interval)  # let further records join the batch
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
        with self._condition:
            self._condition.wait_for(lambda: self.pending or self._stopped)
            return not self._stopped

    def _take_batch(self) -> Batch:
        with self._condition:
            batch = Batch(self.pending, self.submitted, self._oldest_at)
            self.pending = {}
            self._oldest_at = None
            self._committing = True
            return batch

    def _commit(self, batch: Batch) -> sqlite3.Error | None:
        """Commit a batch without holding the lock, so that `put` does not wait; return the error, if any."""
        try:
            self.store.commit(batch.records.items())
        except sqlite3.Error as error:
            return error
        return None

    def _record_commit(self, batch: Batch) -> None:
        with self._condition:
            self._committing = False
            self.commits += 1
            self.committed = batch.last_record
            self._condition.notify_all()

    def _wait_after_failure(self, batch: Batch, error: sqlite3.Error, retry: float) -> None:
        """Return a failed batch to the queue and wait for `retry` seconds or until the writer is stopped.

        Records that were put since then replace those of the batch with the same key.
        """
        with self._condition:
            self._committing = False
            self.failures += 1
            self.pending = {**batch.records, **self.pending}
            self._oldest_at = batch.oldest_at
            self._condition.notify_all()
            if self.failures == 1 or retry >= MAX_RETRY_S:
                log.warning("state: not committed, %d members wait: %s", len(self.pending), error)
            self._condition.wait_for(lambda: self._stopped, retry)
