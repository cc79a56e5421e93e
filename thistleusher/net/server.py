"""A listener for HTTP/1.1 clients: its connections, their time-outs, and its shutdown in order."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Any

from thistleusher.net.client_connection import PROCESS_PAUSE_S, ClientConnection, Reply
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.shutdown import GracefulShutdown

SWEEP_INTERVAL_S = 0.25  # between checks of the connections' time-outs
POLL_INTERVAL_S = 0.02  # between looks at what is left, during a shutdown
BACKLOG = 1024  # connections that the kernel accepts ahead


class Server:
    """Listens for clients, and drains in order.

    What requests are and who answers them is for its subclasses: `read_request`, `handle_request` and
    `client_disconnected`. A shutdown has two phases: from `shutting_down` on the process is about to end but serves as
    before; from `draining` on it takes nothing new, and every response closes its connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        limits: ClientLimits = ClientLimits(),  # noqa: B008
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.limits = limits
        self.connections: set[ClientConnection] = set()
        self.activity_counter = itertools.count()  # orders clients by activity; the loop's clock is too coarse for it
        self.shutting_down = False
        self.draining = False
        self.shutdown: GracefulShutdown | None = None
        self.listener: asyncio.Server | None = None
        self.sweep_due = loop.time() + SWEEP_INTERVAL_S
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    async def listen(self, host: str, port: int) -> None:
        """Begin to listen. OSError if the address cannot be had."""
        self.listener = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)

    def read_request(self, connection: ClientConnection) -> Any:
        """Return the request that has come whole, to be passed to `handle_request`, or an `ImmediateResponse`."""
        raise NotImplementedError

    def handle_request(self, request: Any, reply: Reply) -> None:
        """Answer a request through `reply`, once, now or later."""
        raise NotImplementedError

    def client_disconnected(self, request: Any) -> None:
        """Take note that the client of an unanswered request has gone."""

    def has_pending_work(self) -> bool:
        """Return whether something is yet to end that no connection stands for: its client has left."""
        return False

    def connection_opened(self, connection: ClientConnection) -> None:
        """Take a new connection; beyond the limit, close the one that never sent anything, or is idle longest.

        If none is idle, the new one is answered 503: closed without a response, its request would be lost.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            for other in sorted(self.connections, key=lambda c: (c.has_sent_request, c.last_activity)):
                if other is not connection and other.is_idle():
                    other.close()
                    return
            connection.over_limit = True

    def sweep(self) -> None:
        """Check all connections' time-outs, again and again."""
        now = self.loop.time()
        was_paused = now > self.sweep_due + PROCESS_PAUSE_S
        for connection in list(self.connections):
            if was_paused:  # nobody could read anything meanwhile
                connection.last_progress_at = now
            connection.check_timeouts(now)
        self.sweep_due = now + SWEEP_INTERVAL_S
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    async def drain(self, notice: Awaitable[object], shutdown: GracefulShutdown | None = None) -> None:
        """Serve as before until `notice` is over and `shutdown` ends; then take nothing new and finish what is pending.

        Connections are kept until then: the front may go on sending requests to this ingress, and can open no new
        ones. Requests that were taken are answered, however long it takes; only a kill, or a caller that cancels this,
        cuts them off. What may not be repeated is finished even if its client has left, until `shutdown` is over.
        """
        self.shutting_down = True
        self.shutdown = shutdown
        await notice
        while shutdown is not None and shutdown.accepts_requests(self.loop.time()):  # noqa: ASYNC110 (a time, no event)
            await asyncio.sleep(POLL_INTERVAL_S)
        self.draining = True
        if self.listener is not None:
            self.listener.close()
        while self.connections or self._waits_for_work(shutdown):
            for connection in list(self.connections):
                if connection.is_idle():  # one that was accepted last may appear only now
                    connection.close()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _waits_for_work(self, shutdown: GracefulShutdown | None) -> bool:
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
