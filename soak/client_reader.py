"""The ingress's reader of clients' bytes, with an ingress behind it that serves whatever it takes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Hashable, Iterable
from typing import Any

import httptools

from soak.reader_tools import RuleBrokenError, Transport, chunks, shared_loop, shared_settings
from thistleusher.core.settings import Settings
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.ingress_server import IngressServer
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_HEAD_BYTES


class _Decided:
    """An ingress that serves whatever it takes, at once."""

    def __init__(self, parsed: Settings) -> None:
        self.settings, self.serving, self.driver = parsed, {"b"}, self
        self.scheduler = asyncio.get_running_loop()
        self.taken: list[Any] = []

    def handle_request(self, call: Any, reply: Callable[[int, bytes, bytes], None]) -> None:
        self.taken.append(call)
        reply(200, b"", call.request.id.encode())

    def client_disconnected(self, call: Any) -> None: ...


class _Answers:
    """Reads what a client would read."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        self.statuses.append(self.parser.get_status_code())


def request(data: bytes, rng: random.Random) -> Hashable:
    """Read a client's bytes, on one connection; return what came of them."""
    parsed = shared_settings()

    async def main() -> Hashable:
        ingress = _Decided(parsed)
        server = IngressServer(asyncio.get_running_loop(), ingress, 8)  # type: ignore[arg-type]
        connection, transport = ClientConnection(server), Transport()
        connection.connection_made(transport)  # type: ignore[arg-type]
        await _feed(connection, transport, chunks(data, rng))
        if len(connection.body) > MAX_BODY_BYTES or len(connection.url) > MAX_HEAD_BYTES + 65536:
            raise RuleBrokenError("holds more than its limits")
        statuses = _statuses(bytes(transport.written))
        if statuses.count(200) < len(ingress.taken) and not connection.closing:
            raise RuleBrokenError(f"{len(ingress.taken)} requests taken, answers {statuses}")
        for call in ingress.taken:
            _check_taken(call, parsed)
        connection.connection_lost(None)
        server.close()
        return tuple(statuses[:4]), connection.discarding_input

    return shared_loop().run_until_complete(main())


async def _feed(connection: ClientConnection, transport: Transport, parts: Iterable[bytes]) -> None:
    """Give a connection its bytes until it closes, and let the requests in its queue run."""
    for part in parts:
        if transport.closed or connection.closing:
            break
        connection.data_received(part)
        await asyncio.sleep(0)
    for _ in range(len(connection.queue) + 2):
        await asyncio.sleep(0)


def _statuses(written: bytes) -> list[int]:
    """Return the statuses of the answers. Raises RuleBrokenError where no client can read them, and for a 500."""
    client = _Answers()
    try:
        client.parser.feed_data(written)
    except httptools.HttpParserError as error:
        raise RuleBrokenError(f"answers that no client can read: {error}: {written[-200:]!r}") from error
    if 500 in client.statuses:
        raise RuleBrokenError("a client's bytes were answered 500")
    return client.statuses


def _check_taken(call: Any, parsed: Settings) -> None:
    """Raise RuleBrokenError where a request was taken that cannot be meant, or is passed on as another."""
    r = call.request
    if not (
        0 < r.units <= parsed.max_units
        and 0 <= r.customer < 1 << 33
        and 0 < r.expires_in < 1e5
        and r.plan in {p.name for p in parsed.plans}
        and 1 <= r.width <= parsed.instances
    ):
        raise RuleBrokenError(f"taken as it cannot be meant: {r!r}")
    head, _, rest = call.message(1.0).partition(b"\r\n\r\n")
    if rest != call.body or b"\0" in head or b"\n" in head.replace(b"\r\n", b""):
        raise RuleBrokenError(f"passed on as another: {call.message(1.0)[:300]!r}")
