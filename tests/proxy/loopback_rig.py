"""A proxy's listener with scripted backends and clients over loopback."""

import asyncio
import math
import random

from standins.http import Message, read_message
from tests.proxy.simulated_peers import LENGTH, REQUEST
from thistleusher.common.node_settings import Bounds
from thistleusher.common.record_reader import read_record
from thistleusher.configuration.index import Index
from thistleusher.configuration.records import Configuration
from thistleusher.net.backend_connection import UpstreamOptions
from thistleusher.net.connection_pool import Endpoint
from thistleusher.net.memory_budget import MemoryBudget
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.forwarding import ProxyIngress
from thistleusher.proxy.http_messages import ATTEMPT_HEADER, outcome_of
from thistleusher.proxy.listener import ProxyServer
from thistleusher.proxy.placement import ListedBackend
from thistleusher.proxy.quota import Echo

ROUTE = {"hostname": "h.example", "deadline_ms": 2000, "target_ms": 500, "target": "s", "tries": 3}


def config(**tenants):
    return read_record(
        Configuration,
        {
            "version": "00000001",
            "routes": {
                "p": {**ROUTE, "path_prefix": "/p/", "variant": "pure"},
                "e": {**ROUTE, "path_prefix": "/e/", "variant": "effectful"},
                "o": {**ROUTE, "path_prefix": "/o/", "variant": "pure", "public": True},
            },
            "services": {"s": {}},
            "tenants": {"t": {"api_keys": ["k1", "k2"]}, **tenants},
        },
    )


def answer(attempt, status=200, seal=True, body=b"whole", more=b""):
    head = b"X-Server-Seal: s.1\r\n" if seal else b""
    return b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        status,
        attempt.encode(),
        head,
        more,
        len(body),
        body,
    )


class Backend:
    """A backend that runs one step of its script per request, and answers normally after the last step."""

    def __init__(self, name):
        self.name, self.script, self.got, self.connections = name, [], [], 0
        self.began = []  # ids of requests begun by the step "early", which stays in the script

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                if self.script and self.script[0] == "reset in head":
                    self.script.pop(0)
                    await reader.read(20)
                    writer.transport.abort()
                    return
                if self.script and self.script[0] == "early":
                    await self.answer_early(reader, writer)
                    continue
                message = await read_message(reader)
                attempt = message.headers["x-attempt-id"]
                self.got.append(message)
                step = self.script.pop(0) if self.script else "answer"
                if step == "reset":
                    writer.transport.abort()
                    return
                if step == "cut":
                    writer.write(answer(attempt)[:-2])
                    await writer.drain()
                    writer.transport.abort()
                    return
                if callable(step):
                    writer.write(step(attempt))
                elif step == "answer":
                    writer.write(answer(attempt))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def answer_early(self, reader, writer):
        """Run a request once its head is there, answer it at once, and read its body after that."""
        head = await reader.readuntil(b"\r\n\r\n")
        attempt = REQUEST.search(head)[1].decode()
        self.began.append(attempt)
        writer.write(answer(attempt))
        await writer.drain()
        body = await reader.readexactly(int(LENGTH.search(head)[1]))
        self.got.append(Message(head.split(b"\r\n")[0].decode(), {}, body))


class Rig:
    """A proxy's listener with two backends of one service; `capacity`: of the memory for bodies, if it is limited."""

    def __init__(self, count=2, capacity=None):
        self.budget = None if capacity is None else MemoryBudget(capacity)
        self.backends = [Backend(f"b{n}") for n in range(count)]
        self.serial = 0

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            await backend.start()
        self.decisions = Decisions("me", "z", "r", Bounds(retry_slack=60), random.Random(1), loop.time())
        self.upstream = Upstream(
            loop, 0.5, 10.0, 50, UpstreamOptions(1 << 20, ATTEMPT_HEADER, 1.0, outcome_of, self.budget)
        )
        self.ingress = ProxyIngress(loop, self.decisions, self.upstream, lambda charge: None)
        self.server = ProxyServer(loop, self.ingress, 50)
        self.apply_configuration(config())
        self.decisions.apply_proxies(["me"])
        self.decisions.quota.record_echo(loop.time(), Echo("counter", 0.0), math.inf, 0.0)  # in contact throughout
        listed = {b.name: ListedBackend(b.name, "s", ("127.0.0.1", b.port), "z", "r", 6, False) for b in self.backends}
        for name, backend in listed.items():
            self.upstream.update(name, Endpoint(backend.address, 0.0))
        self.decisions.apply_backends(loop.time(), listed)
        self.ingress.serving |= listed.keys()
        self.server.has_backend_list = True
        await self.server.listen("127.0.0.1", 0)
        self.port = self.server.listener.sockets[0].getsockname()[1]
        return self

    def apply_configuration(self, configuration):
        self.decisions.apply_configuration(asyncio.get_running_loop().time(), configuration)
        self.server.apply_configuration(Index(configuration))

    async def __aexit__(self, *_):
        self.server.close()
        self.ingress.driver.close()
        self.upstream.close()
        for backend in self.backends:
            backend.server.close()

    async def client(self):
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, path, **more):
        client = await self.client()
        try:
            return await client.ask(path, **more)
        finally:
            client.writer.close()

    def runs(self):
        return [m for b in self.backends for m in b.got]


class Client:
    serial = 0

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def ask(self, path, key="k1", method=None, body=b"", lines="", attempt=None):
        Client.serial += 1
        attempt = attempt or f"a{Client.serial}"
        method = method or ("POST" if path.startswith("/e/") else "GET")
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: 1500\r\nAuthorization: Token {key}\r\n{lines}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        async with asyncio.timeout(5.0):
            return await read_message(self.reader)


async def until(condition):
    """Run the event loop until the condition holds."""
    while not condition():  # noqa: ASYNC110 - no event signals the condition
        await asyncio.sleep(0)


def play(scenario, count=2, capacity=None):
    async def main():
        async with Rig(count, capacity) as rig:
            await scenario(rig)

    asyncio.run(main())
