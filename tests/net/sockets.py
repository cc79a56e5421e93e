"""Test peers on loopback sockets: backends, clients, and an ingress between them."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from standins.http import read_message
from standins.ports import unused_port
from tests.helpers import CEILED, KEYED, PLAN, SAFE, UNSAFE
from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.events import Event
from thistleusher.core.settings import Settings
from thistleusher.net.backend_list import BackendList, parse_backend_list
from thistleusher.net.ingress import Ingress
from thistleusher.net.ingress_server import IngressServer
from thistleusher.net.upstream import Upstream

HOST = "127.0.0.1"
TIMEOUT_S = 20.0  # upper limit of a whole test's run time; no test measures it


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a test on uvloop, the daemon's event loop, and return its result."""
    return uvloop.run(asyncio.wait_for(main, TIMEOUT_S))


async def until(true: Callable[[], Any]) -> None:
    """Poll until a condition holds. The time-out of the whole test bounds the wait."""
    while not true():  # noqa: ASYNC110 (polls a state of the same loop)
        await asyncio.sleep(0.002)


def settings(**more: Any) -> Settings:
    args: dict[str, Any] = dict(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(PLAN, CEILED),
        instances=3,
        counter_timeout=0.08,
        max_units=4.0,
        max_attempts=3,
        settles=True,
        may_probe=True,
        may_cancel=True,
        connect_timeout=2.0,
        max_retry_after=1.0,
    )
    return Settings(**{**args, **more})


def closed_port() -> int:
    """Return a port on which nothing listens and which no connection of another test will be given."""
    return unused_port()


def datagram_addresses(count: int) -> list[str]:
    """Return datagram addresses not used by tests in other processes: on a loopback address derived from the pid."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{pid % 256}"
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for s in socks:
        s.bind((host, 0))
    addresses = [f"{host}:{s.getsockname()[1]}" for s in socks]
    for s in socks:
        s.close()
    return addresses


class ReceivedRequest:
    """A request as received by a peer."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        self.line, self.headers, self.body, self.writer = line, headers, body, writer

    def socket(self) -> socket.socket:
        """Return a duplicate of the connection's socket, which bypasses the event loop."""
        return socket.socket(fileno=socket.dup(self.writer.get_extra_info("socket").fileno()))

    def ended(self) -> bool:
        """Return whether the other side has closed the connection, even if the event loop has not read that yet."""
        if self.writer.transport.is_closing():
            return True
        with self.socket() as s:
            s.setblocking(False)
            try:
                return s.recv(1, socket.MSG_PEEK) == b""
            except BlockingIOError:
                return False
            except OSError:
                return True


def ok(body: bytes = b"fine", *lines: bytes) -> bytes:
    return b"".join(
        [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body), *(x + b"\r\n" for x in lines), b"\r\n", body]
    )


class Peer:
    """An HTTP server whose answers the test provides: bytes, b"" to close the connection, or None for no answer."""

    def __init__(self, act: Callable[[ReceivedRequest], Awaitable[bytes | None]]) -> None:
        self.act = act
        self.seen: list[ReceivedRequest] = []
        self.connections = 0
        self.port = 0

    @classmethod
    async def start(cls, *answers: bytes | None) -> Peer:
        """Start a peer that gives these answers in turn, and repeats the last one."""
        queue = list(answers or [ok()])

        async def act(_: ReceivedRequest) -> bytes | None:
            return queue.pop(0) if len(queue) > 1 else queue[0]

        return await cls(act).listen()

    async def listen(self) -> Peer:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                seen = ReceivedRequest(*await read_message(reader), writer)
                self.seen.append(seen)
                answer = await self.act(seen)
                if answer == b"":
                    break
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class Client:
    """A client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection(HOST, port))

    async def ask(self, raw: bytes) -> tuple[int, dict[str, str], bytes]:
        self.writer.write(raw)
        return await self.answer()

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        line, headers, body = await read_message(self.reader)
        return int(line.split(" ")[1]), headers, body


def call(
    name: str = "r1",
    cls: str = "read",
    body: bytes = b"",
    budget: str = "6000m",
    path: str = "/api/000000000000000a",
    **headers: str | None,
) -> bytes:
    """Return a request as the front sends it; a header given as None is omitted."""
    lines: dict[str, str | None] = {
        "X-Call-Id": name,
        "X-Call-Class": cls,
        "X-Tier": "basic",
        "X-Budget": budget,
        "X-Call-Terms": "units=2,spread=2,first=1",
        "Content-Length": str(len(body)),
    }
    if cls == "pay":
        lines["Idempotency-Key"] = "k1"
    lines.update({k.replace("_", "-"): v for k, v in headers.items()})
    head = "".join(f"{k}: {v}\r\n" for k, v in lines.items() if v is not None)
    method = "GET" if cls == "read" else "POST"
    return f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\n{head}\r\n".encode() + body


def entry(name: str, port: int, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
    return {
        "name": name,
        "address": f"{HOST}:{port}",
        "zone": "z0",
        "type": "std",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def listing(*entries: dict[str, Any], index: int = 1, snapshot: bool = True) -> BackendList:
    return parse_backend_list(json.loads(json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries})))


class Script:
    """A decision module for tests: records events and returns the actions of the test's function."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.times: list[float] = []
        self.inside = False

    def handle(self, now: float, event: Event) -> list[Action]:
        assert not self.inside, "called back while deciding"
        self.inside = True
        try:
            self.events.append(event)
            self.times.append(now)
            return self.decide(event)
        finally:
            self.inside = False

    def ends(self) -> list[events.AttemptEnded]:
        return [e for e in self.events if isinstance(e, events.AttemptEnded)]


def in_turn(*backends: str) -> Callable[[Event], list[Action]]:
    """Return a function that attempts these backends one after another, then refuses the request."""

    def decide(event: Event) -> list[Action]:
        if isinstance(event, events.Request):
            return [actions.Attempt(event.id, backends[0])]
        if isinstance(event, events.AttemptEnded) and not event.done:
            if event.attempt + 1 < len(backends):
                return [actions.Attempt(event.request, backends[event.attempt + 1])]
            return [actions.Refuse(event.request)]
        return []

    return decide


class Rig:
    """An ingress and its HTTP server, in this process."""

    def __init__(self, decide: Callable[[Event], list[Action]], idle: float = 15.0, **more: Any) -> None:
        loop = asyncio.get_running_loop()
        self.script = Script(decide)
        self.settings = settings(**more)
        self.upstream = Upstream(loop, self.settings.connect_timeout, idle, 100)
        self.ingress = Ingress(loop, self.settings, self.script, self.upstream, ("latency_ms", "inflight"))
        self.server = IngressServer(loop, self.ingress, 50)
        self.port = 0

    async def start(self, **backends: int) -> Client:
        """Start listening, with these backends in the endpoint list; returns a client connection."""
        self.ingress.update_backends(listing(*(entry(name, port) for name, port in backends.items())))
        await self.server.listen(HOST, 0)
        assert self.server.listener is not None
        self.port = self.server.listener.sockets[0].getsockname()[1]
        return await Client.connect(self.port)


def unix() -> float:
    return time.time()
