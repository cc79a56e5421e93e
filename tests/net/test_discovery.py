"""Tests of the discovery client: watches, how they end and are reopened, and invalid lists."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.net.sockets import HOST, Peer, closed_port, entry, ok, run, until
from thistleusher.core.events import Phase
from thistleusher.net import discovery as discovery_module
from thistleusher.net.backend_list import parse_backend_list
from thistleusher.net.discovery import DiscoveryClient


class DiscoveryServer:
    """A discovery server that writes the test's lines to each watch."""

    def __init__(self) -> None:
        self.requests: list[str] = []
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def listen(self) -> DiscoveryServer:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.requests.append((await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while (line := await self.lines.get()) is not None:
            half = len(line) // 2  # splits a line over two chunks, since line and chunk boundaries need not coincide
            writer.write(b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (line[:half], line[half:]) if p))
        writer.close()


def text(index, *entries, snapshot=False):
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"


def test_watch_is_resumed_after_a_malformed_line_and_after_its_end(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_DELAY_S", 0.001)

    async def main():
        agent = await DiscoveryServer().listen()
        got = []
        DiscoveryClient(asyncio.get_running_loop(), (HOST, agent.port), 41, got.append)
        agent.lines.put_nowait(b"\n" + text(42, entry("b0", 80), snapshot=True))
        agent.lines.put_nowait(b'{"index":43,"snapshot":true,"endp\n')
        await until(lambda: len(agent.requests) == 2)
        assert [x.version for x in got] == [42]  # nothing was applied from the garbled line
        agent.lines.put_nowait(None)  # ends the first watch's handler, which still reads the queue
        agent.lines.put_nowait(text(43, entry("b1", 81, "DRAINING", 1500)) + text(44))
        await until(lambda: len(got) == 3)
        agent.lines.put_nowait(None)
        await until(lambda: len(agent.requests) == 3)
        assert [r.split(" ")[1] for r in agent.requests] == [f"/v1/servers?stream=1&index={i}" for i in (41, 42, 44)]
        assert (got[0].complete, got[1].complete) == (True, False)
        backend, endpoint = got[1].entries[0]
        assert (backend.backend, backend.phase, backend.born) == ("b1", Phase.STOPPING, 1.5)
        assert endpoint.address == (HOST, 81)

    run(main())


def test_silent_watch_is_reopened(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_DELAY_S", 0.001)
    monkeypatch.setattr(discovery_module, "RECEIVE_TIMEOUT_S", 0.05)

    async def main():
        agent = await DiscoveryServer().listen()
        DiscoveryClient(asyncio.get_running_loop(), (HOST, agent.port), 7, lambda _: None)
        await until(lambda: len(agent.requests) == 3)

    run(main())


def test_discovery_is_retried_indefinitely(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_DELAY_S", 0.001)

    async def main():
        got = []
        discovery = DiscoveryClient(asyncio.get_running_loop(), (HOST, closed_port()), 7, got.append)
        await asyncio.sleep(0.02)
        agent = await DiscoveryServer().listen()
        discovery.active_source.address = (HOST, agent.port)
        agent.lines.put_nowait(text(8))
        await until(lambda: got)

    run(main())


def test_old_discovery_source_stays_active_until_the_new_one_has_sent_the_complete_list():
    """Versions need not continue from one service to the other, so only the whole list shows removed backends."""

    async def main():
        old, new, go, got = await DiscoveryServer().listen(), asyncio.Event(), asyncio.Event(), []

        async def act(seen):
            new.set()
            await go.wait()
            if "stream" in seen.line:
                return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text(6)), text(6))
            return ok(text(5, entry("b0", 80), snapshot=True))

        agent = await Peer(act).listen()
        discovery = DiscoveryClient(asyncio.get_running_loop(), (HOST, old.port), 41, got.append)
        await until(lambda: old.requests)
        discovery.move((HOST, agent.port))
        await new.wait()
        old.lines.put_nowait(text(42))
        await until(lambda: got)
        go.set()
        await until(lambda: len(got) == 3)
        old.lines.put_nowait(text(43))
        assert [(x.version, x.complete) for x in got] == [(42, False), (5, True), (6, False)]
        assert [s.line.split(" ")[1] for s in agent.seen] == ["/v1/servers", "/v1/servers?stream=1&index=5"]
        discovery.on_source_list(object(), got[0])  # a list from a replaced source is ignored
        assert len(got) == 3

    run(main())


def test_list_that_could_not_be_applied_is_requested_again(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_DELAY_S", 0.001)

    async def main():
        agent = await DiscoveryServer().listen()
        got = []

        def take(listing):
            got.append(listing.version)
            if len(got) == 1:
                raise RuntimeError("a fault")

        DiscoveryClient(asyncio.get_running_loop(), (HOST, agent.port), 7, take)
        agent.lines.put_nowait(text(8))
        await until(lambda: len(agent.requests) == 2)
        agent.lines.put_nowait(None)
        agent.lines.put_nowait(text(8))
        await until(lambda: got == [8, 8])
        assert all(r.endswith("index=7 HTTP/1.1") for r in agent.requests)

    run(main())


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {},
        {"index": 1, "snapshot": True},
        {"index": "x", "snapshot": True, "endpoints": []},
        {"index": 1, "snapshot": 1, "endpoints": []},
        {"index": 1, "snapshot": True, "endpoints": [3]},
        {"index": 1, "snapshot": True, "endpoints": [entry("b0", 80, "ASLEEP")]},
        {"index": 1, "snapshot": True, "endpoints": [entry("b0", 0)]},
        {"index": 1, "snapshot": True, "endpoints": [entry("b0", 80) | {"weight": float("nan")}]},
    ],
)
def test_malformed_lists_are_rejected(message):
    with pytest.raises(ValueError):
        parse_backend_list(message)
