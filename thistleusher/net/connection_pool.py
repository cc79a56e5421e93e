"""Pool of the connections to one backend."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from thistleusher.net.backend_connection import DEFAULT_OPTIONS, BackendConnection, UpstreamOptions
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.head_guard import HeadGuard
from thistleusher.net.memory_budget import ReservationGroup
from thistleusher.services.addresses import Address


class Endpoint(NamedTuple):
    """A backend's address and its start time (Unix time in seconds)."""

    address: Address
    started_at: float
    connect_timeout_s: float | None = None  # None: the connect time-out of the `Upstream`


class ConnectionPool:
    """The connections to one backend. The most recently used idle one is taken first, so that the others expire."""

    def __init__(
        self,
        backend: str,
        endpoint: Endpoint,
        loop: asyncio.AbstractEventLoop,
        connections: set[BackendConnection],
        guard: HeadGuard,
        reopen: Callable[[BackendExchange], None],
        options: UpstreamOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.backend = backend
        self.endpoint = endpoint
        self.loop = loop
        self.connections = connections  # of all pools, including retired ones, since each holds a descriptor
        self.guard = guard
        self.reopen = reopen
        self.options = options
        self.memory_group = ReservationGroup(options.budget) if options.budget is not None else None
        self.idle: list[BackendConnection] = []
        self.retired = False  # the backend's endpoint has changed: connections are closed after their exchange
        self.read_count = 0  # reads from this backend; orders events, since the loop's clock is too coarse for that

    def take(self, oldest: float) -> BackendConnection | None:
        """Return the most recently used idle connection that is still open; close the unusable ones before it.

        Unusable are connections that are closed, have been idle since before `oldest`, or may soon be closed by the
        backend. Returns None if no idle connection is usable.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and connection.is_within_idle_limit(self.loop.time()):
                if not connection.is_stale():
                    return connection
                self.guard.record_closed_while_idle(self.loop.time(), connection.idle_since)
            connection.drop()
        return None

    def put_back(self, connection: BackendConnection) -> None:
        """Add a connection to the idle ones, for the next exchange."""
        if self.retired:
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float | None = None) -> None:
        """Close the connections that have been idle since before a time; all idle ones without it."""
        for connection in [c for c in self.idle if before is None or c.idle_since < before]:
            connection.drop()
