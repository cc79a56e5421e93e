"""Everything that reads bytes from outside, each behind one function: bytes in, what was shown out.

A reader may refuse whatever it likes by its own plain error. What it must not do: raise anything else, answer a client
500, hold more than its limits, promise a client something it cannot read, or let a spoilt message change what is known.
"""

from __future__ import annotations

import asyncio
import os
import random
import struct
import tempfile
from collections.abc import Callable, Hashable, Iterable
from pathlib import Path
from typing import Any

import httptools

from soak.case import CaseError, read_case
from standins.faults import ScriptError, read_script
from standins.fleet_options import Options, settings
from standins.records import read_records
from thistleusher.assembly import make_gateway
from thistleusher.core import actions, events
from thistleusher.core.datagrams import USAGE_ENTRY, USAGE_MARK, encode_customer
from thistleusher.core.events import Outcome, Phase
from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.net.backend_list import parse_backend_list_text
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.config import InvalidConfigurationError, read_config
from thistleusher.net.counters_file import read_counters
from thistleusher.net.discovery import DiscoveryConnection
from thistleusher.net.ingress_server import IngressServer
from thistleusher.quota.messages import BALANCE_FORMAT, HANDSHAKE_FORMAT, HANDSHAKE_MARK, TRANSFER_FORMAT
from thistleusher.services.counter_connection import CounterConnection, PendingAdd
from thistleusher.services.http_responses import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseReader

Check = Callable[[bytes, random.Random], Hashable]


class RuleBrokenError(AssertionError):
    """What a reader did that it must not."""


def chunks(data: bytes, rng: random.Random) -> list[bytes]:
    """Return the same bytes, in reads of random lengths."""
    out, at = [], 0
    while at < len(data):
        size = rng.choice((1, 7, 100, 1400, 65536)) if len(data) < 4000 else rng.choice((1400, 65536))
        out.append(data[at : at + size])
        at += size
    return out


class Transport:
    """What a protocol writes to; it reads nothing."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.closed = self.aborted = False

    def write(self, data: bytes) -> None:
        """Collect what is written. Raises RuleBrokenError after the end."""
        if self.closed:
            raise RuleBrokenError("written to after its end")
        self.written += data

    def close(self) -> None:
        """End the connection."""
        self.closed = True

    abort = write_eof = close

    def pause_reading(self) -> None:
        """Do nothing: all bytes are there already."""

    def resume_reading(self) -> None:
        """Do nothing: all bytes are there already."""

    def get_extra_info(self, name: str) -> None:
        """Return nothing: there is no socket."""


# Clients.


class _Decided:
    """An ingress that serves whatever it takes, at once."""

    def __init__(self, told: Settings) -> None:
        self.settings, self.serving, self.driver = told, {"b"}, self
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
    told = _told()

    async def main() -> Hashable:
        ingress = _Decided(told)
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
            _check_taken(call, told)
        connection.connection_lost(None)
        server.close()
        return tuple(statuses[:4]), connection.discarding_input

    return _loop().run_until_complete(main())


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


def _check_taken(call: Any, told: Settings) -> None:
    """Raise RuleBrokenError where a request was taken that cannot be meant, or is passed on as another."""
    r = call.request
    if not (
        0 < r.units <= told.max_units
        and 0 <= r.customer < 1 << 33
        and 0 < r.expires_in < 1e5
        and r.plan in {p.name for p in told.plans}
        and 1 <= r.width <= told.instances
    ):
        raise RuleBrokenError(f"taken as it cannot be meant: {r!r}")
    head, _, rest = call.message(1.0).partition(b"\r\n\r\n")
    if rest != call.body or b"\0" in head or b"\n" in head.replace(b"\r\n", b""):
        raise RuleBrokenError(f"passed on as another: {call.message(1.0)[:300]!r}")


# Backends, counter, discovery, peers.


def answer(data: bytes, rng: random.Random) -> Hashable:
    """Read a backend's bytes; return whole answers, or the reason why none can be read any more."""
    reader, whole = ResponseReader(), []
    for part in chunks(data, rng):
        whole += reader.feed(part)
    for a in whole:
        if len(a.body) > MAX_BODY_BYTES or not 200 <= a.status <= 999:
            raise RuleBrokenError(f"taken as it cannot be meant: {a.status}, {len(a.body)} bytes")
    if len(reader.body) > MAX_BODY_BYTES or reader.bytes_read > 3 * MAX_BODY_BYTES + 3 * MAX_HEAD_BYTES + 65536:
        raise RuleBrokenError("holds more than its limits")
    return tuple(a.status for a in whole[:3]), reader.error[:30], reader.partial


class _Channel:
    """What a counter's connection reports to its channel."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.reports: list[tuple[int, Outcome, float]] = []

    def report(self, add: PendingAdd, outcome: Outcome, total: float = 0.0) -> None:
        self.reports.append((add.name, outcome, total))

    def connection_ready(self, link: Any) -> None: ...

    def connection_ended(self, link: Any) -> None: ...


def counter(data: bytes, rng: random.Random) -> Hashable:
    """Read the counter's bytes: each call has one verdict in the end, and a total is a number."""

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
            raise RuleBrokenError(f"three calls, verdicts {channel.reports}")
        if any(not abs(total) < 1e100 for _, _, total in channel.reports):
            raise RuleBrokenError(f"no total: {channel.reports}")
        return tuple(outcome for _, outcome, _ in channel.reports)

    return _loop().run_until_complete(main())


def discovery(data: bytes, rng: random.Random) -> Hashable:
    """Discovery's bytes: a list that can be meant, or an end with a reason."""

    async def main() -> Hashable:
        seen: list[int] = []

        def on_text(text: bytes) -> int:
            listing = parse_backend_list_text(text)
            for entry, endpoint in listing.entries:
                if not entry.backend or (endpoint is None) is not (entry.phase is Phase.DELETED):
                    raise RuleBrokenError(f"taken as it cannot be meant: {entry!r}")
            seen.append(len(listing.entries))
            return listing.version

        watch, transport = DiscoveryConnection(on_text, ("127.0.0.1", 1), rng.choice((None, 7))), Transport()
        watch.connection_made(transport)  # type: ignore[arg-type]
        for part in chunks(data, rng):
            watch.data_received(part)
        why = watch.ended.result().split(":")[0] if watch.ended.done() else ""
        watch.connection_lost(None)
        return tuple(seen[:3]), why

    return _loop().run_until_complete(main())


def datagram(data: bytes, rng: random.Random) -> Hashable:
    """Datagrams of all marks, 256 bytes at most each, between requests of the same member."""
    told, now = _told(), 5000.0
    gateway = make_gateway(told, 1, now)
    shown = []
    for n, part in enumerate(data[i : i + 256] for i in range(0, min(len(data), 2560), 256)):
        now += 0.05
        acts = gateway.handle(now, events.PeerMessage(1 + n % 2, part))
        acts += gateway.handle(now, events.Request(f"r{n}", told.classes[0].name, "plus", 7, 6.0, 1.0, 3, 0))
        acts += gateway.handle(now, events.TimerFired(1))
        for a in acts:
            if isinstance(a, actions.SendToPeer) and len(a.payload) > 256:
                raise RuleBrokenError(f"a datagram of {len(a.payload)} bytes")
        shown.append(tuple(sorted({type(a).__name__ for a in acts})))
    for c in gateway.replication.customers.values():
        if not (-1e6 < c.headroom(now) <= c.plan.burst + 1e-6):
            raise RuleBrokenError(f"a store of {c.headroom(now)}")
    escrow: Any = gateway.replication.escrow
    for own in escrow.allowances.values():
        if not (0 <= own.fraction() <= 1 and -own.terms.burst - 1e-6 <= own.headroom <= own.max_headroom() + 1e-6):
            raise RuleBrokenError(f"a share of {own.fraction()}, headroom of {own.headroom}")
    return tuple(shown[:3]), len(gateway.replication.customers)


# Files.


def _file(read: Callable[[str], object], plain: type[Exception]) -> Check:
    def check(data: bytes, rng: random.Random) -> Hashable:
        path = Path(_folder()) / f"input-{os.getpid()}"
        path.write_bytes(data)
        try:
            read(str(path))
        except plain as error:
            text = str(error)
            if "\n" in text.strip() or path.name not in text:
                raise RuleBrokenError(f"an error that does not name the file in one line: {text!r}") from error
            return text.rpartition(path.name)[2][:40]
        return "read"

    return check


def _config(path: str) -> None:
    config = read_config({"PROXY_CONFIG": path})
    make_gateway(config.settings, config.seed, 5000.0)


def _script(path: str) -> None:
    for f in read_script(path):
        if not (0 <= f.at < 1e300 and 0 <= f.lasts < 1e300 and 0 <= f.value < 1e300):
            raise RuleBrokenError(f"taken as it cannot be meant: {f!r}")


def records(data: bytes, rng: random.Random) -> Hashable:
    """Read a file of records; return how many it has, or the error."""
    try:
        return len(read_records(data.decode("utf-8", "replace").splitlines(), "file"))
    except ValueError as error:
        return str(error)[:20]


_CALL = (
    b"POST /api/0000000000000007 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: a1\r\nX-Call-Class: browse\r\n"
    b"X-Tier: plus\r\nX-Budget: 480m\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n"
    b"X-Call-Terms: units=2,spread=3,first=1\r\n\r\nhello"
)
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Cost-Units: 1.5\r\n\r\n12.5"
_LIST = (
    b'{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"10.1.0.18:8080","zone":"a","type":"m2",'
    b'"group":3,"status":"SERVING","weight":1.0,"since_ms":0},{"name":"t","address":"10.1.0.18:8080","status":"DELETED"}]}\n'
)
_LIFE = (5000_000).to_bytes(8)
_ROW = TRANSFER_FORMAT.pack(encode_customer(1, 7), 5000 // 4 & 0xFF, 0, 3, 512, 640)
_SCRIPT = b'[[fault]]\nat = 2.0\ndo = "match.slow"\ntarget = 3\nfor = 1.5\nvalue = 0.2\n'


def _config_bytes() -> bytes:
    import json

    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "counter": "127.0.0.1:3",
            "peer_listen": "127.0.0.1:4",
            "peers": ["127.0.0.1:4"] * 3,
            "seed": "1f",
            "limits": {"sockets": 99},
            "settings": settings(Options(), 0),
        }
    ).encode()


READERS: dict[str, tuple[Check, tuple[bytes, ...]]] = {
    "request": (
        request,
        (
            _CALL,
            _CALL.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked") + b"\r\n0\r\n\r\n",
            b"GET /healthz HTTP/1.1\r\n\r\n",
            _CALL + _CALL.replace(b"a1", b"a2"),
        ),
    ),
    "answer": (
        answer,
        (
            _OK,
            _OK + _OK,
            b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
        ),
    ),
    "counter": (counter, (_OK * 3, _OK.replace(b"12.5", b"-1.0"), b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")),
    "discovery": (
        discovery,
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(_LIST), _LIST),
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(_LIST), _LIST),
        ),
    ),
    "datagram": (
        datagram,
        (
            USAGE_MARK + USAGE_ENTRY.pack(encode_customer(1, 7), 8, 8, 50),
            b"\x02" + _LIFE + _ROW,
            b"\x03" + _LIFE + _ROW,
            b"\x05" + _LIFE + _ROW,
            b"\x06" + _LIFE + BALANCE_FORMAT.pack(encode_customer(1, 7), 5000 // 4 & 0xFF, 512, 640, 100, 10, 50, 5),
            USAGE_MARK,
            b"12345",
            HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(5000_000, 5000_000, 5000_000, 0),
            HANDSHAKE_MARK + struct.pack(">QQQB", 1, 2, 1, 7),
        ),
    ),
    "config": (_file(_config, InvalidConfigurationError), (_config_bytes(),)),
    "counters": (
        _file(read_counters, InvalidConfigurationError),
        (b'counters = ["10.2.0.2:6400", "10.2.0.3:6400"]\n',),
    ),
    "script": (_file(_script, ScriptError), (_SCRIPT, _SCRIPT + b'[[fault]]\nat = 1\ndo = "counter.restart"\n')),
    "records": (records, (b'["Told", 1.0, "s-0", "SERVING"]\n["Added", 1.0, "n", 2.0, 2.0]\n',)),
    "case": (_file(read_case, CaseError), (b'{"kind": "fleet", "seed": 7, "size": {"faults": []}}\n',)),
}

_kept: dict[str, Any] = {}


def _loop() -> asyncio.AbstractEventLoop:
    """One loop for all inputs of a process."""
    if "loop" not in _kept:
        _kept["loop"] = asyncio.new_event_loop()
    loop: asyncio.AbstractEventLoop = _kept["loop"]
    return loop


def _folder() -> str:
    if "folder" not in _kept:
        _kept["folder"] = tempfile.TemporaryDirectory(prefix="soak-")
    return str(_kept["folder"].name)


def _told() -> Settings:
    if "told" not in _kept:
        _kept["told"] = nested_settings(settings(Options(), 0))[0]
    told: Settings = _kept["told"]
    return told
