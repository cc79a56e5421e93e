"""An HTTP/1.1 server: its listener, client connections, their time-outs, and graceful shutdown."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Any

from thistleusher.net.client_connection import PROCESS_PAUSE_S, ClientConnection
from thistleusher.net.connection_set import DEFAULT_MAX_SURPLUS, ConnectionSet
from thistleusher.net.memory_budget import MemoryBudget, Stage
from thistleusher.net.request_buffer import ClientLimits, RequestBuffer
from thistleusher.net.request_handler import Reply
from thistleusher.net.shutdown import GracefulShutdown

SWEEP_INTERVAL_S = 0.25  # interval of the checks of all connections' time-outs
POLL_INTERVAL_S = 0.02  # interval of the checks for pending work during a shutdown
BACKLOG = 1024  # length of the kernel's queue of connections that are not accepted yet


class Server:
    """Base class of HTTP servers. Accepts client connections, and drains them at shutdown.

    Subclasses define how requests are read and answered: `read_request`, `handle_request` and `client_disconnected`. A
    shutdown has two phases. Once `shutting_down` is set, the process is about to end but still serves as before. Once
    `draining` is set, it accepts no new requests, and every response closes its connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        limits: ClientLimits = ClientLimits(),  # noqa: B008
        max_surplus: int = DEFAULT_MAX_SURPLUS,
    ) -> None:
        """`max_surplus`: connections beyond `max_connections` that are answered 503."""
        self.loop = loop
        self.connection_set = ConnectionSet(loop.time, max_connections, max_surplus)
        self.connections = self.connection_set.open
        self.incomplete_requests: dict[RequestBuffer, None] = {}
        self.limits = limits
        self.budget: MemoryBudget | None = None  # Memory of the bodies; None: not limited.
        self.body_stage = Stage.CALL
        self.activity_counter = itertools.count()  # orders connections by activity; the loop's clock is too coarse
        self.shutting_down = False
        self.draining = False
        self.shutdown: GracefulShutdown | None = None
        self.listener: asyncio.Server | None = None
        self.sweep_due = loop.time() + SWEEP_INTERVAL_S
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    async def listen(self, host: str, port: int) -> None:
        """Start listening. Raises OSError if the address cannot be bound."""
        self.listener = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)

    def read_request(self, connection: ClientConnection) -> Any:
        """Return the complete request, to be passed to `handle_request`, or an `ImmediateResponse`."""
        raise NotImplementedError

    def handle_request(self, request: Any, reply: Reply) -> None:
        """Answer a request by calling `reply` exactly once, during this call or later."""
        raise NotImplementedError

    def memory_wait_s(self, connection: ClientConnection) -> float:
        """Return the seconds that the request whose head a connection has read may wait for memory."""
        return self.limits.read_timeout_s

    def client_disconnected(self, request: Any) -> None:
        """Handle the disconnect of the client of an unanswered request."""

    def has_pending_work(self) -> bool:
        """Return whether work is unfinished whose client has disconnected, so that no connection represents it."""
        return False

    @property
    def max_connections(self) -> int:
        """The number of connections beyond which others make room."""
        return self.connection_set.max_connections

    @max_connections.setter
    def max_connections(self, value: int) -> None:
        self.connection_set.max_connections = value

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Register a new connection. Return False if it has to be closed unread, as there are too many."""
        return self.connection_set.add(connection)

    def sweep(self) -> None:
        """Check the time-outs of all connections, and schedule the next check."""
        now = self.loop.time()
        was_paused = now > self.sweep_due + PROCESS_PAUSE_S
        for connection in list(self.connections):
            if was_paused:  # clients could make no progress while this process was suspended
                connection.last_progress_at = now
                connection.body_progress.restart(now, len(connection.body))
            connection.check_timeouts(now)
        self._refuse_stalled_bodies()
        self.sweep_due = now + SWEEP_INTERVAL_S
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def _refuse_stalled_bodies(self) -> None:
        """While bodies wait for memory, refuse those of which next to nothing comes, the oldest requests first."""
        if self.budget is None or not self.budget.waits_for_capacity():
            return
        stalled = [connection for connection in self.connections if connection.has_stalled_body()]
        for connection in sorted(stalled, key=lambda each: each.request_started_at):
            if not self.budget.waits_for_capacity():
                return
            connection.reject_for_memory()

    async def drain(self, notice: Awaitable[object], shutdown: GracefulShutdown | None = None) -> None:
        """Serve until `notice` is done and `shutdown` accepts no more requests; then close, finishing pending requests.

        Connections stay open until then: the front may still send requests to this ingress, and may be unable to open
        new connections. Every accepted request is answered, however long that takes, unless the process is killed or
        this call is cancelled. Non-idempotent requests whose client has disconnected are waited for until the deadline
        of `shutdown`.
        """
        self.shutting_down = True
        self.shutdown = shutdown
        await notice
        while shutdown is not None and shutdown.accepts_requests(self.loop.time()):  # noqa: ASYNC110 (a time, no event)
            await asyncio.sleep(POLL_INTERVAL_S)
        self.draining = True
        if self.listener is not None:
            self.listener.close()
        while self.connections or self._must_await_pending_work(shutdown):
            for connection in list(self.connections):
                if connection.is_idle():  # checked on each poll: a connection may still be accepted after the close
                    connection.close()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _must_await_pending_work(self, shutdown: GracefulShutdown | None) -> bool:
        in_time = shutdown is None or self.loop.time() < shutdown.deadline
        return in_time and self.has_pending_work()

    def close(self) -> None:
        """Close the listener and its connections at once."""
        self.draining = True
        self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()
