"""The ingress inside an asyncio program. Its only backend is the host's own code.

Guarantees, whatever the host does: a request is charged at most once; its admission ends exactly once, as served,
refused, failed or abandoned by its client; no state of it is kept afterwards. The concurrency limit and refusals under
overload apply to the host's code as to any backend.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, NamedTuple, Protocol, Self

from thistleusher.assembly import make_gateway
from thistleusher.core import events
from thistleusher.core.driver import Driver
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, CounterPort, Scheduler
from thistleusher.core.request import BadRequest
from thistleusher.core.settings import Settings
from thistleusher.embed.admission import Admission
from thistleusher.embed.call import Call, checked_request
from thistleusher.embed.counter import MemoryCounter, MemoryCounterClient
from thistleusher.policy import Gateway
from thistleusher.services.addresses import read_address
from thistleusher.services.counter_client import CounterClient
from thistleusher.services.peers import PeerDatagrams

APP = "app"  # the name of the only backend, the host's code


class PeerAddresses(NamedTuple):
    """Addresses for datagrams between ingresses, as `host:port`: this one's, and those of all by ingress number."""

    listen: str
    everybody: tuple[str, ...]


class _ClosableCounter(CounterPort, Protocol):
    def close(self) -> None: ...


class EmbeddedIngress:
    """One ingress as a library: an async context manager, with `open` and `close` as the alternative.

    It can be opened once, and is bound to the event loop on which it was opened. `counter` is the address of the
    counter service as `host:port`, or a `MemoryCounter`; by default the ingress creates its own memory counter. `clock`
    returns Unix time in seconds, which must agree at all ingresses. `seed` makes random choices reproducible. The
    host's code is attempted once per request, whatever `max_attempts` says. Raises ValueError for invalid addresses and
    settings.
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
            cancel_stops_work=False,  # the host ends its own code when its server reports a disconnect
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
            self._all_addresses = tuple(read_address(p) for p in peers.everybody)
            if len(self._all_addresses) != settings.instances:
                raise ValueError(f"peers: expected {settings.instances} addresses, got {len(self._all_addresses)}")
        self.clock = clock
        self.scheduler = scheduler
        self.seed = random.SystemRandom().getrandbits(63) if seed is None else seed
        self.invalid = 0  # number of invalid requests, which were rejected without a decision or a charge
        self._loop: asyncio.AbstractEventLoop | None = None
        self._driver: Driver | None = None
        self._counter: _ClosableCounter | None = None
        self._peers: PeerDatagrams | None = None
        self._closed = False
        self._gateway: Gateway | None = None
        self._request_numbers = itertools.count()

    # Opening and closing.

    @property
    def driver(self) -> Driver:
        """The driver. Raises RuntimeError if the ingress is not open."""
        if self._driver is None:
            if self._closed:
                raise RuntimeError("the ingress is closed")
            raise RuntimeError("the ingress is not open: enter it with 'async with', for example in the lifespan")
        return self._driver

    async def open(self) -> None:
        """Open the ingress. Raises RuntimeError if it was opened before, OSError if `listen` cannot be bound."""
        if self._closed or self._loop is not None:
            raise RuntimeError("the ingress was opened before; create a new one")
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._gateway = make_gateway(self.settings, self.seed, self.clock())
        driver = Driver(self.settings, self._gateway, self, self.scheduler or loop, self.clock)
        counter = self._connect_counter(loop, driver)
        driver.counter = self._counter = counter
        try:
            if self.settings.peers:
                peers = PeerDatagrams(self._all_addresses, None, self.settings.me, driver.submit)
                self._peers = peers
                await loop.create_datagram_endpoint(lambda: peers, local_addr=self._listen)
                driver.peers = peers
        except BaseException:
            counter.close()
            self._closed = True
            raise
        entry = BackendEntry(APP, Phase.RUNNING)
        driver.submit(events.ListUpdate(ListKind.SAVED, 1, (entry,)))
        self._driver = driver

    def _connect_counter(self, loop: asyncio.AbstractEventLoop, driver: Driver) -> _ClosableCounter:
        if self.address is None:
            return MemoryCounterClient(self.memory, driver.submit)
        timeout = self.settings.counter_timeout
        return CounterClient(loop, self.address, timeout, driver.submit, driver.scheduler.time)

    async def close(self) -> None:
        """Close the ingress: answer waiting requests and interrupt running ones. Further calls have no effect."""
        self._closed = True
        driver = self._driver
        self._driver = None
        if driver is not None:
            driver.flush_on_shutdown()
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
        """Keep the ingress open while the application runs; for use as a framework's `lifespan`."""
        async with self:
            yield

    # Requests.

    def check_loop(self) -> asyncio.AbstractEventLoop:
        """Return the running event loop. Raises RuntimeError if the ingress was opened on another loop."""
        _ = self.driver
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            raise RuntimeError("the ingress was opened on another event loop; create one for each loop")
        return loop

    def admit(self, call: Call) -> Admission:
        """Return an admission to enter with `async with`. Raises BadRequest if the call is invalid."""
        return self.admission(self.request(call))

    def request(self, call: Call) -> events.Request:
        """Return the validated request. Raises BadRequest, naming the invalid field, and counts it in `invalid`."""
        try:
            request_id = f"embedded-{next(self._request_numbers)}"
            return checked_request(self.settings, self.classes, self.plans, call, request_id)
        except BadRequest:
            self.invalid += 1
            raise

    def admission(self, request: events.Request) -> Admission:
        """Return an admission for a validated request."""
        self.check_loop()
        return Admission(self, request)

    def room(self, member: int, plan: str) -> float:
        """Return the headroom of a member's quota in units, as known at this ingress."""
        assert self._gateway is not None
        return self._gateway.headroom(self.driver.now(), member, plan)

    @property
    def held(self) -> int:
        """The number of requests in flight: admitted, or waiting for their decision."""
        return len(self.driver.in_flight)

    # Called by the driver: the only backend.

    def prepare(self, in_flight: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]) -> Admission:
        """Return the request's admission, which serves as its attempt."""
        admission: Admission = in_flight.context
        admission.prepare(on_end)
        return admission

    def probe(self, backend: str) -> None:
        """Do nothing, since the host is this process and has no load report."""

    def close_idle(self, backend: str) -> None:
        """Do nothing, since there are no connections to the host."""
