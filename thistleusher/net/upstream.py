"""Connections to backends: pools, attempts and probes, each with exactly one outcome."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, cast

from thistleusher.core.events import Outcome
from thistleusher.net.client_call import MAX_BODY, Address, Answer, AnswerReader
from thistleusher.net.last_byte_guard import LastByteGuard

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the backends' own idle time, after which a connection is no longer trusted
SWEEP_S = 1.0
STALL_S = 0.25  # in the middle of an answer, after which the rest is not waited for
REFUSED_STATUS = (503, 504)
UNSURE = (Outcome.TIMEOUT, Outcome.CANCELLED)


def watch(sock: socket.socket, silent_s: float) -> None:
    """Have the kernel end a connection whose other side has acknowledged nothing for that long, idle ones too."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(silent_s * 1000)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(silent_s)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Endpoint(NamedTuple):
    """Where a backend listens and since when."""

    address: Address
    born: float
    connect_s: float | None = None  # for a new connection; None: as the upstream's own


class Terms(NamedTuple):
    """What is agreed with the backends of a deployment; the defaults are those of the program in service."""

    most_body: int = MAX_BODY  # bytes
    mark: bytes = b""  # header in which an answer names its request, where it does
    silent_s: float = 0.0  # without an acknowledgement, after which a connection ends; 0: the kernel's own time
    outcome_of: Callable[[Answer], Outcome] | None = None  # None: as `outcome_of` below


DEFAULT_TERMS = Terms()


class Exchange:
    """One request to a backend and its one outcome, told through `on_end`.

    `may_send` is asked again once a connection stands, right before the first byte: the backend may have
    begun to drain, or the client may have gone, while it was being opened.
    """

    def __init__(
        self,
        backend: str,
        message: Callable[[], bytes],
        may_send: Callable[[], bool],
        on_end: Callable[[Exchange, Outcome, Answer | None], None],
        guarded: bool = False,
        mark: bytes = b"",
        stall: Callable[[], float] = lambda: STALL_S,
    ) -> None:
        """`guarded`: where connections end at bad moments, nothing of it may run that is not known to.

        `mark`: what `Terms.mark` of its answer must hold; an answer with another one, or with none, belongs to no
        request here.

        `stall`: seconds without a byte in the middle of its answer, after which the rest is not waited for; 0 for
        never. It is asked again once they are over.
        """
        self.backend, self.message, self.may_send, self.on_end = backend, message, may_send, on_end
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.written = False  # whole: from here on it may have run
        self.mark = mark
        self.stall = stall
        self.guarded = guarded  # its last byte waits until the connection has shown that it stands
        self.ended = False
        self.heard = 0  # what the pool had heard at the start

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Tell the outcome, the first time only."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, answer)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting. The connection is ended first, so that what is sent next is no second copy."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.drop()
        self.end(outcome if self.written else Outcome.MOOT if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)


class Connection(asyncio.Protocol):
    """One connection to a backend; it carries one exchange at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader(pool.terms.most_body)
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.idle_most = float("inf")  # seconds between requests that the other side has said it allows
        self.closed = False
        self.used = False  # it has carried a request
        self.strange = False  # it has brought an answer that was no request's here
        self.stall: asyncio.TimerHandle | None = None
        self.holding: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop

    def stale(self) -> bool:
        """Whether the other side has ended it, or has sent what was not read yet."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def trusted(self, now: float) -> bool:
        """Whether the other side is still far from closing it as idle."""
        return now - self.idle_since < IDLE_SHARE * self.idle_most

    def send(self, exchange: Exchange) -> None:
        """Write the request. After this a broken connection counts as a reset, as it may have come whole."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        message = exchange.message()
        if exchange.guarded:
            self.transport.write(message[:-1])
            self.holding = self.pool.loop.call_later(self.pool.guard.hold(), self.finish, message[-1:])
        else:
            exchange.written = True
            self.transport.write(message)

    def finish(self, last: bytes) -> None:
        """Write a guarded request's last byte, unless the connection has ended or nobody wants it any more."""
        exchange = self.exchange
        assert self.transport is not None and exchange is not None
        if self.stale():
            self.spoilt("it ended before the request's last byte")
        elif not exchange.may_send():
            self.drop()
            exchange.end(Outcome.MOOT)
        else:
            exchange.written = True
            self.transport.write(last)

    def data_received(self, data: bytes) -> None:
        """Only the first answer of a read is the exchange's.

        The connection is used again only once the whole read has been looked at: what came behind the answer,
        a copy of it or noise, would be taken for the answer to whatever is sent next.
        """
        self.pool.heard += 1
        if self.stall is not None:
            self.stall.cancel()
        if self.exchange is None:
            self.drop()
            return
        if not self.exchange.written:
            self.spoilt("an answer before the request's last byte")
            return
        answers = self.reader.feed(data)
        mark, own = self.pool.terms.mark, answers
        if mark:  # a surplus answer may come in the place of the one that is waited for
            own = [a for a in answers if a.headers.get(mark) == self.exchange.mark]
            self.strange = self.strange or len(own) < len(answers)
        if own:
            clean = len(own) == 1 and not (self.strange or self.reader.partial or self.reader.broken)
            self.answered(own[0], clean)
        elif self.reader.broken:
            self.spoilt(self.reader.broken)
        elif any(mark not in answer.headers for answer in answers):
            self.spoilt("an answer that names no request")
        elif self.reader.partial and (stall := self.exchange.stall()):
            self.stall = self.pool.loop.call_later(stall, self.stalled)

    def answered(self, answer: Answer, clean: bool) -> None:
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        if clean and answer.keep and not self.closed:
            self.used, self.idle_most = True, idle_time(answer)
            self.pool.keep(self)
        else:
            self.drop()
        exchange.end((self.pool.terms.outcome_of or outcome_of)(answer), answer)

    def stalled(self) -> None:
        """An answer that stops midway is not waited for; unread bytes mean that it was us who stopped."""
        stall = self.exchange.stall() if self.exchange is not None else 0.0
        if self.stale() and not self.closed and stall:
            self.stall = self.pool.loop.call_later(stall, self.stalled)
        elif stall:
            self.spoilt("the answer stops midway")

    def spoilt(self, why: str) -> None:
        """No answer can be had here any more; the request may have run."""
        exchange, used = self.exchange, self.used
        self.drop()
        if exchange is None:
            return
        log.debug("backend %s: %s", self.pool.backend, why)
        self.pool.guard.broke(self.pool.loop.time())
        if exchange.written:
            exchange.end(Outcome.RESET)
        elif used:  # never whole: no attempt yet; a new connection follows, for which this does not hold again
            exchange.connection = None
            self.pool.reopen(exchange)
        else:
            exchange.end(Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        """End it at once: the kernel has its end before anything else is written anywhere."""
        if self.closed:
            return
        self.closed = True
        self.exchange = None
        if self.stall is not None:
            self.stall.cancel()
        if self.holding is not None:
            self.holding.cancel()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("backend %s: shutdown: %s", self.pool.backend, error)
        if self.transport is not None:
            self.transport.abort()
        self.pool.forget(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.spoilt("the connection ended")


def idle_time(answer: Answer) -> float:
    """Seconds for which the other side keeps an idle connection by its `Keep-Alive` header, inf where it has none."""
    for part in answer.headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return float("inf")


def outcome_of(answer: Answer) -> Outcome:
    """What an answer says of the attempt; only a whole 200 is served."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in REFUSED_STATUS and answer.headers.get(b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


class Pool:
    """The connections to one backend; the newest idle one is used first, so that the others can age out."""

    def __init__(
        self,
        backend: str,
        endpoint: Endpoint,
        loop: asyncio.AbstractEventLoop,
        connections: set[Connection],
        guard: LastByteGuard,
        reopen: Callable[[Exchange], None],
        terms: Terms = DEFAULT_TERMS,
    ) -> None:
        self.terms = terms
        self.backend, self.endpoint, self.loop = backend, endpoint, loop
        self.guard, self.reopen = guard, reopen
        self.idle: list[Connection] = []
        self.connections = connections  # those of all pools, also of retired ones: each is a descriptor
        self.retired = False  # the backend has moved or started anew: nothing is kept for later
        self.heard = 0  # times that anything came; the loop's clock is too coarse to tell before from after

    def take(self, oldest: float) -> Connection | None:
        """The newest idle connection that still stands; those idle since before `oldest` do not count."""
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and connection.trusted(self.loop.time()):
                if not connection.stale():
                    return connection
                self.guard.found_closed(self.loop.time(), connection.idle_since)
            connection.drop()
        return None

    def keep(self, connection: Connection) -> None:
        if self.retired:
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float | None = None) -> None:
        """Close what has been idle since before a time, or all that is idle."""
        for connection in [c for c in self.idle if before is None or c.idle_since < before]:
            connection.drop()


class Upstream:
    """All backends' pools."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout: float,
        idle: float,
        most: int,
        terms: Terms = DEFAULT_TERMS,
    ) -> None:
        self.terms = terms
        self.loop, self.connect_timeout, self.most = loop, connect_timeout, most
        self.idle = IDLE_SHARE * idle
        self.guard = LastByteGuard(idle)
        self.pools: dict[str, Pool] = {}
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.opening = 0
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    def update(self, backend: str, endpoint: Endpoint | None) -> None:
        """A backend's address and start, or None when it is gone; no connection outlives a change."""
        pool = self.pools.get(backend)
        if pool is not None and pool.endpoint != endpoint:
            pool.close_idle()
            pool.retired = True  # those in use are not kept afterwards
            del self.pools[backend]
            pool = None
        if pool is None and endpoint is not None:
            self.pools[backend] = Pool(
                backend, endpoint, self.loop, self.connections, self.guard, self.reopen, self.terms
            )

    def send(self, exchange: Exchange, timeout: float) -> None:
        """Carry out one exchange; its outcome may come before this returns."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.may_send():
            exchange.end(Outcome.MOOT)
            return
        exchange.heard = pool.heard
        exchange.guarded = exchange.guarded and self.guard.wary(self.loop.time())
        exchange.timer = self.loop.call_later(max(0.0, timeout), self.expire, exchange)
        connection = pool.take(self.loop.time() - self.idle)
        if connection is not None:
            connection.send(exchange)
        else:
            self.start(pool, exchange)

    def reopen(self, exchange: Exchange) -> None:
        """A kept connection ended before the request's last byte: it goes out on a new one."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.may_send():
            exchange.end(Outcome.MOOT)
        else:
            self.start(pool, exchange)

    def start(self, pool: Pool, exchange: Exchange) -> None:
        """Open a connection for an exchange, if there is a socket for it."""
        if not self.room():
            log.warning("no socket is left for backend %s", exchange.backend)
            exchange.end(Outcome.CONNECT_FAILED)
        else:
            task = self.loop.create_task(self.open(pool, exchange))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def expire(self, exchange: Exchange) -> None:
        """No answer in time."""
        self.give_up(exchange, Outcome.TIMEOUT)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting for an attempt."""
        self.give_up(exchange, Outcome.CANCELLED)

    def give_up(self, exchange: Exchange, outcome: Outcome) -> None:
        """If nothing at all has come from the backend since the start, its idle connections are dead too."""
        pool = self.pools.get(exchange.backend)
        if pool is not None and exchange.written and pool.heard == exchange.heard:
            pool.close_idle()
        exchange.give_up(outcome)

    async def open(self, pool: Pool, exchange: Exchange) -> None:
        """A new connection for an exchange, whose first byte waits until it stands.

        The end of the exchange does not cancel this: once a transport has the descriptor, closing it here too
        would close whatever has the same number by then.
        """
        self.opening += 1
        try:
            connection = await self.connect(pool)
        except (OSError, TimeoutError) as error:
            log.debug("backend %s: connect: %r", pool.backend, error)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        finally:
            self.opening -= 1
        if connection.closed:
            exchange.end(Outcome.CONNECT_FAILED)
        elif exchange.ended:
            pool.keep(connection)
        elif pool.retired or not exchange.may_send():
            # It began to drain, moved, or its client left meanwhile: not one byte goes out.
            connection.drop()
            exchange.end(Outcome.MOOT)
        else:
            connection.send(exchange)

    async def connect(self, pool: Pool) -> Connection:
        """A connection that stands."""
        sock = socket.socket(socket.AF_INET6 if ":" in pool.endpoint.address[0] else socket.AF_INET)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.terms.silent_s:
                watch(sock, self.terms.silent_s)
            async with asyncio.timeout(pool.endpoint.connect_s or self.connect_timeout):
                await self.loop.sock_connect(sock, pool.endpoint.address)
        except BaseException:
            sock.close()
            raise
        connection = Connection(pool, sock)
        self.connections.add(connection)
        try:
            await self.loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            connection.drop()
            raise
        return connection

    def room(self) -> bool:
        """Whether one more socket may be opened, closing an idle one for it where that helps."""
        if self.opening + len(self.connections) < self.most:
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
        for connection in list(self.connections):
            connection.drop()
