"""Tests of the HTTP server: malformed and excessive input is answered, and the server keeps serving."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.net.sockets import Client, Peer, Rig, call, entry, in_turn, listing, ok, run, until
from thistleusher.net import client_connection as connection_module
from thistleusher.net import server as server_module

BODY = b"x" * (64 * 1024)


@pytest.mark.parametrize(
    "raw,status",
    [
        (b"no http at all\r\n\r\n", 400),
        (b"GET /api/000000000000000a HTTP/9.9\r\n\r\n", 400),
        (b"\x00\xff\x00\xff\r\n\r\n", 400),
        (call(Content_Length="-5"), 400),
        (call(Content_Length="5", Transfer_Encoding="chunked"), 400),
        # Ambiguous framing, which an ingress and a backend could parse as different requests (request smuggling).
        (call(cls="pay", Transfer_Encoding="chunked", Content_Length="5"), 400),
        *(
            (call(cls="pay", Content_Length=None, Transfer_Encoding=t), 400)
            for t in ("identity", "gzip, chunked", "chunked, gzip", "xchunked", "\x0bchunked", "chunked, chunked")
        ),
        *(
            (call(cls="pay", Content_Length=n), 400)
            for n in ("-1", "+5", "5, 5", "0x5", "1_0", "", "99999999999999999999999")
        ),
        (call(cls="pay", Content_Length="5\r\nContent-Length: 5"), 400),
        (call(cls="pay", Content_Length="63000000"), 413),
        (call(X_A="a\rb"), 400),
        (call(X_A="a\x00b"), 400),
        (call(X_A="a\r\n b"), 400),
        (call(X_A="a\x01"), 400),
        (call().replace(b"Host:", b"Host :"), 400),
        (call().replace(b"\r\n", b"\n"), 400),
        (call(X_Call_Id="r1\r\nX-Call-Id: r2"), 400),
        (call(Host="a"), 400),
        (call(cls="pay", Idempotency_Key="a\r\nIdempotency-Key: b"), 400),
        (call(Connection="upgrade", Upgrade="h2c"), 400),
        (b"CONNECT x:80 HTTP/1.1\r\n\r\n", 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
        (b"GET http://x/api/000000000000000a HTTP/1.1\r\n\r\n", 404),
        *(
            (call(cls="pay", Content_Length=None, Transfer_Encoding="chunked", body=b), 400)
            for b in (b"-5\r\nabcde\r\n0\r\n\r\n", b"fffffffffffffffffff\r\na", b"3\r\nabcde\r\n0\r\n\r\n")
        ),
        (call(X_Call_Id=None), 400),
        (call(X_Call_Id="x" * 65), 400),
        (call(X_Call_Id="a b"), 400),
        (call(X_Call_Class=None), 400),
        (call(X_Call_Class="unheard-of"), 400),
        (call(X_Tier=None), 400),
        (call(X_Tier="unheard-of"), 400),
        (call(X_Budget=None), 400),
        *((call(budget=b), 400) for b in ("480", "0m", "-1m", "9999999999m", "99999999999999999999m", "nanm")),
        *(
            (call(X_Call_Terms=t), 400)
            for t in (
                None,
                "units=nan,spread=1,first=0",
                "units=-1,spread=1,first=0",
                "units=5,spread=1,first=0",
                "units=1,spread=0,first=0",
                "units=1,spread=9,first=0",
                "units=1,spread=1,first=3",
                "units,spread,first",
                "",
                "units=0,spread=1,first=0",
                "units=1_0,spread=1,first=0",
                "units=1e0,spread=1,first=0",
                "units=1,spread=1.5,first=0",
                "units=1,spread=-1,first=0",
                "units=1,spread=1,first=-1",
                "units=1,units=2,spread=1,first=0",
                "units=inf,spread=1,first=0",
            )
        ),
        (call(cls="pay", Idempotency_Key=None), 400),
        (call(cls="pay").replace(b"POST", b"GET"), 400),
        (call().replace(b"GET", b"POST"), 400),
        (call().replace(b"GET", b"DELETE"), 400),
        (call(path="/api/0000000200000000"), 400),
        (call(path="/"), 404),
        (call(path="/api/12"), 404),
        (call(path="/api/000000000000000a/more"), 404),
        (call(path="/load"), 404),
        (call(path="/a\xe9\xff"), 400),
        (call(cls="pay", body=BODY + b"x"), 413),
        (call(path="/" + "a" * 20_000), 431),
        (call(Other="x" * 20_000), 431),
        (call(**{f"Other_{i}": "x" for i in range(3000)}), 431),
    ],
)
def test_bad_input_is_answered_and_the_next_request_served(raw, status):
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(raw))[0] == status
        assert not backend.seen and not rig.script.ends()
        other = await Client.connect(rig.port)
        assert (await other.ask(call("good")))[0] == 200

    run(main())


def test_the_largest_body_is_taken():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call(cls="pay", body=BODY)))[0] == 200
        assert backend.seen[0].body == BODY

    run(main())


def test_a_head_without_end_is_cut_off():
    async def main():
        rig = Rig(in_turn("b0"))
        client = await rig.start()
        client.writer.write(b"GET /api/000000000000000a HTTP/1.1\r\nX: ")
        for _ in range(20):
            client.writer.write(b"a" * 1024)
            await asyncio.sleep(0)
        assert (await client.answer())[0] == 431

    run(main())


@pytest.mark.parametrize("begun", [b"GET /api/0000", call(cls="pay", body=b"12345")[:-1]])
def test_incomplete_request_is_rejected_after_a_timeout(monkeypatch, begun):
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        rig = Rig(in_turn("b0"))
        client = await rig.start()
        assert (await client.ask(begun))[0] == 408
        assert await client.reader.read() == b""

    run(main())


def test_silent_and_idle_connections_are_closed(monkeypatch):
    """Clients that never send a byte, or stay idle after a request, would otherwise use up the descriptors."""
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        silent = await rig.start(b0=backend.port)
        once = await Client.connect(rig.port)
        assert (await once.ask(call()))[0] == 200
        assert await silent.reader.read() == b"" and await once.reader.read() == b""
        await until(lambda: not rig.server.connections)

    run(main())


def test_silent_connections_are_closed_before_those_that_sent_requests():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        rig.server.max_connections = 2
        used = await rig.start(b0=backend.port)
        assert (await used.ask(call("r1")))[0] == 200
        silent = await Client.connect(rig.port)
        third = await Client.connect(rig.port)
        assert (await third.ask(call("r2")))[0] == 200
        assert await silent.reader.read() == b""
        assert (await used.ask(call("r3")))[0] == 200

    run(main())


def test_a_client_that_does_not_read_is_disconnected(monkeypatch):
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await Peer.start(ok(BODY))
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.transport.pause_reading()
        for n in range(connection_module.MAX_PIPELINED_REQUESTS * 20):  # more than the kernel buffers
            client.writer.write(call(f"r{n}"))
        await until(lambda: not rig.server.connections)
        assert len(backend.seen) < connection_module.MAX_PIPELINED_REQUESTS * 20

    run(main())


def test_a_body_far_too_large_is_rejected_at_its_head_and_not_read():
    async def main():
        rig = Rig(in_turn("b0"))
        client = await rig.start()
        status, headers, _ = await client.ask(call(cls="pay", Content_Length="63000000"))
        assert (status, headers["connection"]) == (413, "close")
        connection = next(iter(rig.server.connections))
        client.writer.write(b"x" * (4 * connection_module.MAX_LINGER_BYTES))
        await until(lambda: connection.reading_paused or not rig.server.connections)
        await until(lambda: not rig.server.connections)

    run(main())


def test_a_bad_request_ends_its_connection():
    """This makes a client that repeats a rejected request reconnect each time."""

    async def main():
        rig = Rig(lambda event: [])
        first = await rig.start()
        first.writer.write(call("same"))
        await until(lambda: rig.ingress.in_flight)
        for raw in (call("r1", X_Tier="unheard-of"), call("same"), call(path="/nowhere")):
            client = await Client.connect(rig.port)
            status, headers, _ = await client.ask(raw)
            assert status in (400, 404) and headers["connection"] == "close"
            assert await client.reader.read() == b""

    run(main())


def test_no_request_is_pending_for_longer_than_its_class_allows():
    async def main():
        rig = Rig(lambda event: [])
        client = await rig.start()
        client.writer.write(call(budget="3600000m"))
        await until(lambda: rig.script.events[1:])
        assert rig.script.events[-1].expires_in <= 6.0

    run(main())


def test_requests_in_a_row_are_answered_in_their_order():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] == "r0":
                await go.wait()
            return ok(seen.headers["x-call-id"].encode())

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        count = connection_module.MAX_PIPELINED_REQUESTS + 8
        client.writer.write(b"".join(call(f"r{i}") for i in range(count)) + b"rubbish\r\n\r\n")
        await until(lambda: backend.seen)
        go.set()
        for i in range(count):
            assert (await client.answer())[2] == f"r{i}".encode()
        assert (await client.answer())[0] == 400

    run(main())


def test_healthz_says_whether_a_request_could_be_served():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        client = await rig.start()
        health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
        status, headers, _ = await client.ask(health)
        assert (status, headers["connection"]) == (503, "close")
        rig.ingress.update_backends(listing(entry("b0", backend.port)))
        client = await Client.connect(rig.port)
        for _ in range(2):
            assert (await client.ask(health))[0] == 200

    run(main())


def test_too_many_clients_close_the_connection_that_is_idle_longest():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        rig.server.max_connections = 2
        one = await rig.start(b0=backend.port)
        two = await Client.connect(rig.port)
        await one.ask(call("r1"))
        await two.ask(call("r2"))
        await one.ask(call("r3"))
        three = await Client.connect(rig.port)
        assert (await three.ask(call("r4")))[0] == 200
        assert await two.reader.read() == b""
        assert (await one.ask(call("r5")))[0] == 200

    run(main())


def test_surplus_client_is_answered_if_no_connection_is_idle():
    async def main():
        rig = Rig(lambda event: [])
        rig.server.max_connections = 1
        one = await rig.start()
        one.writer.write(call("r1"))
        await until(lambda: rig.ingress.in_flight)
        two = await Client.connect(rig.port)
        status, headers, _ = await two.ask(call("r2"))
        assert (status, headers["connection"]) == (503, "close") and float(headers["retry-after"]) > 0
        assert await two.reader.read() == b"" and list(rig.ingress.in_flight) == ["r1"]

    run(main())


def test_connection_accepted_while_draining_does_not_delay_shutdown():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call("r1", budget="400m"))
        await until(lambda: backend.seen)
        draining = asyncio.create_task(rig.server.drain(asyncio.sleep(0.0)))
        await until(lambda: rig.server.draining)
        ours, theirs = socket.socketpair()
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: connection_module.ClientConnection(rig.server), ours)
        await draining
        assert (await client.answer())[1]["connection"] == "close"
        theirs.close()

    run(main())
