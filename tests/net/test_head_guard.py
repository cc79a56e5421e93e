"""Tests of the head guard: outcomes of requests whose connection breaks before or after the end of their head."""

from __future__ import annotations

import asyncio

import pytest

from standins.http import read_message
from tests.net.sockets import HOST, Peer, Rig, call, in_turn, ok, run, until
from thistleusher.core.events import Outcome
from thistleusher.net.head_guard import EARLY_CLOSE_FRACTION, GUARD_DURATION_S, HeadGuard

IDLE = 15.0


def test_guard_is_active_for_a_limited_time_after_a_broken_connection():
    guard = HeadGuard(IDLE)
    assert not guard.is_active(0.0)
    guard.record_broken_connection(100.0)
    assert (
        guard.is_active(100.0)
        and guard.is_active(100.0 + GUARD_DURATION_S - 0.1)
        and not guard.is_active(100.0 + GUARD_DURATION_S)
    )
    guard.record_broken_connection(110.0)
    guard.record_broken_connection(105.0)  # an earlier break does not shorten the active time
    assert guard.is_active(110.0 + GUARD_DURATION_S - 0.1)


@pytest.mark.parametrize(
    "idle,guarded", [(0.0, True), (EARLY_CLOSE_FRACTION * IDLE * 0.9, True), (EARLY_CLOSE_FRACTION * IDLE * 1.1, False)]
)
def test_an_idle_connection_that_was_closed_sooner_than_agreed_is_a_sign(idle, guarded):
    guard = HeadGuard(IDLE)
    guard.record_closed_while_idle(100.0 + idle, 100.0)
    assert guard.is_active(100.0 + idle) is guarded


class FaultyBackend:
    """A backend that closes connections at a chosen moment, and counts the requests received completely."""

    def __init__(self, act) -> None:
        self.act = act
        self.connections = 0
        self.complete = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        await self.act(self, self.connections, reader, writer)

    async def answer(self, reader, writer):
        """Answer requests until the other side closes the connection."""
        try:
            while True:
                await read_message(reader)
                self.complete += 1
                writer.write(ok(b"run %d" % self.complete))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def activate_guard(rig):
    rig.upstream.guard.record_broken_connection(rig.upstream.loop.time())


async def reset_first_connection(peer, number, reader, writer):
    """Reset the first connection at its second request's first byte; answer requests on all others."""
    if number == 1:
        await read_message(reader)
        peer.complete += 1
        writer.write(ok(b"run 1"))
        await reader.read(1)
        writer.transport.abort()
    else:
        await peer.answer(reader, writer)


def test_an_unsafe_request_on_a_kept_connection_that_breaks_early_goes_out_on_a_new_one():
    """The backend resets its first connection at the second request's first byte, so the request has not run."""

    async def main():
        backend = await FaultyBackend(reset_first_connection).start()
        rig = Rig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("r1", cls="once")))[2] == b"run 1"
        activate_guard(rig)
        assert (await client.ask(call("r2", cls="once")))[2] == b"run 2"
        assert backend.connections == 2 and backend.complete == 2
        assert [e.outcome for e in rig.script.ends()] == [Outcome.OK, Outcome.OK]

    run(main())


def test_without_the_guard_the_same_break_is_a_reset_and_activates_it():
    async def main():
        backend = await FaultyBackend(reset_first_connection).start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        await client.ask(call("r1", cls="once"))
        assert not rig.upstream.guard.is_active(rig.upstream.loop.time())
        assert (await client.ask(call("r2", cls="once")))[0] != 200
        assert rig.script.ends()[-1].outcome is Outcome.RESET
        assert rig.upstream.guard.is_active(rig.upstream.loop.time())

    run(main())


def test_a_new_connection_that_breaks_before_the_end_of_the_head_could_not_be_reached():
    """The request has not run, which CONNECT_FAILED states. The upstream does not resend it on another connection."""

    async def act(peer, number, reader, writer):
        await reader.read(1)
        writer.transport.abort()

    async def main():
        backend, good = await FaultyBackend(act).start(), await Peer.start(ok(b"good"))
        rig = Rig(in_turn("b0", "b1"))
        client = await rig.start(b0=backend.port, b1=good.port)
        activate_guard(rig)
        assert (await client.ask(call("r1", cls="once")))[2] == b"good"
        assert [e.outcome for e in rig.script.ends()] == [Outcome.CONNECT_FAILED, Outcome.OK]
        assert backend.connections == 1

    run(main())


def test_request_may_have_run_if_the_connection_breaks_after_its_head():
    async def act(peer, number, reader, writer):
        await read_message(reader)
        peer.complete += 1
        writer.transport.abort()

    async def main():
        backend = await FaultyBackend(act).start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        activate_guard(rig)
        assert (await client.ask(call("r1", cls="once")))[0] != 200
        assert [e.outcome for e in rig.script.ends()] == [Outcome.RESET]
        assert backend.connections == backend.complete == 1

    run(main())


def test_an_answer_before_the_end_of_the_head_belongs_to_no_request():
    async def act(peer, number, reader, writer):
        await reader.read(1)
        writer.write(ok(b"too early"))
        await reader.read()

    async def main():
        backend, good = await FaultyBackend(act).start(), await Peer.start(ok(b"good"))
        rig = Rig(in_turn("b0", "b1"))
        client = await rig.start(b0=backend.port, b1=good.port)
        activate_guard(rig)
        assert (await client.ask(call("r1", cls="once")))[2] == b"good"
        assert rig.script.ends()[0].outcome is Outcome.CONNECT_FAILED

    run(main())


def test_the_end_of_the_head_is_not_sent_to_a_backend_that_starts_draining():
    async def act(peer, number, reader, writer):
        await reader.read(1)
        peer.rig.ingress.serving.discard("b0")
        await reader.read()

    async def main():
        backend, good = await FaultyBackend(act).start(), await Peer.start(ok(b"good"))
        rig = backend.rig = Rig(in_turn("b0", "b1"))
        client = await rig.start(b0=backend.port, b1=good.port)
        activate_guard(rig)
        rig.upstream.guard.head_end_delay = lambda: 0.05
        assert (await client.ask(call("r1", cls="once")))[2] == b"good"
        assert rig.script.ends()[0].outcome is Outcome.MOOT and backend.complete == 0

    run(main())


def test_request_is_not_run_if_the_client_disconnects_before_the_end_of_its_head_is_sent():
    async def act(peer, number, reader, writer):
        await peer.answer(reader, writer)

    async def main():
        backend = await FaultyBackend(act).start()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        activate_guard(rig)
        rig.upstream.guard.head_end_delay = lambda: 5.0
        client.writer.write(call("r1", cls="once"))
        await until(lambda: backend.connections and rig.ingress.in_flight)
        client.writer.close()
        await until(lambda: not rig.ingress.in_flight)
        assert backend.complete == 0 and rig.script.ends()[-1].outcome is Outcome.MOOT

    run(main())
