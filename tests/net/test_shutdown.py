"""Tests of graceful shutdown: the listener stays open while requests arrive, and all are answered before the kill."""

from __future__ import annotations

import asyncio

import pytest

from tests.net.sockets import Client, Peer, Rig, call, in_turn, ok, run, until
from thistleusher.core import actions, events
from thistleusher.net.shutdown import (
    KILL_DELAY_S,
    MAX_REQUEST_S,
    MIN_REQUEST_S,
    QUIET_PERIOD_S,
    RESERVE_S,
    GracefulShutdown,
)

KILL_AFTER_S = MAX_REQUEST_S + KILL_DELAY_S  # time from the signal until an ingress may be killed


@pytest.mark.parametrize("longest,end", [(1.0, 1.0 + KILL_DELAY_S - RESERVE_S), (7.5, KILL_AFTER_S - RESERVE_S)])
def test_shutdown_ends_before_the_kill_deadline(longest, end):
    shutdown, now = GracefulShutdown(100.0, longest), 100.0
    while shutdown.accepts_requests(now):
        shutdown.request_arrived(now)
        now += 0.01
    assert now - 100.0 == pytest.approx(end - MIN_REQUEST_S, abs=0.02) and shutdown.time_left(100.0 + end) == 0.0


def test_shutdown_ends_as_soon_as_no_requests_arrive():
    shutdown = GracefulShutdown(100.0, 7.5)
    shutdown.request_arrived(100.4)
    assert shutdown.accepts_requests(100.4 + QUIET_PERIOD_S - 0.01)
    assert not shutdown.accepts_requests(100.4 + QUIET_PERIOD_S + 0.01)


def test_time_left_for_a_request_decreases_to_zero():
    shutdown = GracefulShutdown(100.0, 7.5)
    assert shutdown.time_left(100.0) == pytest.approx(KILL_AFTER_S - RESERVE_S)
    assert (
        shutdown.time_left(shutdown.deadline - MIN_REQUEST_S - 0.01)
        > 0
        == shutdown.time_left(shutdown.deadline - MIN_REQUEST_S)
    )


def test_kept_connections_are_served_until_no_more_requests_arrive():
    """The front may be unable to open new connections; if these were closed, its requests would have no target."""

    async def main():
        backend = await Peer.start(ok())
        rig = Rig(lambda e: [actions.Attempt(e.id, "b0")] if isinstance(e, events.Request) else [])
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("r0")))[0] == 200
        shutdown = GracefulShutdown(asyncio.get_running_loop().time(), 7.5)
        draining = asyncio.create_task(rig.server.drain(asyncio.sleep(0.0), shutdown))
        await until(lambda: rig.server.shutting_down)
        late = await Client.connect(rig.port)
        for n in range(1, 6):
            for one in (client, late):
                status, headers, _ = await one.ask(call(f"r{n}{one is late}"))
                assert status == 200 and headers.get("connection") != "close"
            await asyncio.sleep(QUIET_PERIOD_S / 4)
        assert not draining.done()
        await draining
        assert await client.reader.read() == b"" and await late.reader.read() == b""

    run(main())


def test_shutdown_limits_the_time_of_a_request_and_then_rejects_requests():
    async def main():
        backend = await Peer.start(ok())
        rig = Rig(lambda e: [actions.Attempt(e.id, "b0")] if isinstance(e, events.Request) else [])
        client = await rig.start(b0=backend.port)
        loop = asyncio.get_running_loop()
        rig.server.shutdown = GracefulShutdown(loop.time() - KILL_AFTER_S + RESERVE_S + 1.0, 7.5)
        assert (await client.ask(call("r1", budget="6000m")))[0] == 200
        asked = [e for e in rig.script.events if isinstance(e, events.Request)]
        assert 0.5 < asked[0].expires_in <= 1.0
        rig.server.shutdown = GracefulShutdown(loop.time() - KILL_AFTER_S, 7.5)
        status, headers, _ = await client.ask(call("r2"))
        assert status == 503 and float(headers["retry-after"]) > 0
        assert len([e for e in rig.script.events if isinstance(e, events.Request)]) == 1

    run(main())


def test_accepted_requests_are_answered_after_the_listener_is_closed():
    async def main():
        go = asyncio.Event()

        async def act(_):
            await go.wait()
            return ok()

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call("r1", budget="6000m"))
        await until(lambda: backend.seen)
        draining = asyncio.create_task(
            rig.server.drain(
                asyncio.sleep(0.0), GracefulShutdown(asyncio.get_running_loop().time() - KILL_AFTER_S, 7.5)
            )
        )
        await until(lambda: rig.server.draining)
        assert not draining.done()
        go.set()
        status, headers, _ = await client.answer()
        assert status == 200 and headers["connection"] == "close"
        await draining

    run(main())


def test_health_checks_neither_prolong_shutdown_nor_displace_clients():
    async def main():
        backend = await Peer.start(ok())
        rig = Rig(lambda e: [actions.Attempt(e.id, "b0")] if isinstance(e, events.Request) else [])
        client = await rig.start(b0=backend.port)
        rig.server.max_connections = 3
        assert (await client.ask(call("r0")))[0] == 200
        shutdown = GracefulShutdown(asyncio.get_running_loop().time(), 7.5)
        draining = asyncio.create_task(rig.server.drain(asyncio.sleep(0.0), shutdown))
        await until(lambda: rig.server.shutting_down)
        for _ in range(8):
            look = await Client.connect(rig.port)
            status, headers, _ = await look.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (status, headers["connection"]) == (503, "close")
        assert (await client.ask(call("r1")))[0] == 200
        await draining

    run(main())
