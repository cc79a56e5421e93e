"""Checks of the readers of bytes from backends, the counter, discovery and peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Hashable
from typing import Any

from soak.reader_tools import RuleBrokenError, Transport, chunks, shared_loop, shared_settings
from thistleusher.assembly import make_gateway
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome, Phase
from thistleusher.net.backend_list import parse_backend_list_text
from thistleusher.net.discovery import DiscoveryConnection
from thistleusher.services.counter_connection import CounterConnection, PendingAdd
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_RESPONSE_HEAD_BYTES, ResponseReader
from thistleusher.services.message_limits import SLICE_BYTES


def check_backend_answer(data: bytes, rng: random.Random) -> Hashable:
    """Feed bytes from a backend; return the first statuses, the reader's error and whether an answer is incomplete."""
    reader, answers = ResponseReader(), []
    for part in chunks(data, rng):
        answers += reader.feed(part)
    for a in answers:
        if len(a.body) > MAX_BODY_BYTES or not 200 <= a.status <= 999:
            raise RuleBrokenError(f"answer accepted with invalid values: status {a.status}, {len(a.body)} bytes")
    if len(reader.body) > MAX_BODY_BYTES or reader.meter.bytes_since_body > MAX_RESPONSE_HEAD_BYTES + SLICE_BYTES:
        raise RuleBrokenError("reader buffers more than its limits")
    return tuple(a.status for a in answers[:3]), reader.error[:30], reader.partial


class _Channel:
    """Collects the results that a counter connection reports to its channel."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.reports: list[tuple[int, Outcome, float]] = []

    def report(self, add: PendingAdd, outcome: Outcome, total: float = 0.0) -> None:
        self.reports.append((add.name, outcome, total))

    def connection_ready(self, link: Any) -> None: ...

    def connection_ended(self, link: Any) -> None: ...


def check_counter(data: bytes, rng: random.Random) -> Hashable:
    """Feed bytes from the counter; check that each call gets exactly one result and that totals are finite numbers."""

    async def main() -> Hashable:
        channel = _Channel()
        link, transport = CounterConnection(channel), Transport()
        link.connection_made(transport)  # type: ignore[arg-type]
        for n in range(3):
            link.write(PendingAdd(n, b"", 0.0, 0.0))
        for part in chunks(data, rng):
            link.data_received(part)
        link.connection_lost(None)
        if sorted(name for name, _, _ in channel.reports) != [0, 1, 2]:
            raise RuleBrokenError(f"three calls got the results {channel.reports}")
        if any(not abs(total) < 1e100 for _, _, total in channel.reports):
            raise RuleBrokenError(f"total out of range: {channel.reports}")
        return tuple(outcome for _, outcome, _ in channel.reports)

    return shared_loop().run_until_complete(main())


def check_discovery(data: bytes, rng: random.Random) -> Hashable:
    """Feed bytes from discovery; check that each accepted list is valid."""

    async def main() -> Hashable:
        seen: list[int] = []

        def on_text(text: bytes) -> int:
            listing = parse_backend_list_text(text)
            for entry, endpoint in listing.entries:
                if not entry.backend or (endpoint is None) is not (entry.phase is Phase.DELETED):
                    raise RuleBrokenError(f"entry accepted with invalid values: {entry!r}")
            seen.append(len(listing.entries))
            return listing.version

        watch, transport = DiscoveryConnection(on_text, ("127.0.0.1", 1), rng.choice((None, 7))), Transport()
        watch.connection_made(transport)  # type: ignore[arg-type]
        for part in chunks(data, rng):
            watch.data_received(part)
        why = watch.ended.result().split(":")[0] if watch.ended.done() else ""
        watch.connection_lost(None)
        return tuple(seen[:3]), why

    return shared_loop().run_until_complete(main())


def check_datagram(data: bytes, rng: random.Random) -> Hashable:
    """Feed datagrams of at most 256 bytes, interleaved with requests of one customer; check the ingress's state."""
    parsed, now = shared_settings(), 5000.0
    gateway = make_gateway(parsed, 1, now)
    shown = []
    for n, part in enumerate(data[i : i + 256] for i in range(0, min(len(data), 2560), 256)):
        now += 0.05
        acts = gateway.handle(now, events.PeerMessage(1 + n % 2, part))
        acts += gateway.handle(now, events.Request(f"r{n}", parsed.classes[0].name, "plus", 7, 6.0, 1.0, 3, 0))
        acts += gateway.handle(now, events.TimerFired(1))
        for a in acts:
            if isinstance(a, actions.SendToPeer) and len(a.payload) > 256:
                raise RuleBrokenError(f"datagram of {len(a.payload)} bytes sent")
        shown.append(tuple(sorted({type(a).__name__ for a in acts})))
    for c in gateway.replication.customers.values():
        if not (-1e6 < c.headroom(now) <= c.plan.burst + 1e-6):
            raise RuleBrokenError(f"customer with a headroom of {c.headroom(now)}")
    escrow: Any = gateway.replication.escrow
    for own in escrow.allowances.values():
        if not (0 <= own.fraction() <= 1 and -own.terms.burst - 1e-6 <= own.headroom <= own.max_headroom() + 1e-6):
            raise RuleBrokenError(f"allowance with a share of {own.fraction()} and a headroom of {own.headroom}")
    return tuple(shown[:3]), len(gateway.replication.customers)
