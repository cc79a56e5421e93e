"""Tests of the daemon's ingress: events, actions, deadlines, and exactly one final answer per request."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.net.sockets import Client, Peer, Rig, call, closed_port, entry, in_turn, listing, ok, run, unix, until
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome
from thistleusher.net import socket_state


def test_request_and_response_are_forwarded_byte_for_byte():
    async def main():
        payload = bytes(range(256)) * 4
        backend = await Peer.start(ok(payload, b"X-Cost-Units: 3"))
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        status, _, body = await client.ask(
            call("r1", "pay", b"\x00\xffbody", path="/api/v1/00000001ffffffff?q=1", X_Again="1")
        )
        assert (status, body) == (200, payload)
        seen = backend.seen[0]
        assert seen.line == "POST /api/v1/00000001ffffffff?q=1 HTTP/1.1" and seen.body == b"\x00\xffbody"
        assert seen.headers["x-call-id"] == "r1" and seen.headers["idempotency-key"] == "k1"
        assert 0 < int(seen.headers["x-budget"].removesuffix("m")) < 6000
        request = next(e for e in rig.script.events if isinstance(e, events.Request))
        assert request[:4] == ("r1", "pay", "basic", 0x1FFFFFFFF) and request[5:9] == (2.0, 2, 1, True)
        assert 5 < request.expires_in < 6
        assert rig.script.ends()[0].true_units == 3.0 and rig.script.ends()[0].done
        assert not rig.ingress.in_flight

    run(main())


def test_the_module_runs_on_unix_time():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        before = unix()
        client = await rig.start()
        started = int(before * 1000) - 4000
        rig.ingress.update_backends(listing(entry("b0", backend.port, since_ms=started)))
        await client.ask(call())
        assert all(before <= t <= unix() for t in rig.script.times)
        born = rig.script.events[1].entries[0].born
        assert born == started / 1000

    run(main())


def test_an_action_that_ends_at_once_does_not_call_back_in():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("unknown", "b0"))  # Script.handle fails on a reentrant call
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call()))[0] == 200
        assert [e.outcome for e in rig.script.ends()] == [Outcome.MOOT, Outcome.OK]

    run(main())


def test_watchdog_answers_requests_that_the_module_holds_too_long():
    async def main():
        rig = Rig(lambda event: [])
        client = await rig.start()
        began = asyncio.get_running_loop().time()
        status, headers, _ = await client.ask(call(budget="300m"))
        assert status == 503 and float(headers["retry-after"]) > 0
        assert asyncio.get_running_loop().time() - began < 5
        assert rig.script.events[-1] == events.ClientGone("r1") and not rig.ingress.in_flight

    run(main())


def test_an_attempt_ends_with_the_clients_time_and_an_unsafe_one_is_not_refused():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(lambda e: [actions.Attempt(e.id, "b0")] if isinstance(e, events.Request) else [])
        client = await rig.start(b0=backend.port)
        status, headers, _ = await client.ask(call(cls="once", budget="250000u"))
        assert status == 502 and "retry-after" not in headers
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(Outcome.TIMEOUT, False)]
        await until(backend.seen[0].ended)
        assert (await client.ask(call("r2", cls="pay", budget="250000u")))[0] == 503

    run(main())


def test_no_attempt_is_sent_for_a_disconnected_client():
    async def main():
        backend = await Peer.start()
        rig = Rig(lambda e: [actions.Attempt("r1", "b0")] if isinstance(e, events.TimerFired) else [])
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: rig.ingress.in_flight)
        client.writer.close()
        await until(lambda: events.ClientGone("r1") in rig.script.events)
        rig.ingress.submit(events.TimerFired(1))
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(Outcome.MOOT, True)]
        assert not backend.seen and not rig.ingress.in_flight

    run(main())


def test_cancelled_attempt_is_done_if_the_backend_stops_with_its_connection():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(in_turn("b0"), cancel_stops_work=True)
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: backend.seen)
        client.writer.close()
        await until(backend.seen[0].ended)
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(Outcome.CANCELLED, True)]
        assert not rig.ingress.in_flight

    run(main())


def test_client_disconnect_is_detected_behind_unread_requests():
    async def main():
        backend = await Peer.start(None)
        rig = Rig(in_turn("b0"), cancel_stops_work=True)
        client = await rig.start(b0=backend.port)
        client.writer.write(b"".join(call(f"r{n}") for n in range(60)))
        await until(lambda: backend.seen)
        (connection,) = rig.server.connections
        await until(lambda: connection.reading_paused)
        client.writer.write(call("r99"))
        client.writer.close()
        await until(backend.seen[0].ended)
        assert len(backend.seen) == 1 and not rig.ingress.in_flight

    run(main())


def test_the_end_of_a_client_is_seen_on_its_socket_whatever_lies_before_it():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert not socket_state.has_peer_closed(ours)
        theirs.send(b"unread")
        assert not socket_state.has_peer_closed(ours) and socket_state.unread_bytes(ours) == 6
        theirs.shutdown(socket.SHUT_WR)
        assert socket_state.has_peer_closed(ours)


def test_an_attempt_that_is_out_when_the_client_goes_is_waited_for():
    async def main():
        go = asyncio.Event()

        async def act(_):
            await go.wait()
            return ok()

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: backend.seen)
        client.writer.close()
        await until(lambda: events.ClientGone("r1") in rig.script.events)
        go.set()
        await until(rig.script.ends)
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(Outcome.OK, True)]
        assert not rig.ingress.in_flight

    run(main())


def test_refusal_contains_a_retry_time():
    async def main():
        waits = [0.25, 0.0]
        rig = Rig(lambda e: [actions.Refuse(e.id, waits.pop(0))] if isinstance(e, events.Request) else [])
        client = await rig.start()
        status, headers, _ = await client.ask(call("r1"))
        assert status == 429 and float(headers["retry-after"]) == 0.25
        status, headers, _ = await client.ask(call("r2"))
        assert status == 503 and float(headers["retry-after"]) == rig.settings.max_retry_after

    run(main())


def test_an_exception_fails_its_own_request_only(caplog):
    async def main():
        backend = await Peer.start()

        def decide(event):
            if isinstance(event, events.Request) and event.id == "bad":
                raise ZeroDivisionError("a fault of the module")
            return in_turn("b0")(event)

        rig = Rig(decide)
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("bad")))[0] == 500
        assert rig.script.events[-1] == events.ClientGone("bad")  # so the module drops its state of the request
        assert (await client.ask(call("good")))[0] == 200
        assert "a fault of the module" in caplog.text

    run(main())


def test_an_id_that_is_in_flight_is_not_taken_twice():
    async def main():
        rig = Rig(lambda event: [])
        first = await rig.start()
        first.writer.write(call("same"))
        await until(lambda: rig.ingress.in_flight)
        second = await Client.connect(rig.port)
        assert (await second.ask(call("same")))[0] == 400
        assert len(rig.ingress.in_flight) == 1

    run(main())


def test_no_byte_is_sent_to_a_backend_that_drains_while_connecting():
    async def main():
        draining, other = await Peer.start(), await Peer.start()
        rig = Rig(in_turn("b0", "b1"))
        await rig.start(b0=draining.port, b1=other.port)
        client = await Client.connect(rig.port)

        real = rig.upstream.open

        async def open_late(pool, exchange):
            if pool.backend == "b0":
                rig.ingress.update_backends(listing(entry("b0", draining.port, "DRAINING"), snapshot=False))
            await real(pool, exchange)

        rig.upstream.open = open_late
        assert (await client.ask(call()))[0] == 200
        assert [e.outcome for e in rig.script.ends()] == [Outcome.MOOT, Outcome.OK]
        assert not draining.seen and len(other.seen) == 1

    run(main())


@pytest.mark.parametrize("state", ["DELETED", None])
def test_backend_removed_from_the_list_gets_no_requests(state):
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        await client.ask(call("r1"))
        gone = listing(entry("b0", backend.port, state), snapshot=False) if state else listing(index=2)
        rig.ingress.update_backends(gone)
        assert (await client.ask(call("r2")))[0] == 503
        assert len(backend.seen) == 1 and rig.script.ends()[-1].outcome is Outcome.MOOT

    run(main())


@pytest.mark.parametrize("figure,units", [(b"3", 3.0), (b"1e300", 0.0), (b"nan", 0.0), (b"-2", 0.0), (b"x", 0.0)])
def test_implausible_usage_figures_are_ignored(figure, units):
    async def main():
        backend = await Peer.start(ok(b"fine", b"X-Cost-Units: " + figure))
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call()))[0] == 200
        assert rig.script.ends()[0].true_units == units

    run(main())


def test_removed_draining_backend_leaves_no_state():
    async def main():
        backend = await Peer.start()
        rig = Rig(in_turn("b0"))
        await rig.start(b0=backend.port)
        rig.ingress.update_backends(listing(entry("b0", backend.port, "DRAINING"), snapshot=False))
        rig.ingress.update_backends(listing(index=2))
        assert not rig.upstream.pools

    run(main())


def test_a_probe_brings_the_load_report():
    async def main():
        report = b"TEXT latency_ms=14.5, inflight=7, util=1"
        backend = await Peer.start(b"HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report))
        rig = Rig(
            lambda e: [actions.Probe("b0"), actions.Probe("b1")] if isinstance(e, events.TimerFired) else [],
            connect_timeout=5.0,
        )
        await rig.start(b0=backend.port, b1=closed_port())
        rig.ingress.submit(events.TimerFired(1))

        def found():
            return {e.backend: e for e in rig.script.events if isinstance(e, events.ProbeEnded)}

        await until(lambda: len(found()) == 2)
        assert found()["b0"].load == {"latency_ms": 14.5, "inflight": 7.0}
        assert found()["b1"].outcome is Outcome.CONNECT_FAILED
        assert backend.seen[0].line == "GET /load HTTP/1.1"

    run(main())
