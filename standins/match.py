"""Match servers with cores, a bounded queue, a cold start, deduplication by key, draining and load probes.

A request occupies a core for its work divided by the current speed of the server; the work is a sleep, not computation.
Each effect is recorded, so that a test can count repeated effects.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.http import Connection, Message, Service, answer, read_message
from standins.records import Began, Ran, Records, Up

KEY_WINDOW_S = 15.0


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """The capacity of a match server. Times are in seconds; `work` is the mean time per request on a warm core."""

    cores: int = 3
    queue: int = 60
    work: float = 0.02
    cold: float = 1.0
    cold_s: float = 0.0
    error_fraction: float = 0.0


class IdempotencyKeys:
    """Idempotency keys of requests whose effect has happened; the servers of one group share them."""

    def __init__(self, window: float = KEY_WINDOW_S, clock: Callable[[], float] = time.time) -> None:
        self.window, self.clock = window, clock
        self.seen: dict[str, float] = {}

    def claim(self, key: str) -> bool:
        """Return whether the key has not been claimed within the window, and claim it."""
        now = self.clock()
        while self.seen and (oldest := next(iter(self.seen))) and self.seen[oldest] < now - self.window:
            del self.seen[oldest]
        if key in self.seen:
            return False
        self.seen[key] = now
        return True


class MatchServer(Service):
    """One server. A request without `X-Call-Id` is answered 404, since no client of a fleet sends one."""

    def __init__(
        self,
        name: str,
        records: Records | None = None,
        capacity: ServerCapacity | None = None,
        keys: IdempotencyKeys | None = None,
        seed: int = 0,
        clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.name, self.records, self.capacity = name, records or Records(), capacity or ServerCapacity()
        self.keys, self.seed, self.clock = keys or IdempotencyKeys(clock=clock), seed, clock
        self.slots = asyncio.Semaphore(self.capacity.cores)
        self.inflight = self.waiting = 0
        self.started_at = 0.0
        # Faults.
        self.draining = False
        self.work_factor = 1.0  # factor by which the work of a request is multiplied
        self.error_fraction = self.capacity.error_fraction
        self.reset_fraction = 0.0  # fraction of requests whose connection is reset after their effect
        self.cut_fraction = 0.0  # fraction of requests whose connection is reset at their first byte
        self.cut_rng = random.Random(f"{seed} {name} cuts")
        self.answering = asyncio.Event()
        self.answering.set()

    async def start(self, port: int = 0) -> None:
        """Start to serve; the server is cold at first."""
        await super().start(port)
        self.started_at = self.clock()
        self.records.add(Up(self.started_at, self.name, self.capacity.cores, self.capacity.cold, self.capacity.cold_s))

    def silence(self, on: bool) -> None:
        """Start or end silence: requests that arrive meanwhile are served after its end."""
        (self.answering.clear if on else self.answering.set)()

    def close_idle(self) -> None:
        """Close all connections if no request is in flight."""
        if self.inflight == 0:
            for connection in list(self.connections):
                connection.writer.close()

    def speed(self) -> float:
        """Return the fraction of its full capacity that the server has reached since its start."""
        s = self.capacity
        grown = (self.clock() - self.started_at) / s.cold_s if s.cold_s > 0 else 1.0
        return min(1.0, s.cold + (1 - s.cold) * grown)

    async def next_message(self, connection: Connection) -> Message:
        """Return the next request. Raises ConnectionResetError if a fault resets the connection instead."""
        first = await connection.reader.readexactly(1)
        if self.cut_rng.random() < self.cut_fraction:
            connection.reset()
            raise ConnectionResetError
        return await read_message(connection.reader, first)

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer a health check or a load probe, or serve a request."""
        path = message.target.partition("?")[0]
        if path in ("/healthz", "/load"):
            load = f"TEXT inflight={self.inflight}, queue={self.waiting}"
            return answer(200, load.encode(), {"X-Load-Report": load})
        name = message.headers.get("x-call-id", "")
        if not name:
            return answer(404)
        key = message.headers.get("idempotency-key", "")
        draw = random.Random(f"{self.seed} {name}")
        work = draw.expovariate(1 / self.capacity.work)
        full = self.waiting >= self.capacity.queue or self.draining
        self.records.add(Began(self.clock(), name, self.name, key, work, full))
        if full:
            return answer(503, b"", {"X-Rejected": "1"})
        await self.answering.wait()
        self.inflight += 1
        try:
            return await self.run(name, key, work, draw, connection)
        finally:
            self.inflight -= 1

    async def run(self, name: str, key: str, work: float, draw: random.Random, connection: Connection) -> bytes | None:
        """Wait for a core, do the work and return the answer, or None if a fault resets the connection."""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(work * self.work_factor / self.speed())
        finally:
            self.slots.release()
        if draw.random() < self.error_fraction:
            return answer(500, b"")
        if not key or self.keys.claim(key):
            self.records.add(Ran(self.clock(), name, self.name, key))
        if draw.random() < self.reset_fraction:
            connection.reset()
            return None
        return answer(200, f"{self.name} {name}".encode(), {"Content-Type": "text/plain"})
