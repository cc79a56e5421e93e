"""A load generator: sends the requests of members to ingresses of each member's ingress set, with retries.

The requests, their times and their ingresses are drawn from the seed before the run starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from standins.http import MAX_HEAD, Message, read_message
from standins.records import Answered, Asked, Records, Withdrawn

HOST = "127.0.0.1"
ANSWER_GRACE_S = 0.5  # the front waits for an answer until this long after the request's budget
MAX_RETRIES = 1


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: `effect` is safe, keyed or unsafe; `budget` in seconds."""

    effect: str
    share: float
    budget: float = 2.0


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic of a run. `rate` is the number of first attempts per second of all members together."""

    seconds: float
    rate: float
    members: Mapping[str, int]  # by plan
    classes: Mapping[str, RequestClass]
    max_units: int = 4
    skew: float = 0.5
    retry_share: float = 0.8
    spread: int = 3
    seed: int = 0
    switch_interval_s: float = 0.0  # all members use the next ingress after this time; 0: each has its own mix


class PlannedRequest(NamedTuple):
    """A request to be sent `at` seconds after the start."""

    at: float
    op: str
    member: int
    plan: str
    cls: str
    units: int
    ingress: int
    first: int
    spread: int


def draw_requests(traffic: Traffic, ingresses: int) -> list[PlannedRequest]:
    """Return the first attempts of a run, ordered by time."""
    rng = random.Random(f"{traffic.seed} front")
    members = [(plan, n) for plan, count in traffic.members.items() for n in range(count)]
    weights = [1.0 / (n + 1) ** traffic.skew for _, n in members]
    numbers = {m: k for k, m in enumerate(members)}
    names, shares = list(traffic.classes), [c.share for c in traffic.classes.values()]
    at, out = 0.0, list[PlannedRequest]()
    while (at := at + rng.expovariate(traffic.rate)) < traffic.seconds:
        plan, n = rng.choices(members, weights)[0]
        member = numbers[plan, n]
        spread = min(traffic.spread, ingresses)
        first = member % ingresses
        step = min(int(rng.expovariate(1.0)), spread - 1)
        if traffic.switch_interval_s > 0:
            step = int(at // traffic.switch_interval_s) % spread
        ingress = (first + step) % ingresses
        out.append(
            PlannedRequest(
                at,
                f"op{len(out)}",
                member,
                plan,
                rng.choices(names, shares)[0],
                rng.randint(1, traffic.max_units),
                ingress,
                first,
                spread,
            )
        )
    return out


class IngressConnection(NamedTuple):
    """A connection to an ingress."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Front:
    """Sends the drawn requests and records the answers."""

    def __init__(
        self,
        ingresses: Sequence[tuple[str, int]],
        traffic: Traffic,
        records: Records | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.ingresses, self.traffic, self.clock = list(ingresses), traffic, clock
        self.records = records or Records()
        self.idle: list[list[IngressConnection]] = [[] for _ in ingresses]
        self.rng = random.Random(f"{traffic.seed} retries")
        self.sent = self.in_flight = 0
        self.status_counts: dict[int, int] = {}

    async def run(self) -> None:
        """Send all requests; return when each attempt has ended."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for planned in draw_requests(self.traffic, len(self.ingresses)):
                await asyncio.sleep(began + planned.at - loop.time())
                group.create_task(self.perform(planned))
        self.close()

    async def perform(self, planned: PlannedRequest) -> None:
        """Perform one operation, with the retries that a member makes after a refusal."""
        ingress = planned.ingress
        for attempt in range(MAX_RETRIES + 1):
            answered = await self.send_attempt(planned, f"{planned.op}.{attempt}", ingress, attempt > 0)
            if answered is None or answered.status not in (429, 503):
                return
            if self.rng.random() >= self.traffic.retry_share:
                return
            await asyncio.sleep(answered.retry_after or 0.1 + 0.1 * self.rng.random())
            ingress = (planned.first + self.rng.randrange(planned.spread)) % len(self.ingresses)

    async def send_attempt(self, planned: PlannedRequest, name: str, ingress: int, again: bool) -> Answered | None:
        """Send one attempt. If an ingress accepts no connection, the next one is used."""
        raw = self.message(planned, name, again)
        for step in range(len(self.ingresses)):
            number = (ingress + step) % len(self.ingresses)
            used = bool(self.idle[number])
            connection = self.idle[number].pop() if used else await self.connect(number)
            if connection is None:
                continue
            self.in_flight += 1
            try:
                answered = await self.send_to_ingress(planned, name, number, connection, raw, again, used)
            finally:
                self.in_flight -= 1
            if answered is not None:
                return answered
        return None

    async def send_to_ingress(
        self,
        planned: PlannedRequest,
        name: str,
        number: int,
        connection: IngressConnection,
        raw: bytes,
        again: bool,
        used: bool,
    ) -> Answered | None:
        """Send one attempt to one ingress; return None if the ingress did not accept it."""
        budget = self.traffic.classes[planned.cls].budget
        asked = Asked(
            self.clock(),
            name,
            planned.op,
            str(number),
            planned.member,
            planned.plan,
            planned.cls,
            planned.units,
            budget,
            again,
        )
        self.records.add(asked)
        self.sent += 1
        status, after, body = 0, 0.0, ""
        try:
            async with asyncio.timeout(budget + ANSWER_GRACE_S):
                got = await self.send_on_connection(connection, raw)
                if got is None and used:  # closed while idle: send once more on a new connection
                    new = await self.connect(number)
                    if new is None:
                        self.records.add(Withdrawn(self.clock(), name, str(number)))
                        return None
                    connection = new
                    got = await self.send_on_connection(connection, raw)
                if got is not None:
                    status, body = got.status, got.body.decode("latin-1")
                    after = float(got.headers.get("retry-after", "0"))
                    if got.headers.get("connection") == "close":
                        connection.writer.close()
                    else:
                        self.idle[number].append(connection)
        except TimeoutError:
            status = -1
            connection.writer.transport.abort()
        answered = Answered(self.clock(), name, status, after, body)
        self.records.add(answered)
        self.status_counts[status] = self.status_counts.get(status, 0) + 1
        return answered

    @staticmethod
    async def send_on_connection(connection: IngressConnection, raw: bytes) -> Message | None:
        """Send a request and return its answer, or None if the connection ends first."""
        try:
            connection.writer.write(raw)
            return await read_message(connection.reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            connection.writer.close()
            return None

    async def connect(self, number: int) -> IngressConnection | None:
        """Return a new connection to an ingress, or None if the ingress accepts none."""
        try:
            return IngressConnection(*await asyncio.open_connection(*self.ingresses[number], limit=MAX_HEAD))
        except OSError:
            return None

    def message(self, planned: PlannedRequest, name: str, again: bool) -> bytes:
        """Encode a request."""
        cls = self.traffic.classes[planned.cls]
        lines = [
            f"{'GET' if cls.effect == 'safe' else 'POST'} /api/{planned.member:016x} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {name}",
            f"X-Call-Class: {planned.cls}",
            f"X-Tier: {planned.plan}",
            f"X-Budget: {round(cls.budget * 1000)}m",
            f"X-Call-Terms: units={planned.units},spread={planned.spread},first={planned.first}",
        ]
        if cls.effect == "keyed":
            lines.append(f"Idempotency-Key: {planned.op}")
        if again:
            lines.append("X-Again: 1")
        if cls.effect != "safe":
            lines.append("Content-Length: 0")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def close(self) -> None:
        """Close the idle connections."""
        for lines in self.idle:
            for connection in lines:
                with contextlib.suppress(Exception):
                    connection.writer.close()
            lines.clear()
