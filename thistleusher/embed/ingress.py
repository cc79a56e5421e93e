"""The ingress inside an asyncio program: the host's own code is the one backend.

Guarantees, whatever the host does: a request is charged at most once; its admission ends once, as served,
refused, failed or left by its client; nothing of it is held afterwards. The concurrency limit and refusals under
overload apply to the host's code as to any backend.

How: `Admission` is the attempt that the driver starts and expires. It tells the driver how the host's code
ended, and ends that code when the request's time is up, by `asyncio.timeout`.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from types import TracebackType
from typing import Any, NamedTuple, Protocol, Self

from thistleusher.assembly import make_gateway
from thistleusher.core import events
from thistleusher.core.driver import Driver
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import CounterPort, Ended, Final, Scheduler
from thistleusher.core.request import BadRequest
from thistleusher.core.settings import Settings
from thistleusher.embed.call import Call, checked
from thistleusher.embed.counter import MemoryCounter, MemoryPort
from thistleusher.policy import Gateway
from thistleusher.services.addresses import read_address
from thistleusher.services.counter_client import CounterClient
from thistleusher.services.peers import PeerDatagrams

log = logging.getLogger(__name__)

APP = "app"


class NotServed(Exception):
    """A request that was refused, or that failed: `final` is its final answer."""

    def __init__(self, final: Final) -> None:
        super().__init__(f"{final.verdict.value}, retry in {final.retry_in:.3f} s")
        self.final = final


class PeerAddresses(NamedTuple):
    """Datagrams between ingresses: `listen` here, and everybody's address by number, as `host:port`."""

    listen: str
    everybody: tuple[str, ...]


class _Closable(CounterPort, Protocol):
    def close(self) -> None: ...


class Admission:
    """One request's passage: `async with` it, and its body runs only once the request is admitted.

    Raises `NotServed` on entering where it is refused, and on leaving where its time was up first.
    """

    def __init__(self, ingress: EmbeddedIngress, request: events.Request) -> None:
        self.driver, self.request = ingress.driver, request
        self.check_loop, self.max_units = ingress.check_loop, ingress.settings.max_units
        self.final: Final | None = None
        self.on_interrupt: Callable[[Final], None] | None = None
        self.written = self.begun = self.over = self.left = False
        self.interrupted = False  # ended by the ingress, while the host's code ran
        self._verdict: asyncio.Future[Final | None] | None = None  # None: admitted
        self._on_end: Callable[[Ended], None] | None = None
        self._held: InFlightRequest | None = None
        self._timeout: asyncio.Timeout | None = None
        self._first_byte: float | None = None
        self._started = 0.0
        self._units = 0.0

    # For the host.

    async def __aenter__(self) -> Self:
        await self.acquire()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.release(kind, error, trace)

    def settle(self, true_units: float) -> None:
        """Tell what the request really cost; the last word before its end counts. BadRequest if unusable."""
        if not 0 <= true_units <= self.max_units:  # NaN is neither
            raise BadRequest(f"true_units: expected 0 to {self.max_units:g}, " f"got {true_units!r}")
        self._units = true_units

    def begin(self) -> bool:
        """The host's answer begins: it is the final one, and has all the time it takes.

        False where another final answer was given: nothing more may be sent then.
        """
        if self.begun:
            return True
        if self.over or self._held is None or not self.driver.begin_answer(self._held):
            return False
        self.begun, self._first_byte = True, self.driver.scheduler.time() - self._started
        return True

    def leave(self) -> None:
        """The client has gone: no answer is owed any more."""
        self.left = True
        self.driver.client_gone(self.request.id)

    # Its course.

    async def acquire(self) -> None:
        """Wait for the decision; NotServed where it is a refusal."""
        loop = self.check_loop()
        if self._verdict is not None:
            raise RuntimeError("an admission can be entered once only")
        self._verdict = loop.create_future()
        self._held = self.driver.accept(self.request, self._finished, self)
        try:
            final = await self._verdict
            if final is not None:
                raise NotServed(final)
            self._timeout = asyncio.timeout(None)
            await self._timeout.__aenter__()
        except asyncio.CancelledError:  # the host's own time-out, say: nothing was run
            self.leave()
            self._end(Ended(Outcome.MOOT))
            raise

    async def release(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
        outcome: Outcome | None = None,
    ) -> None:
        """The host's code has ended; `outcome` where it says more than its exception does."""
        if self._timeout is None:
            return
        if kind is not None and issubclass(kind, asyncio.CancelledError) and not self.interrupted:
            self.leave()
            self._end(Ended(Outcome.CANCELLED))
        elif kind is not None:
            self._end(Ended(outcome or Outcome.ERROR))
        else:
            self._end(Ended(outcome or Outcome.OK, None, self._units))
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            pass
        if (
            self.interrupted
            and not self.left
            and self.final is not None
            and (kind is None or issubclass(kind, asyncio.CancelledError))
        ):
            task = asyncio.current_task()
            if kind is None or task is None or task.cancelling() == 0:  # else the host cancels it as well
                raise NotServed(self.final) from error

    def _finished(self, final: Final) -> None:
        """The driver's final answer."""
        self.final = final
        if self._verdict is not None and not self._verdict.done():
            self._verdict.set_result(final)
        elif self.interrupted and self.on_interrupt is not None:
            self.on_interrupt(final)

    def _end(self, ended: Ended) -> None:
        """Tell the driver, once; what began to be answered in time counts by its first byte."""
        if self.over:
            return
        self.over = True
        if self._on_end is not None:
            ended.elapsed = self._first_byte
            self._on_end(ended)

    # For the driver: the attempt.

    def start(self, timeout: float) -> None:
        assert self._verdict is not None
        if self._verdict.done():  # its task was cancelled, and has not come round to saying so
            self._end(Ended(Outcome.MOOT))
            return
        self.written, self._started = True, self.driver.scheduler.time()
        self._verdict.set_result(None)

    def expire(self) -> None:
        """The request's time is up: an answer that has begun goes on, anything else is ended."""
        if not self.begun:
            self._interrupt(Outcome.TIMEOUT)

    def cancel(self) -> None:
        if not self.begun:
            self._interrupt(Outcome.CANCELLED)

    def _interrupt(self, outcome: Outcome) -> None:
        if self.over:
            return
        self.interrupted = True
        self._end(Ended(outcome))
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())


class EmbeddedIngress:
    """One ingress as a library; `async with` it, or `open` and `close`, on one event loop, once.

    `counter` is the service's `host:port`, or a `MemoryCounter`; without it one of its own is made. `clock` gives
    Unix time and must agree at all ingresses; `seed` fixes what is drawn. Attempts at the host's code are never
    repeated here, whatever `max_attempts` says. Bad addresses and settings are ValueErrors.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        counter: str | MemoryCounter | None = None,
        peers: PeerAddresses | None = None,
        clock: Callable[[], float] = time.time,
        scheduler: Scheduler | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = replace(
            settings,
            max_attempts=1,
            counter=True,
            own_backends=True,
            own_counter=counter is None,
            peers=settings.peers and peers is not None,
        )
        if self.settings.counter_timeout <= 0:
            raise ValueError(f"counter_timeout: expected more than 0, got {settings.counter_timeout!r}")
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.address = read_address(counter) if isinstance(counter, str) else None
        self.memory = counter if isinstance(counter, MemoryCounter) else MemoryCounter(clock)
        self.peer_addresses = peers
        if peers is not None:
            self._listen = read_address(peers.listen)
            self._everybody = tuple(read_address(p) for p in peers.everybody)
            if len(self._everybody) != settings.instances:
                raise ValueError(f"peers: expected {settings.instances} addresses, got {len(self._everybody)}")
        self.clock, self.scheduler = clock, scheduler
        self.seed = random.SystemRandom().getrandbits(63) if seed is None else seed
        self.invalid = 0  # requests that could not be decided on; nothing was charged for them
        self._loop: asyncio.AbstractEventLoop | None = None
        self._driver: Driver | None = None
        self._counter: _Closable | None = None
        self._peers: PeerDatagrams | None = None
        self._closed = False
        self._gateway: Gateway | None = None
        self._numbers = itertools.count()

    @property
    def driver(self) -> Driver:
        """The driver; RuntimeError where the ingress is not open."""
        if self._driver is None:
            raise RuntimeError(
                "the ingress is closed"
                if self._closed
                else "the ingress is not open: enter it with 'async with', in the lifespan, say"
            )
        return self._driver

    async def open(self) -> None:
        """Begin. RuntimeError where it was opened before, OSError where the peers' address cannot be had."""
        if self._closed or self._loop is not None:
            raise RuntimeError("the ingress was opened before; make a new one")
        self._loop = loop = asyncio.get_running_loop()
        gateway = self._gateway = make_gateway(self.settings, self.seed, self.clock())
        driver = Driver(self.settings, gateway, self, self.scheduler or loop, self.clock)
        port: _Closable
        if self.address is not None:
            port = CounterClient(
                loop, self.address, self.settings.counter_timeout, driver.submit, driver.scheduler.time
            )
        else:
            port = MemoryPort(self.memory, driver.submit)
        driver.counter = self._counter = port
        try:
            if self.settings.peers:
                peers = self._peers = PeerDatagrams(self._everybody, None, self.settings.me, driver.submit)
                await loop.create_datagram_endpoint(lambda: peers, local_addr=self._listen)
                driver.peers = peers
        except BaseException:
            port.close()
            self._closed = True
            raise
        entry = BackendEntry(APP, Phase.RUNNING)
        driver.submit(events.ListUpdate(ListKind.SAVED, 1, (entry,)))
        self._driver = driver

    async def close(self) -> None:
        """End in order: what is held is answered, what runs is ended. A second time does nothing."""
        self._closed = True
        driver, self._driver = self._driver, None
        if driver is not None:
            driver.hand_over()
            driver.close()
        if self._counter is not None:
            self._counter.close()
        if self._peers is not None:
            self._peers.close()

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    @asynccontextmanager
    async def lifespan(self, app: Any = None) -> AsyncIterator[None]:
        """For a framework's `lifespan`: open as long as the application runs."""
        async with self:
            yield

    def check_loop(self) -> asyncio.AbstractEventLoop:
        """The running loop; RuntimeError where it is not the one on which the ingress was opened."""
        _ = self.driver
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            raise RuntimeError("the ingress was opened on another event loop; make one for each")
        return loop

    def admit(self, call: Call) -> Admission:
        """An admission to enter with `async with`. BadRequest where the call cannot be used."""
        return self.admission(self.request(call))

    def request(self, call: Call) -> events.Request:
        """The checked request; BadRequest, counted in `invalid`, says what cannot be used."""
        try:
            return checked(self.settings, self.classes, self.plans, call, f"embedded-{next(self._numbers)}")
        except BadRequest:
            self.invalid += 1
            raise

    def admission(self, request: events.Request) -> Admission:
        """The same for a request that was checked."""
        self.check_loop()
        return Admission(self, request)

    def room(self, member: int, plan: str) -> float:
        """Units left of a member's quota, as far as this ingress knows."""
        assert self._gateway is not None
        return self._gateway.headroom(self.driver.now(), member, plan)

    @property
    def held(self) -> int:
        """Requests that have not come to their end."""
        return len(self.driver.in_flight)

    # For the driver: the one backend.

    def prepare(self, held: InFlightRequest, backend: str, on_end: Callable[[Ended], None]) -> Admission:
        admission: Admission = held.context
        admission._on_end = on_end
        return admission

    def probe(self, backend: str) -> None:
        """The host is here: there is nothing to look at."""

    def close_idle(self, backend: str) -> None:
        """There are no connections to it."""
