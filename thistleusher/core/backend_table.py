"""The backends of the endpoint list, with this ingress's state of each."""

from __future__ import annotations

import random

from thistleusher.core import events
from thistleusher.core.backend_record import Backend, OutstandingAttempt
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.snapshots import LearnedBackend


class BackendTable(dict[str, Backend]):
    """Backends by id. A backend that has left the list is kept while it has outstanding attempts."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.outstanding = 0  # this ingress's outstanding attempts
        self.load = 0.0  # work of the outstanding attempts, except at silent backends
        self.restored: dict[str, LearnedBackend] = {}  # saved state, until the list names the backend

    def started(self, backend: Backend, request: str, attempt: OutstandingAttempt) -> None:
        """Record an attempt that starts."""
        backend.start(request, attempt)
        self.outstanding += 1
        if not backend.silent:
            self.load += attempt.work

    def finished(self, backend: Backend, request: str) -> OutstandingAttempt | None:
        """Remove and return the attempt that has ended, or None if none was outstanding."""
        attempt = backend.finish(request)
        if attempt is not None:
            self.outstanding -= 1
            if not backend.silent:
                self.load = max(0.0, self.load - attempt.work) if self.outstanding else 0.0
        return attempt

    def mark_silent(self, backend: Backend) -> None:
        """Mark a backend silent, so that its outstanding attempts take no slots."""
        if not backend.silent:
            backend.silent = True
            backend.unanswered = 0.0
            self.load = max(0.0, self.load - backend.work)

    def mark_answered(self, now: float, backend: Backend) -> None:
        """Record a sign of life from a backend. Its outstanding attempts take slots again."""
        backend.last_answered = now
        backend.unanswered = 0.0
        if backend.silent:
            backend.silent = False
            self.load += backend.work

    def apply_list_update(self, now: float, event: events.ListUpdate) -> None:
        """Apply an endpoint list, or a change to it."""
        for backend in self.values():
            backend.usable = backend.usable and event.kind is ListKind.CHANGE
        for entry in event.entries:
            backend = self._backend_of(now, entry)
            backend.entry = entry
            backend.usable = entry.phase is Phase.RUNNING
        if event.kind is not ListKind.CHANGE:
            for name in self.keys() - {entry.backend for entry in event.entries}:
                self[name].entry = self[name].entry._replace(phase=Phase.DELETED)
        for name, backend in list(self.items()):
            if backend.entry.phase is Phase.DELETED and not backend.outstanding:
                del self[name]

    def _backend_of(self, now: float, entry: BackendEntry) -> Backend:
        """Return the backend of an entry. Create it if the backend is new or its process has restarted."""
        known = self.get(entry.backend)
        if known is not None and entry.born == known.entry.born:
            return known
        new = self[entry.backend] = Backend(entry, now, self.rng.random())
        if known is not None:
            new.outstanding = known.outstanding
            new.work = known.work
            new.silent = known.silent
        learned = self.restored.pop(entry.backend, None)
        if learned is not None and learned.born == entry.born:
            new.restore(learned)
        return new
