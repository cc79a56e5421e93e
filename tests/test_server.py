"""Clients' HTTP: what is malformed or absurd gets its answer, and the program goes on."""

from __future__ import annotations

import asyncio
import socket

import pytest

from roadspur.net import server as server_module
from tests.sockets import Client, Peer, Rig, call, entry, in_turn, listing, ok, run, until

BODY = b"x" * (64 * 1024)


@pytest.mark.parametrize("raw,status", [
    (b"no http at all\r\n\r\n", 400),
    (b"GET /api/000000000000000a HTTP/9.9\r\n\r\n", 400),
    (b"\x00\xff\x00\xff\r\n\r\n", 400),
    (call(Content_Length="-5"), 400),
    (call(Content_Length="5", Transfer_Encoding="chunked"), 400),
    (call(X_Call_Id=None), 400), (call(X_Call_Id="x" * 65), 400), (call(X_Call_Id="a b"), 400),
    (call(X_Call_Class=None), 400), (call(X_Call_Class="unheard-of"), 400),
    (call(X_Tier=None), 400), (call(X_Tier="unheard-of"), 400),
    (call(X_Budget=None), 400), *((call(budget=b), 400) for b in (
        "480", "0m", "-1m", "9999999999m", "99999999999999999999m", "nanm")),
    *((call(X_Call_Terms=t), 400) for t in (
        None, "units=nan,spread=1,first=0", "units=-1,spread=1,first=0", "units=5,spread=1,first=0",
        "units=1,spread=0,first=0", "units=1,spread=9,first=0", "units=1,spread=1,first=3",
        "units,spread,first", "")),
    (call(cls="pay", Idempotency_Key=None), 400), (call(cls="pay").replace(b"POST", b"GET"), 400),
    (call().replace(b"GET", b"POST"), 400), (call().replace(b"GET", b"DELETE"), 400),
    (call(path="/api/0000000200000000"), 400),
    (call(path="/"), 404), (call(path="/api/12"), 404), (call(path="/api/000000000000000a/more"), 404),
    (call(path="/load"), 404), (call(path="/a\xe9\xff"), 400),
    (call(cls="pay", body=BODY + b"x"), 413),
    (call(path="/" + "a" * 20_000), 431), (call(Other="x" * 20_000), 431),
    (call(**{f"Other_{i}": "x" for i in range(3000)}), 431),
])
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


def test_a_request_that_does_not_come_whole_is_not_waited_for(monkeypatch):
    monkeypatch.setattr(server_module, "SLOW_S", 0.02)
    monkeypatch.setattr(server_module, "SWEEP_S", 0.01)

    async def main():
        rig = Rig(in_turn("b0"))
        client = await rig.start()
        assert (await client.ask(b"GET /api/0000"))[0] == 408
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
        count = server_module.PIPELINE + 8
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
        assert (await client.ask(health))[0] == 503
        rig.ingress.listed(listing(entry("b0", backend.port)))
        assert (await client.ask(health))[0] == 200
    run(main())


def test_too_many_clients_cost_the_one_that_has_been_idle_longest():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        rig.server.most = 2
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


def test_a_client_too_many_is_answered_when_none_is_idle():
    async def main():
        rig = Rig(lambda event: [])
        rig.server.most = 1
        one = await rig.start()
        one.writer.write(call("r1"))
        await until(lambda: rig.ingress.held)
        two = await Client.connect(rig.port)
        status, headers, _ = await two.ask(call("r2"))
        assert (status, headers["connection"]) == (503, "close") and float(headers["retry-after"]) > 0
        assert await two.reader.read() == b"" and list(rig.ingress.held) == ["r1"]
    run(main())


def test_a_connection_that_comes_while_leaving_does_not_keep_the_program():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call("r1", budget="400m"))
        await until(lambda: backend.seen)
        leaving = asyncio.create_task(rig.server.leave(0.0))
        await until(lambda: rig.server.leaving)
        ours, theirs = socket.socketpair()
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: server_module.ClientConnection(rig.server), ours)
        await leaving
        assert (await client.answer())[1]["connection"] == "close"
        theirs.close()
    run(main())
