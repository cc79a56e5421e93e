"""Commits what changed from a thread of its own, in groups: the event loop hands over and never waits.

Guaranteed: what was handed over is committed, in the order of commits, the latest record of a slot only; what a
commit that failed held is tried again, behind what came since. Bounded: `most` records wait at a time; beyond that a
further one is turned away and counted, and its next change brings it again.
"""

from __future__ import annotations

import logging
import sqlite3
import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from thistleusher.state.store import Slot

log = logging.getLogger(__name__)

RETRY_S = (0.1, 5.0)  # between tries of a commit that failed: at first, and at most


class Commits(Protocol):
    """What the writer writes to."""

    def commit(self, bodies: Iterable[tuple[Slot, bytes | None]]) -> None: ...


class Writer:
    """`every`: seconds between commits."""

    def __init__(
        self, store: Commits, every: float = 0.05, most: int = 200_000, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.store, self.every, self.most, self.clock = store, every, most, clock
        self.waiting: dict[Slot, bytes | None] = {}
        self.commits = self.failures = self.turned_away = 0
        self.handed = self.committed = 0  # records handed over so far; how many of the first of them are on disk
        self.since: float | None = None  # when the oldest change that is not committed was handed over
        self.busy = self.stopped = False
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="state", daemon=True)
        self.thread.start()

    def put(self, key: Slot, body: bytes | None) -> bool:
        """Hand over a record, None to forget it. False where too many wait. Costs a lock and an entry."""
        with self.changed:
            if key not in self.waiting and len(self.waiting) >= self.most:
                self.turned_away += 1
                return False
            self.waiting[key] = body
            self.handed += 1
            if self.since is None:
                self.since = self.clock()
                self.changed.notify_all()
            return True

    def room(self) -> int:
        """Records that may be handed over now without one being turned away."""
        with self.changed:
            return max(0, self.most - len(self.waiting))

    def behind(self) -> float:
        """Seconds that the oldest change has waited; 0 with none. This is what a kill would lose."""
        with self.changed:
            return 0.0 if self.since is None else max(0.0, self.clock() - self.since)

    def flush(self, timeout: float) -> bool:
        """Wait until all that was handed over is committed; for an end in order, not for the loop in service."""
        with self.changed:
            return self.changed.wait_for(lambda: not self.waiting and not self.busy, timeout)

    def close(self, timeout: float = 1.0) -> bool:
        """Commit what waits, within the time, and end the thread. False where something was left."""
        done = self.flush(timeout)
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        self.thread.join(timeout)
        return done

    def _run(self) -> None:
        wait = RETRY_S[0]
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.waiting or self.stopped)
                if self.stopped:
                    return
            time.sleep(self.every)  # others join the group
            with self.changed:
                batch, self.waiting, self.busy = self.waiting, {}, True
                up_to = self.handed
                began, self.since = self.since, None
            try:
                self.store.commit(batch.items())
                wait, failed = RETRY_S[0], None
            except sqlite3.Error as error:
                failed = error
            with self.changed:
                self.busy = False
                if failed is None:
                    self.commits += 1
                    self.committed = up_to
                else:
                    self.failures += 1
                    self.waiting = {**batch, **self.waiting}
                    self.since = began
                self.changed.notify_all()
                if failed is not None:
                    if self.failures == 1 or wait >= RETRY_S[1]:
                        log.warning("state: not committed, %d members wait: %s", len(self.waiting), failed)
                    self.changed.wait_for(lambda: self.stopped, wait)
                    wait = min(RETRY_S[1], 2 * wait)
