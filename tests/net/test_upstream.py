"""Tests of backend connections: one outcome per attempt, no concurrent copies, and no dead pooled connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.net.sockets import Peer, Rig, call, closed_port, entry, in_turn, listing, ok, run, until
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome
from thistleusher.net import upstream as upstream_module

BIG = b"x" * (64 * 1024 + 1)


@pytest.mark.parametrize(
    "answer,outcome",
    [
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 504 Late\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 404 What\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nno length at all", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n", Outcome.RESET),
        (b"no HTTP at all\r\n\r\n", Outcome.RESET),
        (ok(BIG), Outcome.RESET),
    ],
)
def test_only_a_complete_200_response_is_served(answer, outcome):
    async def main():
        async def act(seen):
            seen.writer.write(answer)
            return b""  # closes the connection

        backend, good = await Peer(act).listen(), await Peer.start(ok(b"whole"))
        rig = Rig(in_turn("b0", "b1"))
        client = await rig.start(b0=backend.port, b1=good.port)
        status, _, body = await client.ask(call())
        assert (status, body) == (200, b"whole")
        assert [e.outcome for e in rig.script.ends()] == [outcome, Outcome.OK]
        assert len(backend.seen) == 1  # the upstream does not resend by itself

    run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"\x93.G\x85\xe1\xb4}\r\n\r\n",
        b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nno",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
        b"HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
        ok(b"no", b"Content-Length: 2"),
        ok(b"no", b"Content-Length: -1"),
        ok(b"no", b"Transfer-Encoding: chunked"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1791\r\n\r\nno",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nno",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nno",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\n0123456789",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 20_000,
        b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nmidway",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_malformed_response_on_an_open_connection_is_a_failed_attempt(answer):
    """The request may have run. The response must not be served, and its rest is not waited for until the deadline."""

    async def main():
        backend, good = await Peer.start(answer), await Peer.start(ok(b"whole"))
        rig = Rig(in_turn("b0", "b1"))
        client = await rig.start(b0=backend.port, b1=good.port)
        status, _, body = await client.ask(call(budget="60000m"))
        assert (status, body) == (200, b"whole")
        assert [e.outcome for e in rig.script.ends()] == [Outcome.RESET, Outcome.OK]
        await until(backend.seen[0].ended)

    run(main())


@pytest.mark.parametrize("surplus", [ok(b"a copy"), b"noise", b"HTTP/1.1 200 OK\r\nContent-", b"\xff\r\n\r\n"])
def test_bytes_after_a_response_belong_to_no_request(surplus):
    """The end of an attempt may start the next one at once, which must not get this connection from the pool."""

    async def main():
        full = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        backend = await Peer.start(full + surplus, ok(b"first") + surplus, ok(b"second"))
        rig = Rig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("r1")))[2] == b"first"
        assert (await client.ask(call("r2")))[2] == b"second"
        assert backend.connections == 3
        assert [e.outcome for e in rig.script.ends()] == [Outcome.FULL, Outcome.OK, Outcome.OK]

    run(main())


def test_a_connection_that_comes_up_too_late_for_its_attempt_serves_the_next():
    async def main():
        gate = asyncio.Event()
        backend = await Peer.start()
        rig = Rig(
            lambda e: [actions.Attempt(e.id, "b0", 0.0 if e.id == "r1" else None)]
            if isinstance(e, events.Request)
            else in_turn("b0")(e)
        )
        client = await rig.start(b0=backend.port)
        connect = rig.upstream.connect

        async def late(pool):
            await gate.wait()
            return await connect(pool)

        rig.upstream.connect = late
        assert (await client.ask(call("r1")))[0] == 503
        gate.set()
        await until(lambda: rig.upstream.pools["b0"].idle)
        assert (await client.ask(call("r2")))[0] == 200
        assert backend.connections == 1 and len(backend.seen) == 1

    run(main())


def test_connections_of_a_backend_that_moved_count_until_they_end():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: backend.seen)
        rig.ingress.update_backends(listing(entry("b0", backend.port, since_ms=5000), snapshot=False))
        assert len(rig.upstream.connections) == 1
        rig.upstream.close()
        await until(backend.seen[0].ended)
        assert not rig.upstream.connections

    run(main())


def test_a_body_of_the_largest_size_and_a_chunked_one_are_served():
    async def main():
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        backend = await Peer.start(ok(BIG[1:]), b"HTTP/1.1 100 Continue\r\n\r\n" + chunked)
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("r1")))[2] == BIG[1:]
        assert (await client.ask(call("r2")))[2] == b"abcde"
        assert backend.connections == 1

    run(main())


def test_a_refused_connection_never_ran():
    async def main():
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=closed_port())
        assert (await client.ask(call(cls="once")))[0] == 503
        assert [e.outcome for e in rig.script.ends()] == [Outcome.CONNECT_FAILED]

    run(main())


def test_the_old_connection_has_ended_before_the_next_attempt_is_sent():
    async def main():
        slow = await Peer.start(None)
        ended = []

        async def act(_):
            ended.append(slow.seen[-1].ended())
            return ok()

        fast = await Peer(act).listen()
        rig = Rig(
            lambda e: [actions.Attempt(e.id, "b0")]
            if isinstance(e, events.Request)
            else [actions.CancelAttempt("r2", 0)]
            if isinstance(e, events.TimerFired)
            else [actions.Attempt(e.request, "b1")]
            if isinstance(e, events.AttemptEnded) and not e.done
            else []
        )
        client = await rig.start(b0=slow.port, b1=fast.port)
        rig.script.decide, decide = in_turn("b1"), rig.script.decide
        await client.ask(call("r1"))  # leaves an idle connection to b1
        rig.script.decide = decide
        client.writer.write(call("r2"))
        await until(lambda: slow.seen)
        rig.ingress.submit(events.TimerFired(1))
        slow.seen[0].writer.transport.pause_reading()  # leaves the connection's end unread in the kernel, for `ended`
        assert (await client.answer())[0] == 200
        assert ended[-1] is True
        assert [e.outcome for e in rig.script.ends()][1:] == [Outcome.CANCELLED, Outcome.OK]

    run(main())


def test_a_time_out_of_the_module_ends_the_attempt():
    async def main():
        slow, fast = await Peer.start(None), await Peer.start()
        rig = Rig(
            lambda e: [actions.Attempt(e.id, "b0", 0.05)]
            if isinstance(e, events.Request)
            else [actions.Attempt(e.request, "b1")]
            if isinstance(e, events.AttemptEnded) and not e.done
            else []
        )
        client = await rig.start(b0=slow.port, b1=fast.port)
        assert (await client.ask(call()))[0] == 200
        assert [(e.attempt, e.outcome) for e in rig.script.ends()] == [(0, Outcome.TIMEOUT), (1, Outcome.OK)]

    run(main())


def test_a_late_answer_belongs_to_no_request():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            await go.wait()
            return ok(b"late")

        slow, fast = await Peer(act).listen(), await Peer.start(ok(b"in time"))
        rig = Rig(
            lambda e: [actions.Attempt(e.id, "b0", 0.05)]
            if isinstance(e, events.Request)
            else [actions.Attempt(e.request, "b1")]
            if isinstance(e, events.AttemptEnded) and not e.done
            else []
        )
        client = await rig.start(b0=slow.port, b1=fast.port)
        assert (await client.ask(call("r1")))[2] == b"in time"
        go.set()
        assert (await client.ask(call("r2", budget="5000m")))[2] in (b"late", b"in time")
        assert len(rig.script.ends()) == len({(e.request, e.attempt) for e in rig.script.ends()})

    run(main())


def test_the_newest_idle_connection_is_used_first_and_none_that_has_ended():
    async def main():
        gate = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] in ("a", "b"):
                await gate.wait()
            return ok()

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        one = await rig.start(b0=backend.port)
        two = await one.connect(rig.port)
        one.writer.write(call("a"))
        two.writer.write(call("b"))
        await until(lambda: len(backend.seen) == 2)
        gate.set()
        await one.answer()
        await two.answer()
        pool = rig.upstream.pools["b0"]
        newest = pool.idle[-1].sock.getsockname()
        await one.ask(call("c"))
        assert backend.seen[-1].writer.get_extra_info("peername") == newest
        for seen in backend.seen[:2]:
            with seen.socket() as s:
                s.shutdown(socket.SHUT_WR)  # the ingress's event loop has not read this yet
        assert (await one.ask(call("d")))[0] == 200
        assert [e.outcome for e in rig.script.ends()] == [Outcome.OK] * 4 and backend.connections == 3

    run(main())


@pytest.mark.parametrize("change", ["start", "address"])
def test_no_connection_outlives_a_change_of_its_backend(change):
    async def main():
        gate = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] == "pending":
                await gate.wait()
            return ok()

        backend, moved = await Peer(act).listen(), await Peer.start()
        rig = Rig(in_turn("b0"))
        one = await rig.start(b0=backend.port)
        two = await one.connect(rig.port)
        two.writer.write(call("pending"))
        await one.ask(call("idle"))
        await until(lambda: len(backend.seen) == 2)
        new = entry("b0", backend.port, since_ms=5000) if change == "start" else entry("b0", moved.port)
        rig.ingress.update_backends(listing(new, snapshot=False))
        gate.set()
        assert (await two.answer())[0] == 200  # a request in flight is still answered
        for seen in backend.seen:
            await until(seen.ended)
        assert (await one.ask(call("new")))[0] == 200
        assert (backend.connections, moved.connections) == ((3, 0) if change == "start" else (2, 1))

    run(main())


def test_idle_connections_are_closed_well_before_the_backend_does(monkeypatch):
    monkeypatch.setattr(upstream_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"), idle=0.1)
        client = await rig.start(b0=backend.port)
        await client.ask(call())
        await until(lambda: not rig.upstream.connections)
        await until(backend.seen[0].ended)

    run(main())


def test_a_silent_backend_loses_its_idle_connections():
    async def main():
        gate = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] in ("a", "b"):
                await gate.wait()
            return None if seen.headers["x-call-id"] == "c" else ok()

        backend = await Peer(act).listen()
        rig = Rig(
            lambda e: [actions.Attempt(e.id, "b0", 0.05 if e.id == "c" else None)]
            if isinstance(e, events.Request)
            else in_turn("b0")(e)
        )
        one = await rig.start(b0=backend.port)
        two = await one.connect(rig.port)
        one.writer.write(call("a"))
        two.writer.write(call("b"))
        await until(lambda: len(backend.seen) == 2)
        gate.set()
        await one.answer()
        await two.answer()
        assert len(rig.upstream.pools["b0"].idle) == 2
        assert (await one.ask(call("c")))[0] == 503
        assert not rig.upstream.connections

    run(main())


def test_number_of_sockets_is_bounded():
    async def main():
        backends = [await Peer.start() for _ in range(3)]
        rig = Rig(
            lambda e: [actions.Attempt(e.id, e.id)]
            if isinstance(e, events.Request)
            else [actions.Refuse(e.request)]
            if isinstance(e, events.AttemptEnded) and not e.done
            else []
        )
        rig.upstream.max_sockets = 2
        client = await rig.start(**{f"b{i}": b.port for i, b in enumerate(backends)})
        for i in range(3):
            assert (await client.ask(call(f"b{i}")))[0] == 200
        assert len(rig.upstream.connections) == 2
        assert not rig.upstream.pools["b0"].idle  # the longest idle connection was closed
        rig.upstream.max_sockets = 0
        for pool in rig.upstream.pools.values():
            pool.close_idle()
        assert (await client.ask(call("b1")))[0] == 503
        assert rig.script.ends()[-1].outcome is Outcome.CONNECT_FAILED

    run(main())
