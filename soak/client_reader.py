"""Check of the reader of client bytes, with an ingress that answers each accepted request with 200."""

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


class _AcceptingIngress:
    """An ingress that answers each request immediately with status 200."""

    def __init__(self, parsed: Settings) -> None:
        self.settings, self.serving, self.driver = parsed, {"b"}, self
        self.scheduler = asyncio.get_running_loop()
        self.accepted: list[Any] = []

    def handle_request(self, call: Any, reply: Callable[[int, bytes, bytes], None]) -> None:
        self.accepted.append(call)
        reply(200, b"", call.request.id.encode())

    def client_disconnected(self, call: Any) -> None: ...


class _ResponseParser:
    """Parses the responses as a client does, and collects their statuses."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        self.statuses.append(self.parser.get_status_code())


def check_client_request(data: bytes, rng: random.Random) -> Hashable:
    """Feed client bytes to one connection; return the first statuses and whether further input is discarded."""
    parsed = shared_settings()

    async def main() -> Hashable:
        ingress = _AcceptingIngress(parsed)
        server = IngressServer(asyncio.get_running_loop(), ingress, 8)  # type: ignore[arg-type]
        connection, transport = ClientConnection(server), Transport()
        connection.connection_made(transport)  # type: ignore[arg-type]
        await _feed(connection, transport, chunks(data, rng))
        if len(connection.body) > MAX_BODY_BYTES or len(connection.url) > MAX_HEAD_BYTES + 65536:
            raise RuleBrokenError("connection buffers more than its limits")
        statuses = _statuses(bytes(transport.written))
        if statuses.count(200) < len(ingress.accepted) and not connection.closing:
            raise RuleBrokenError(f"{len(ingress.accepted)} requests accepted, answers {statuses}")
        for call in ingress.accepted:
            _check_accepted(call, parsed)
        connection.connection_lost(None)
        server.close()
        return tuple(statuses[:4]), connection.discarding_input

    return shared_loop().run_until_complete(main())


async def _feed(connection: ClientConnection, transport: Transport, parts: Iterable[bytes]) -> None:
    """Feed a connection until it closes, and let the requests in its queue run."""
    for part in parts:
        if transport.closed or connection.closing:
            break
        connection.data_received(part)
        await asyncio.sleep(0)
    for _ in range(len(connection.queue) + 2):
        await asyncio.sleep(0)


def _statuses(written: bytes) -> list[int]:
    """Return the statuses of the answers. Raises RuleBrokenError if a client cannot parse them, or for a 500."""
    client = _ResponseParser()
    try:
        client.parser.feed_data(written)
    except httptools.HttpParserError as error:
        raise RuleBrokenError(f"answers cannot be parsed by a client: {error}: {written[-200:]!r}") from error
    if 500 in client.statuses:
        raise RuleBrokenError("client bytes were answered with status 500")
    return client.statuses


def _check_accepted(call: Any, parsed: Settings) -> None:
    """Raise RuleBrokenError if an accepted request has invalid values or is forwarded as a different one."""
    r = call.request
    if not (
        0 < r.units <= parsed.max_units
        and 0 <= r.customer < 1 << 33
        and 0 < r.expires_in < 1e5
        and r.plan in {p.name for p in parsed.plans}
        and 1 <= r.width <= parsed.instances
    ):
        raise RuleBrokenError(f"request accepted with invalid values: {r!r}")
    head, _, rest = call.message(1.0).partition(b"\r\n\r\n")
    if rest != call.body or b"\0" in head or b"\n" in head.replace(b"\r\n", b""):
        raise RuleBrokenError(f"request forwarded as a different one: {call.message(1.0)[:300]!r}")
