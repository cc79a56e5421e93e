"""Each answer reaches its own client, and a non-idempotent request is resent only with proof that it has not run.

Each seed determines random actions of clients and backends. The clock is scripted, so that no test sleeps or opens a
socket. `caller_world.World.check` holds the assertions that apply to every run.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.proxy.caller_world import FREEZE_S, World, play
from thistleusher.core import actions
from thistleusher.core.events import AttemptEnded, TimerFired

SEEDS = 120


@pytest.mark.parametrize("seed", range(SEEDS))
def test_each_answer_reaches_its_caller_and_nothing_unproven_is_sent_again(seed: int) -> None:
    play(World.play, seed)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_unproven_is_sent_again_where_backends_begin_before_the_body(seed: int) -> None:
    """Guards against review/1: a payment that a backend ran before its last byte was sent to further backends."""
    play(World.play, seed, backends_begin_at_head=True)


@pytest.mark.parametrize(
    "step, status",
    [
        ("answers", 200),
        ("fails", 500),
        ("full", 503),  # each backend proves that it has not run the payment
        ("claims", 502),  # a 503 without proof
        ("noise", 502),
        ("cut", 502),
        ("reset", 502),
        ("silent", 502),
    ],
)
def test_a_payment_that_a_backend_begins_at_its_head_gets_that_backend_s_end(step: str, status: int) -> None:
    """Guards against review/1: while connections break, an end before the last byte counted as never begun."""

    async def scenario(world: World) -> None:
        world.steps = [step]
        world.upstream.guard.record_broken_connection(world.loop.time())
        client = world.client()
        client.ask(b"e1", b"e", body=b"b" * 1000)
        await asyncio.sleep(4.0)
        ((answered, _, _),) = client.answers()
        runs = world.runs[b"e1"]
        assert (answered, sum(run.ran for run in runs)) == (status, step != "full")
        assert len(runs) == (1 if step != "full" else 3)

    play(scenario, backends_begin_at_head=True)


def test_a_payment_goes_out_anew_if_its_connection_closed_unnoticed_before_the_end_of_its_head() -> None:
    """Guards against a head completed on a closed connection, which would leave open whether the payment has run."""

    async def scenario(world: World) -> None:
        world.steps = ["answers"]
        client = world.client()
        client.ask(b"e1", b"e")
        while not client.got:
            await asyncio.sleep(0.001)
        world.upstream.guard.record_broken_connection(world.loop.time())
        client.ask(b"e2", b"e")
        (connection,) = world.upstream.connections
        assert connection.exchange is not None
        wire = next(w for w in world.wires if w is not client.wire)
        wire.cut = True
        wire.unread.append(None)  # closed by the backend, but the process reads that after its timers
        await asyncio.sleep(0.1)
        wire.read()
        await asyncio.sleep(0.1)
        assert [status for status, _, _ in client.answers()] == [200, 200]
        assert len(world.runs[b"e2"]) == 1

    play(scenario, backends=1)


def test_a_client_that_reads_nothing_is_disconnected_and_one_that_reads_on_is_not() -> None:
    async def scenario(world: World) -> None:
        clients = [world.client() for _ in range(2)]
        for client in clients:
            client.wire.buffered = 1000
            client.connection.pause_writing()
        for _ in range(20):
            await asyncio.sleep(0.5)
            clients[0].wire.taken(1)
        assert [client.wire.ended for client in clients] == [False, True]

    play(scenario)


def test_no_byte_goes_out_once_a_request_is_overdue() -> None:
    """The end of the head was still held back from the backend when the process was paused."""

    async def scenario(world: World) -> None:
        client = world.client()
        world.upstream.guard.record_broken_connection(world.loop.time())
        client.ask(b"e1", b"e")
        while not any(c.exchange is not None for c in world.upstream.connections):
            await asyncio.sleep(0.001)
        world.loop.script.now += FREEZE_S
        await asyncio.sleep(0.1)
        assert not world.runs and client.answers()[0][0] == 503

    play(scenario)


@pytest.mark.parametrize("path, leaving, runs", [(b"e", False, 1), (b"p", False, 2), (b"p", True, 1)])
def test_an_answer_that_stops_midway_is_waited_for_where_no_other_may_come(
    path: bytes, leaving: bool, runs: int
) -> None:
    async def scenario(world: World) -> None:
        world.steps = ["stops"]
        client = world.client()
        client.ask(path + b"1", path)
        await asyncio.sleep(0.4)
        world.server.shutting_down = leaving
        held = world.ingress.in_flight[path.decode() + "1"]
        assert held.attempts == 1 and not client.got
        await asyncio.sleep(0.8)
        assert held.attempts == runs and (runs > 1 or not client.got)
        await asyncio.sleep(1.0)
        ((status, _, _),) = client.answers()
        assert status == 502

    play(scenario, backends=2)


@pytest.mark.parametrize("unread, leaving, runs", [(False, False, 2), (True, False, 1), (False, True, 1)])
def test_a_silent_backend_is_left_for_another_unless_its_answer_is_here(unread: bool, leaving: bool, runs: int) -> None:
    async def scenario(world: World) -> None:
        world.steps = ["silent"]
        client = world.client()
        client.ask(b"p1", b"p")
        while not world.runs:
            await asyncio.sleep(0.001)
        wire = next(w for w in world.wires if w is not client.wire)
        wire.unread += [b"HTTP/1.1 200 X\r\n"] * unread  # received, but not read by the process yet
        world.server.shutting_down = leaving
        world.ingress.cancel(actions.CancelAttempt("p1", 0))
        await asyncio.sleep(0.5)
        assert len(world.runs[b"p1"]) == runs

    play(scenario)


def test_no_rejection_is_sent_for_a_request_that_may_have_run() -> None:
    async def scenario(world: World) -> None:
        world.steps = ["silent"]
        client = world.client()
        client.ask(b"e1", b"e")
        while not world.runs:
            await asyncio.sleep(0.001)
        world.decisions.pending_actions.append(actions.Refuse("e1", 0.2))
        world.ingress.submit(TimerFired(0))
        ((status, _, _),) = client.answers()
        assert status == 502

    play(scenario)


def test_a_request_read_ahead_of_its_route_s_end_is_answered() -> None:
    async def scenario(world: World) -> None:
        world.steps = ["silent"]
        client = world.client()
        client.ask(b"e1", b"e")
        client.ask(b"p2", b"p")
        await asyncio.sleep(0.5)
        world.apply_configuration("effectful", routes=False)
        world.decisions.handlers.pop(AttemptEnded)  # keeps the second request in flight until its deadline
        world.ingress.serving.clear()
        await asyncio.sleep(4.0)
        assert len(client.answers()) == 2

    play(scenario)
