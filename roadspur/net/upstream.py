"""Connections to backends: pools, attempts and probes, each with exactly one outcome."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, cast

from roadspur import interface as io
from roadspur.net.wire import Address, Answer, AnswerReader, BadAnswer

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the backends' own idle time, after which a connection is no longer trusted
SWEEP_S = 1.0
REFUSED_STATUS = (503, 504)
UNSURE = (io.Outcome.TIMEOUT, io.Outcome.CANCELLED)


class Endpoint(NamedTuple):
    """Where a backend listens and since when."""

    address: Address
    born: float


class Exchange:
    """One request to a backend and its one outcome, told through `on_end`.

    `may_send` is asked again once a connection stands, right before the first byte: the backend may have
    begun to drain, or the client may have gone, while it was being opened.
    """

    def __init__(self, backend: str, message: Callable[[], bytes], may_send: Callable[[], bool],
                 on_end: Callable[[Exchange, io.Outcome, Answer | None], None]) -> None:
        self.backend, self.message, self.may_send, self.on_end = backend, message, may_send, on_end
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.written = False  # from here on it may have run
        self.ended = False
        self.heard = 0  # what the pool had heard at the start

    def end(self, outcome: io.Outcome, answer: Answer | None = None) -> None:
        """Tell the outcome, the first time only."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.opening is not None:
            self.opening.cancel()
        self.on_end(self, outcome, answer)

    def give_up(self, outcome: io.Outcome) -> None:
        """Stop waiting. The connection is ended first, so that what is sent next is no second copy."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.drop()
        self.end(outcome if self.written else io.Outcome.MOOT if outcome is io.Outcome.CANCELLED else
                 io.Outcome.CONNECT_FAILED)


class Connection(asyncio.Protocol):
    """One connection to a backend; it carries one exchange at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader(self.answered)
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop

    def stale(self) -> bool:
        """Whether the other side has ended it, or has sent what nobody asked for."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, exchange: Exchange) -> None:
        """Write the request. After this a broken connection counts as a reset, as it may have come whole."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        exchange.written = True
        self.transport.write(exchange.message())

    def data_received(self, data: bytes) -> None:
        self.pool.heard += 1
        if self.exchange is None:
            self.drop()
            return
        try:
            self.reader.feed(data)
        except BadAnswer as error:
            exchange = self.exchange
            self.drop()
            if exchange is not None:
                log.warning("backend %s: %s", self.pool.backend, error)
                exchange.end(io.Outcome.RESET)

    def answered(self, answer: Answer) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:  # a second answer to one request: nothing here can be trusted
            self.drop()
            return
        exchange.connection = None
        if answer.keep and not self.closed:
            self.pool.keep(self)
        else:
            self.drop()
        exchange.end(outcome_of(answer), answer)

    def drop(self) -> None:
        """End it at once: the kernel has its end before anything else is written anywhere."""
        if self.closed:
            return
        self.closed = True
        self.exchange = None
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("backend %s: shutdown: %s", self.pool.backend, error)
        if self.transport is not None:
            self.transport.abort()
        self.pool.forget(self)

    def connection_lost(self, exc: Exception | None) -> None:
        exchange = self.exchange
        self.drop()
        if exchange is not None:
            exchange.end(io.Outcome.RESET)


def outcome_of(answer: Answer) -> io.Outcome:
    """What an answer says of the attempt; only a whole 200 is served."""
    if answer.status == 200:
        return io.Outcome.OK
    if answer.status in REFUSED_STATUS and answer.headers.get(b"x-rejected") == b"1":
        return io.Outcome.FULL
    return io.Outcome.ERROR


class Pool:
    """The connections to one backend; the newest idle one is used first, so that the others can age out."""

    def __init__(self, backend: str, endpoint: Endpoint, loop: asyncio.AbstractEventLoop) -> None:
        self.backend, self.endpoint, self.loop = backend, endpoint, loop
        self.idle: list[Connection] = []
        self.all: set[Connection] = set()
        self.heard = 0  # times that anything came; the loop's clock is too coarse to tell before from after

    def take(self, oldest: float) -> Connection | None:
        """The newest idle connection that still stands; those idle since before `oldest` do not count."""
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and not connection.stale():
                return connection
            connection.drop()
        return None

    def keep(self, connection: Connection) -> None:
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        self.all.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float | None = None) -> None:
        """Close what has been idle since before a time, or all that is idle."""
        for connection in [c for c in self.idle if before is None or c.idle_since < before]:
            connection.drop()


class Upstream:
    """All backends' pools."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connect_timeout: float, idle: float,
                 most: int) -> None:
        self.loop, self.connect_timeout, self.most = loop, connect_timeout, most
        self.idle = IDLE_SHARE * idle
        self.pools: dict[str, Pool] = {}
        self.opening = 0
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    def update(self, backend: str, endpoint: Endpoint | None) -> None:
        """A backend's address and start, or None when it is gone; no connection outlives a change."""
        pool = self.pools.get(backend)
        if pool is not None and pool.endpoint != endpoint:
            pool.close_idle()
            del self.pools[backend]
            for connection in pool.all:  # in use: not kept afterwards
                connection.pool = Retired(pool)
            pool = None
        if pool is None and endpoint is not None:
            self.pools[backend] = Pool(backend, endpoint, self.loop)

    def send(self, exchange: Exchange, timeout: float) -> None:
        """Carry out one exchange; its outcome may come before this returns."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.may_send():
            exchange.end(io.Outcome.MOOT)
            return
        exchange.heard = pool.heard
        exchange.timer = self.loop.call_later(max(0.0, timeout), self.expire, exchange)
        connection = pool.take(self.loop.time() - self.idle)
        if connection is not None:
            connection.send(exchange)
        elif not self.room():
            log.warning("no socket is left for backend %s", exchange.backend)
            exchange.end(io.Outcome.CONNECT_FAILED)
        else:
            exchange.opening = self.loop.create_task(self.open(pool, exchange))

    def expire(self, exchange: Exchange) -> None:
        """No answer in time."""
        self.give_up(exchange, io.Outcome.TIMEOUT)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting for an attempt."""
        self.give_up(exchange, io.Outcome.CANCELLED)

    def give_up(self, exchange: Exchange, outcome: io.Outcome) -> None:
        """If nothing at all has come from the backend since the start, its idle connections are dead too."""
        pool = self.pools.get(exchange.backend)
        if pool is not None and exchange.written and pool.heard == exchange.heard:
            pool.close_idle()
        exchange.give_up(outcome)

    async def open(self, pool: Pool, exchange: Exchange) -> None:
        """A new connection for an exchange, whose first byte waits until it stands."""
        self.opening += 1
        sock = socket.socket(socket.AF_INET6 if ":" in pool.endpoint.address[0] else socket.AF_INET)
        kept = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, pool.endpoint.address)
            connection = Connection(pool, sock)
            await self.loop.create_connection(lambda: connection, sock=sock)
            kept = True
        except (OSError, TimeoutError) as error:
            log.debug("backend %s: connect: %r", pool.backend, error)
            exchange.opening = None
            exchange.end(io.Outcome.CONNECT_FAILED)
            return
        finally:
            self.opening -= 1
            if not kept:
                sock.close()
        exchange.opening = None
        pool.all.add(connection)
        if exchange.ended or connection.closed:
            connection.drop()
            exchange.end(io.Outcome.CONNECT_FAILED)
        elif self.pools.get(pool.backend) is not pool or not exchange.may_send():
            # It began to drain, moved, or its client left meanwhile: not one byte goes out.
            connection.drop()
            exchange.end(io.Outcome.MOOT)
        else:
            connection.send(exchange)

    def room(self) -> bool:
        """Whether one more socket may be opened, closing an idle one for it where that helps."""
        if self.opening + sum(len(p.all) for p in self.pools.values()) < self.most:
            return True
        idle = [p.idle[0] for p in self.pools.values() if p.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).drop()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        if backend in self.pools:
            self.pools[backend].close_idle()

    def sweep(self) -> None:
        """Close idle connections well before the backend does: a request crossing its close is a reset."""
        oldest = self.loop.time() - self.idle
        for pool in self.pools.values():
            pool.close_idle(oldest)
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def close(self) -> None:
        """Close everything, at the end of the program."""
        self.sweeper.cancel()
        for pool in self.pools.values():
            for connection in list(pool.all):
                connection.drop()


class Retired(Pool):
    """Stands in for the pool of a backend that moved or restarted: keeps nothing for later."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool.backend, pool.endpoint, pool.loop)

    def keep(self, connection: Connection) -> None:
        connection.drop()
