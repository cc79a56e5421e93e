"""The connections to all backends: starts, times out and cancels exchanges, each with exactly one outcome."""

from __future__ import annotations

import asyncio
import logging
import socket

from thistleusher.core.events import Outcome
from thistleusher.net.backend_connection import (
    DEFAULT_OPTIONS,
    MAX_IDLE_FRACTION,
    BackendConnection,
    UpstreamOptions,
)
from thistleusher.net.connection_pool import ConnectionPool, Endpoint
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.head_guard import HeadGuard
from thistleusher.net.socket_state import enable_dead_peer_detection

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0  # interval at which connections that have been idle too long are closed


class Upstream:
    """The connection pools of all backends."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout: float,
        idle_timeout: float,
        max_sockets: int,
        options: UpstreamOptions = DEFAULT_OPTIONS,
    ) -> None:
        """`connect_timeout` in seconds; `idle_timeout`: seconds for which backends agree to keep idle connections."""
        self.loop = loop
        self.connect_timeout = connect_timeout
        self.max_idle_s = MAX_IDLE_FRACTION * idle_timeout
        self.max_sockets = max_sockets
        self.options = options
        self.guard = HeadGuard(idle_timeout)
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: set[BackendConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connecting_count = 0  # number of sockets that are being connected
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def update(self, backend: str, endpoint: Endpoint | None) -> None:
        """Set a backend's endpoint; None removes the backend. After a change no old connection is reused."""
        pool = self.pools.get(backend)
        if pool is not None and pool.endpoint != endpoint:
            pool.close_idle()
            pool.retired = True  # connections in use are closed after their exchange
            del self.pools[backend]
            pool = None
        if pool is None and endpoint is not None:
            self.pools[backend] = ConnectionPool(
                backend, endpoint, self.loop, self.connections, self.guard, self.reopen, self.options
            )

    # Exchanges.

    def send(self, exchange: BackendExchange, timeout: float) -> None:
        """Start an exchange; its outcome may be reported before this returns."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.can_send():
            exchange.end(Outcome.MOOT)
            return
        exchange.read_count_at_start = pool.read_count
        exchange.guarded = exchange.guarded and self.guard.is_active(self.loop.time())
        exchange.timer = self.loop.call_later(max(0.0, timeout), self.expire, exchange)
        connection = pool.take(self.loop.time() - self.max_idle_s)
        if connection is not None:
            connection.send(exchange)
        else:
            self._start_open(pool, exchange)

    def reopen(self, exchange: BackendExchange) -> None:
        """Send an exchange on a new connection, after a reused one ended before the request's head was complete."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.can_send():
            exchange.end(Outcome.MOOT)
        else:
            self._start_open(pool, exchange)

    def expire(self, exchange: BackendExchange) -> None:
        """End an exchange that has timed out."""
        self._give_up(exchange, Outcome.TIMEOUT)

    def cancel(self, exchange: BackendExchange) -> None:
        """Cancel an exchange because its backend does not answer.

        An exchange whose response is no longer needed is ended by `BackendExchange.give_up`, which implies nothing
        about its backend.
        """
        self._give_up(exchange, Outcome.CANCELLED)

    def _give_up(self, exchange: BackendExchange, outcome: Outcome) -> None:
        """End an exchange. If its backend has sent nothing at all since it started, close the idle connections too."""
        pool = self.pools.get(exchange.backend)
        if pool is not None and exchange.may_have_run and pool.read_count == exchange.read_count_at_start:
            pool.close_idle()
        exchange.give_up(outcome)

    # Connections.

    def _start_open(self, pool: ConnectionPool, exchange: BackendExchange) -> None:
        """Open a connection for an exchange, if the limit on sockets allows it."""
        if not self.ensure_socket_available():
            log.warning("backend %s: no connection opened: limit on backend sockets reached", exchange.backend)
            exchange.end(Outcome.CONNECT_FAILED)
        else:
            task = self.loop.create_task(self.open(pool, exchange))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def open(self, pool: ConnectionPool, exchange: BackendExchange) -> None:
        """Open a connection, and send an exchange on it.

        The end of the exchange does not cancel this: once a transport owns the descriptor, closing it here too could
        close another socket that has got the same descriptor number.
        """
        self.connecting_count += 1
        try:
            connection = await self.connect(pool)
        except (OSError, TimeoutError) as error:
            log.debug("backend %s: connect: %r", pool.backend, error)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting_count -= 1
        if connection.closed:
            exchange.end(Outcome.CONNECT_FAILED)
        elif exchange.ended:
            pool.put_back(connection)
        elif pool.retired or not exchange.can_send():
            # In the meantime the backend began to drain or moved, or the client disconnected: nothing is sent.
            connection.drop()
            exchange.end(Outcome.MOOT)
        else:
            connection.send(exchange)

    async def connect(self, pool: ConnectionPool) -> BackendConnection:
        """Return a new, established connection. Raises OSError or TimeoutError."""
        address = pool.endpoint.address
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.options.peer_timeout_s:
                enable_dead_peer_detection(sock, self.options.peer_timeout_s)
            async with asyncio.timeout(pool.endpoint.connect_timeout_s or self.connect_timeout):
                await self.loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        connection = BackendConnection(pool, sock)
        self.connections.add(connection)
        try:
            await self.loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            connection.drop()
            raise
        return connection

    def ensure_socket_available(self) -> bool:
        """Return whether one more socket may be opened. At the limit, close the connection that is idle longest."""
        if self.connecting_count + len(self.connections) < self.max_sockets:
            return True
        idle = [p.idle[0] for p in self.pools.values() if p.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).drop()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        """Close a backend's idle connections."""
        if backend in self.pools:
            self.pools[backend].close_idle()

    def sweep(self) -> None:
        """Close idle connections well before their backend does, and schedule the next sweep.

        A request sent while the backend closes the connection would end as a reset.
        """
        oldest = self.loop.time() - self.max_idle_s
        for pool in self.pools.values():
            pool.close_idle(oldest)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Close all connections, when the program ends."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.drop()
