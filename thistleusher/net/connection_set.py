"""The open connections of one server, and which of them makes room for a new one.

Beyond the limit, a connection goes whose last response is written and which waits for its client to close; then an idle
one is closed: first one that never sent a request, then the least recently active. If there is none, a few more are
taken in and answered 503 once their request is whole, since closing a connection without a response may lose the
request. Beyond those as well, the connection whose first request has been incomplete for longest is closed: an ordinary
client's request comes at once. If there is none, the new connection is closed unread.

Cost: all connections are looked at once per `BATCH` that are found, and once per turn of the loop if there are fewer.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thistleusher.net.client_connection import ClientConnection

BATCH = 64  # Upper bound of the candidates that one search finds.
DEFAULT_MAX_SURPLUS = 32


class ConnectionSet:
    """Holds the open connections."""

    def __init__(
        self, clock: Callable[[], float], max_connections: int, max_surplus: int = DEFAULT_MAX_SURPLUS
    ) -> None:
        """`clock`: the loop's, which stands still in a turn. `max_surplus`: how many beyond the limit are answered."""
        self.max_connections = max_connections
        self.max_surplus = max_surplus
        self.open: set[ClientConnection] = set()
        self._answered = _Candidates(clock, self.open, lambda each: each.is_answered())
        self._idle = _Candidates(clock, self.open, lambda each: each.is_idle())
        self._incomplete = _Candidates(clock, self.open, lambda each: each.awaits_first_request())

    def add(self, connection: ClientConnection) -> bool:
        """Add a new connection; return False if it has to be closed unread."""
        if len(self.open) >= self.max_connections:
            self._make_room(connection)
        if len(self.open) >= self.max_connections + self.max_surplus:
            oldest = self._incomplete.next()
            if oldest is None:
                return False
            self._abort(oldest)
        self.open.add(connection)
        return True

    def _make_room(self, connection: ClientConnection) -> None:
        answered = self._answered.next()
        if answered is not None:
            self._abort(answered)
            return
        idle = self._idle.next()
        if idle is not None:
            idle.close()
        else:
            connection.over_limit = True

    def _abort(self, connection: ClientConnection) -> None:
        connection.abort()
        self.open.discard(connection)


class _Candidates:
    """Connections in the order in which they are to be closed, found in batches."""

    def __init__(
        self,
        clock: Callable[[], float],
        connections: set[ClientConnection],
        fits: Callable[[ClientConnection], bool],
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._fits = fits
        self._found: deque[ClientConnection] = deque()
        self._exhausted_at = float("-inf")  # time of the last search that found fewer than `BATCH`

    def next(self) -> ClientConnection | None:
        """Return the next open connection that fits, or None."""
        found = next(self._fitting(), None)
        if found is None and self._clock() > self._exhausted_at:
            self._search()
            found = next(self._fitting(), None)
        return found

    def _search(self) -> None:
        fitting = (each for each in self._connections if self._fits(each))
        self._found.extend(heapq.nsmallest(BATCH, fitting, key=_activity))
        if len(self._found) < BATCH:
            self._exhausted_at = self._clock()

    def _fitting(self) -> Iterator[ClientConnection]:
        while self._found:
            connection = self._found.popleft()
            if connection in self._connections and self._fits(connection):
                yield connection


def _activity(connection: ClientConnection) -> tuple[bool, int]:
    return connection.has_sent_request, connection.last_activity
