"""The counter, discovery and the other ingresses."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.net.sockets import HOST, Peer, closed_port, entry, ok, run, until
from thistleusher.core import events
from thistleusher.core.events import Outcome, Phase
from thistleusher.net import discovery as discovery_module
from thistleusher.net.backend_list import parse_backend_list
from thistleusher.net.discovery import DiscoveryClient
from thistleusher.services import counter_client as counter_module
from thistleusher.services.counter_client import CounterClient
from thistleusher.services.peers import PeerDatagrams

LONG = 10.0  # a time-out that no test waits for


class Watching:
    """A counter with all its replies."""

    def __init__(self, port: int, timeout: float = LONG) -> None:
        self.replies: list[events.CounterReply] = []
        self.counter = CounterClient(asyncio.get_running_loop(), (HOST, port), timeout, self.replies.append)

    async def some(self, number: int) -> list[events.CounterReply]:
        await until(lambda: len(self.replies) >= number)
        return self.replies


def test_calls_of_one_name_keep_their_order_on_one_connection():
    async def main():
        total = 0.0

        async def act(seen):
            nonlocal total
            total += float(seen.line.split("delta=")[1].split("&")[0])
            return ok(b"%.1f" % total)

        service = await Peer(act).listen()
        w = Watching(service.port)
        for amount in (1.0, 2.5, -0.5):
            w.counter.add(8, amount, 3.0)
        assert [r.total for r in await w.some(3)] == [1.0, 3.5, 3.0]
        assert all(r.name == 8 and r.outcome is Outcome.OK for r in w.replies)
        assert len({s.writer for s in service.seen}) == 1
        assert service.seen[0].line == "POST /v2/numbers/8?delta=1.000000&life_ms=3000 HTTP/1.1"

    run(main())


def test_a_late_reply_is_not_taken_for_the_next_calls():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            if seen.line.startswith("POST /v2/numbers/2?delta=1.0"):
                await go.wait()
                return ok(b"111")
            return ok(b"222")

        service = await Peer(act).listen()
        w = Watching(service.port, 0.05)
        w.counter.add(2, 1.0, 3.0)
        assert (await w.some(1))[0].outcome is Outcome.TIMEOUT
        w.counter.timeout = LONG
        w.counter.add(2, 5.0, 3.0)
        go.set()
        assert [(r.outcome, r.total) for r in (await w.some(2))[1:]] == [(Outcome.OK, 222.0)]
        assert service.connections == counter_module.LINES  # the connection was kept

    run(main())


@pytest.mark.parametrize(
    "answer,outcome",
    [
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n", Outcome.CONNECT_FAILED),
        (b"HTTP/1.1 404 What\r\nContent-Length: 0\r\n\r\n", Outcome.CONNECT_FAILED),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Outcome.TIMEOUT),
        # Spoilt: added, and the connection is of no further use.
        *((ok(total), Outcome.ERROR) for total in (b"many", b"--3", b"nan", b"inf", b"", b"1e999", b"7 8")),
        (b"rubbish\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Len", Outcome.ERROR),
        (b"", Outcome.TIMEOUT),
    ],
)
def test_only_what_surely_was_not_added_is_reported_so(answer, outcome):
    async def main():
        service = await Peer.start(answer)
        w = Watching(service.port)
        await until(lambda: w.counter.lines[0].link)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.some(1))[0].outcome is outcome
        service.act = lambda _: asyncio.sleep(0, ok(b"7"))
        w.counter.add(4, 1.0, 3.0)  # on the same connection or a new one
        assert (await w.some(2))[1].total == 7.0

    run(main())


def test_a_call_that_was_never_written_was_not_added():
    async def main():
        w = Watching(closed_port(), 0.05)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.some(1))[0].outcome is Outcome.CONNECT_FAILED
        assert not w.counter.lines[0].unsent

    run(main())


def test_a_stuck_connection_is_replaced(monkeypatch):
    monkeypatch.setattr(counter_module, "STUCK_S", 0.05)
    monkeypatch.setattr(counter_module, "RETRY_S", 0.01)

    async def main():
        service = await Peer.start(None)
        w = Watching(service.port, 0.1)
        await until(lambda: w.counter.lines[0].link)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.some(1))[0].outcome is Outcome.TIMEOUT
        await until(lambda: service.connections > counter_module.LINES)
        service.act = lambda _: asyncio.sleep(0, ok(b"7"))
        w.counter.timeout = LONG
        w.counter.add(4, 1.0, 3.0)
        assert (await w.some(2))[1].total == 7.0

    run(main())


def test_calls_behind_a_spoilt_answer_may_have_been_added():
    async def main():
        service = await Peer.start(b"HTTP/1.1 20x\r\n\r\n")
        w = Watching(service.port)
        await until(lambda: w.counter.lines[0].link)
        w.counter.add(4, 1.0, 3.0)
        w.counter.add(8, 1.0, 3.0)
        assert [r.outcome for r in await w.some(2)] == [Outcome.ERROR, Outcome.TIMEOUT]

    run(main())


def test_news_of_an_old_connection_does_not_reach_the_new_one():
    """One object for both once let the late end of the old connection take the new one down."""

    async def main():
        service = await Peer.start(None)
        w = Watching(service.port)
        line = w.counter.lines[0]
        await until(lambda: line.link)
        w.counter.add(4, 1.0, 3.0)
        old = line.link
        old.served = True  # so that it is replaced at once
        old.end("a test")
        await until(lambda: line.link not in (None, old))
        new = line.link
        w.counter.add(4, 2.0, 3.0)
        old.data_received(ok(b"111"))
        old.connection_lost(None)
        assert line.link is new and len(w.replies) == 1 and len(new.owed) == 1

    run(main())


def test_a_counter_that_moves_keeps_the_order_of_calls_and_gets_its_answers():
    async def main():
        go = asyncio.Event()

        async def act(_):
            await go.wait()
            return ok(b"1")

        old, new = await Peer(act).listen(), await Peer.start(ok(b"2"))
        w = Watching(old.port)
        line = w.counter.lines[0]
        await until(lambda: line.link)
        w.counter.add(4, 1.0, 3.0)
        await until(lambda: old.seen)
        first = line.link
        w.counter.move((HOST, new.port))
        w.counter.add(8, 1.0, 3.0)  # the new one does not stand yet: the old one takes it
        await until(lambda: line.link is not first)
        w.counter.add(4, 1.0, 3.0)
        await until(lambda: new.seen and line.link.served)
        assert not w.replies  # the new one's answer waits for the one before it
        go.set()
        assert [(r.name, r.total) for r in await w.some(3)] == [(4, 1.0), (4, 2.0), (8, 1.0)]
        await until(lambda: first.closed)
        assert not w.counter.calls

    run(main())


class Agent:
    """Discovery, which writes what the test tells it to each watch."""

    def __init__(self) -> None:
        self.requests: list[str] = []
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def listen(self) -> Agent:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.requests.append((await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while (line := await self.lines.get()) is not None:
            half = len(line) // 2  # lines and chunks need not agree
            writer.write(b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (line[:half], line[half:]) if p))
        writer.close()


def text(index, *entries, snapshot=False):
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"


def test_the_watch_goes_on_after_a_garbled_line_and_after_its_end(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_S", 0.001)

    async def main():
        agent = await Agent().listen()
        got = []
        DiscoveryClient(asyncio.get_running_loop(), (HOST, agent.port), 41, got.append)
        agent.lines.put_nowait(b"\n" + text(42, entry("b0", 80), snapshot=True))
        agent.lines.put_nowait(b'{"index":43,"snapshot":true,"endp\n')
        await until(lambda: len(agent.requests) == 2)
        assert [x.version for x in got] == [42]  # nothing was taken from the garbled line
        agent.lines.put_nowait(None)  # the garbled watch was left; its end of the queue
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


def test_a_silent_watch_is_opened_anew(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_S", 0.001)
    monkeypatch.setattr(discovery_module, "SILENCE_S", 0.05)

    async def main():
        agent = await Agent().listen()
        DiscoveryClient(asyncio.get_running_loop(), (HOST, agent.port), 7, lambda _: None)
        await until(lambda: len(agent.requests) == 3)

    run(main())


def test_discovery_is_sought_for_ever(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_S", 0.001)

    async def main():
        got = []
        discovery = DiscoveryClient(asyncio.get_running_loop(), (HOST, closed_port()), 7, got.append)
        await asyncio.sleep(0.02)
        agent = await Agent().listen()
        discovery.source.address = (HOST, agent.port)
        agent.lines.put_nowait(text(8))
        await until(lambda: got)

    run(main())


def test_discovery_that_moves_is_asked_for_the_whole_list_and_the_old_one_stays_until_then():
    """Versions need not go on from one to the other: only the whole list tells what has gone meanwhile."""

    async def main():
        old, new, go, got = await Agent().listen(), asyncio.Event(), asyncio.Event(), []

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
        discovery.on_source_list(object(), got[0])  # whatever is neither the present nor the newest says nothing
        assert len(got) == 3

    run(main())


def test_a_fault_in_taking_a_list_in_is_mended_by_asking_again(monkeypatch):
    monkeypatch.setattr(discovery_module, "RETRY_S", 0.001)

    async def main():
        agent = await Agent().listen()
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
def test_what_is_no_list_is_said_to_be_none(message):
    with pytest.raises(ValueError):
        parse_backend_list(message)


def test_datagrams_go_to_one_or_all_and_come_with_their_sender():
    async def main():
        loop = asyncio.get_running_loop()
        got = {n: [] for n in range(3)}
        nodes = []
        for n in range(3):
            node = PeerDatagrams([], None, n, got[n].append)
            await loop.create_datagram_endpoint(lambda node=node: node, local_addr=(HOST, 0))
            nodes.append(node)
        addresses = [n.transport.get_extra_info("sockname") for n in nodes]
        for node in nodes:
            node.peers, node.numbers = addresses, {a: i for i, a in enumerate(addresses)}
        nodes[0].send(2, b"one")
        nodes[1].send(None, b"all")
        nodes[1].send(0, b"x" * 257)  # too long: not sent
        nodes[1].send(9, b"nobody")
        stranger = PeerDatagrams(addresses, None, 0, got[0].append)
        await loop.create_datagram_endpoint(lambda: stranger, local_addr=(HOST, 0))
        stranger.send(0, b"from nowhere")
        nodes[2].send(0, b"last")
        await until(lambda: len(got[0]) == 2 and len(got[2]) == 2)
        assert sorted(got[0]) == [events.PeerMessage(1, b"all"), events.PeerMessage(2, b"last")]
        assert sorted(got[2]) == [events.PeerMessage(0, b"one"), events.PeerMessage(1, b"all")]
        assert not got[1]
        nodes[2].everyone = addresses[1]
        nodes[2].send(None, b"by one address")
        await until(lambda: got[1])

    run(main())
