"""The connections to one backend."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from thistleusher.net.backend_connection import DEFAULT_OPTIONS, BackendConnection, UpstreamOptions
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.last_byte_guard import LastByteGuard
from thistleusher.services.addresses import Address


class Endpoint(NamedTuple):
    """Where a backend listens and since when (Unix time in seconds)."""

    address: Address
    started_at: float
    connect_timeout_s: float | None = None  # for a new connection; None: as the upstream's own


class ConnectionPool:
    """The connections to one backend; the newest idle one is used first, so that the others can age out."""

    def __init__(
        self,
        backend: str,
        endpoint: Endpoint,
        loop: asyncio.AbstractEventLoop,
        connections: set[BackendConnection],
        guard: LastByteGuard,
        reopen: Callable[[BackendExchange], None],
        options: UpstreamOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.backend = backend
        self.endpoint = endpoint
        self.loop = loop
        self.connections = connections  # those of all pools, also of retired ones: each is a descriptor
        self.guard = guard
        self.reopen = reopen
        self.options = options
        self.idle: list[BackendConnection] = []
        self.retired = False  # the backend has moved or started anew: no connection is kept for later
        self.read_count = 0  # reads from this backend; the loop's clock is too coarse to tell before from after

    def take(self, oldest: float) -> BackendConnection | None:
        """Return the newest idle connection that is still open, and close those passed over on the way.

        One that has been idle since before `oldest`, or that the backend may soon close, is not used.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and connection.is_trusted(self.loop.time()):
                if not connection.is_stale():
                    return connection
                self.guard.found_closed(self.loop.time(), connection.idle_since)
            connection.drop()
        return None

    def put_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next exchange."""
        if self.retired:
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Remove a connection that was closed."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float | None = None) -> None:
        """Close what has been idle since before a time, or all that is idle."""
        for connection in [c for c in self.idle if before is None or c.idle_since < before]:
            connection.drop()
