"""The counter service: named totals with a limited lifetime, and the faults that can be injected.

`POST /v2/numbers/NAME?delta=N&life_ms=N` answers 200 with the total. The hash of a name selects the part that serves
it; each part serves its calls one after another at a limited rate.
"""

from __future__ import annotations

import asyncio
import random
import time
import urllib.parse
import zlib
from collections.abc import Callable

from standins.http import Connection, Message, Service, answer
from standins.records import Added, Records

MAX_LIFETIME_MS, MAX_AMOUNT, MAX_NAME = 60_000, 1e9, 64


class Counter(Service):
    """The service. `per_s`: calls per second of each part, 0 for no limit; `delay`: seconds before each answer."""

    def __init__(
        self,
        records: Records | None = None,
        seed: int = 0,
        parts: int = 1,
        per_s: float = 0.0,
        delay: float = 0.0,
        clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.records = records or Records()
        self.rng = random.Random(seed)
        self.parts, self.per_s, self.delay, self.clock = parts, per_s, delay, clock
        self.counts: dict[str, tuple[float, float]] = {}  # by name: total, and time at which it expires
        self.busy_until = [0.0] * parts
        self.calls = 0
        # Faults.
        self.answering = asyncio.Event()
        self.answering.set()
        self.refusing = False
        self.lost_answer_fraction = self.garbled_answer_fraction = 0.0  # the addition has been made in both cases
        self.lifetime_factor = 1.0  # fraction of the requested lifetime for which a new name is kept
        self.answers_previous_total = False  # answers carry the total before the addition

    def totals(self) -> dict[str, float]:
        """Return the current total of each name."""
        now = self.clock()
        return {name: total for name, (total, until) in self.counts.items() if until > now}

    def silence(self, on: bool) -> None:
        """Start or end silence: calls that are read meanwhile are applied and answered after its end."""
        if on:
            self.answering.clear()
        else:
            self.answering.set()

    def restart_from_zero(self) -> None:
        """Reset all connections and forget all totals."""
        self.counts.clear()
        for connection in list(self.connections):
            connection.reset()

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Add to a total and answer with the new one, unless a fault is active."""
        await self.answering.wait()
        call = self.parse_call(message)
        if call is None:
            return answer(400, b"no such call")
        if self.refusing:
            return answer(503, b"")
        name, amount, life_ms = call
        await self.wait_for_turn(name)
        if connection.has_ended():
            return None  # the caller has disconnected, and nothing was added
        before, total = self.add(name, amount, life_ms)
        self.calls += 1
        if self.rng.random() < self.lost_answer_fraction:
            connection.reset()
            return None
        if self.rng.random() < self.garbled_answer_fraction:
            return answer(200, b"\xff%.3f" % total)
        return answer(200, b"%.6f" % (before if self.answers_previous_total else total))

    async def wait_for_turn(self, name: str) -> None:
        """Wait until the part that serves the name has finished its earlier calls."""
        wait = self.delay
        if self.per_s > 0:
            part = zlib.crc32(name.encode()) % self.parts
            now = asyncio.get_running_loop().time()
            self.busy_until[part] = max(now, self.busy_until[part]) + 1 / self.per_s
            wait += self.busy_until[part] - now
        if wait > 0:
            await asyncio.sleep(wait)

    def add(self, name: str, amount: float, life_ms: int) -> tuple[float, float]:
        """Add to a total; return the totals before and after."""
        now = self.clock()
        before, until = self.counts.get(name, (0.0, 0.0))
        if until <= now:
            before, until = 0.0, now + life_ms * self.lifetime_factor / 1000
        self.counts[name] = (before + amount, until)
        self.records.add(Added(now, name, amount, before + amount))
        return before, before + amount

    @staticmethod
    def parse_call(message: Message) -> tuple[str, float, int] | None:
        """Return the name, amount and lifetime in ms of a call, or None if the call is invalid."""
        method, target, _ = message.line.split(" ", 2)
        path, _, query = target.partition("?")
        name = path.removeprefix("/v2/numbers/")
        values = dict(urllib.parse.parse_qsl(query))
        try:
            amount, life = float(values["delta"]), int(values["life_ms"])
        except (KeyError, ValueError):
            return None
        if method != "POST" or name == path or not 1 <= len(name) <= MAX_NAME or life < 1:
            return None
        return (name, amount, min(life, MAX_LIFETIME_MS)) if abs(amount) <= MAX_AMOUNT else None
