"""Clients that disconnect: none of their requests is started, and all idempotent work for them is cancelled."""

from __future__ import annotations

import asyncio

import pytest

from tests.proxy.caller_world import DISCONNECT_GRACE_S, World, play
from tests.proxy.simulated_peers import Client
from thistleusher.net.client_connection import MAX_PIPELINED_REQUESTS


async def asked(world: World, name: bytes) -> Client:
    """Return a client whose request a backend processes without ever answering."""
    world.steps = ["silent"]
    client = world.client()
    client.ask(name, name[:1])
    while not world.runs.get(name):
        await asyncio.sleep(0.001)
    return client


def is_worked_on(world: World, name: bytes) -> bool:
    return any(run.is_worked_on() for run in world.runs.get(name, []))


@pytest.mark.parametrize("name, goes_on", [(b"p1", False), (b"e1", True)])
@pytest.mark.parametrize("draining", [False, True])
def test_work_at_a_backend_ends_at_once_unless_it_may_not_be_repeated(name: bytes, goes_on: bool, draining: bool):
    async def scenario(world: World) -> None:
        client = await asked(world, name)
        world.server.shutting_down = draining
        client.disconnect()
        await asyncio.sleep(0.001)
        assert is_worked_on(world, name) is goes_on
        assert bool(world.ingress.in_flight) is goes_on
        world.runs.clear()

    play(scenario)


def test_what_was_read_ahead_is_dropped_also_where_reading_is_paused():
    async def scenario(world: World) -> None:
        client = await asked(world, b"p1")
        for number in range(2, MAX_PIPELINED_REQUESTS + 4):
            client.ask(b"p%d" % number, b"p")
        assert client.wire.paused
        client.disconnect()
        await asyncio.sleep(DISCONNECT_GRACE_S)
        assert list(world.runs) == [b"p1"] and not is_worked_on(world, b"p1")

    play(scenario)


def test_a_client_that_sends_too_much_behind_a_bad_request_is_seen_to_leave():
    async def scenario(world: World) -> None:
        client = await asked(world, b"p1")
        client.wire.deliver(b"no request\r\n\r\n")
        client.wire.deliver(b"x" * 300_000)
        assert client.wire.paused
        client.disconnect()
        await asyncio.sleep(DISCONNECT_GRACE_S)
        assert not is_worked_on(world, b"p1")

    play(scenario)


def test_answers_that_a_client_has_not_read_do_not_hide_its_end():
    async def scenario(world: World) -> None:
        client = await asked(world, b"p1")
        client.wire.buffered = 1000  # rest of an earlier answer
        client.left_at = world.loop.time()
        client.wire.finish()
        await asyncio.sleep(0.001)
        assert not is_worked_on(world, b"p1") and not client.wire.ended
        await asyncio.sleep(10.0)
        assert client.wire.ended  # closed although the client never reads the answer

    play(scenario)


def test_a_request_whose_connection_is_being_opened_is_not_sent_and_the_connection_is_kept():
    async def scenario(world: World) -> None:
        world.steps = ["answers"]
        client = world.client()
        client.ask(b"e1", b"e")
        assert world.upstream.tasks and not world.upstream.connections
        client.disconnect()
        await asyncio.sleep(0.1)
        (connection,) = world.upstream.connections
        assert not world.runs and connection in connection.pool.idle

    play(scenario)


@pytest.mark.parametrize("name", [b"p1", b"e1"])
def test_timers_that_are_due_before_the_end_is_read_send_nothing(name: bytes):
    """The end of the head was still held back from the backend when the process was paused."""

    async def scenario(world: World) -> None:
        client = world.client()
        world.upstream.guard.record_broken_connection(world.loop.time())
        if name == b"p1":  # its head is not held back; it waits for its connection
            client.ask(name, b"p")
        else:
            client.ask(name, b"e")
            while not any(c.exchange is not None for c in world.upstream.connections):
                await asyncio.sleep(0.001)
        world.frozen = True
        client.disconnect()
        world.loop.script.now += 1.0
        await asyncio.sleep(0.35)
        assert not world.runs and not world.ingress.in_flight
        world.thaw()

    play(scenario)


def test_clients_that_leave_a_slow_backend_cost_it_no_other_connection():
    async def scenario(world: World) -> None:
        world.steps = ["answers"]
        clients = [world.client() for _ in range(3)]
        for number, client in enumerate(clients):
            client.ask(b"e%d" % number, b"e")
        while len(world.upstream.pools["b0"].idle) < 3:
            await asyncio.sleep(0.001)
        world.upstream.pools["b0"].idle[-1].transport.heard = lambda data: None  # processes the request for a long time
        clients[0].ask(b"p9", b"p")
        assert len(world.upstream.pools["b0"].idle) == 2
        clients[0].disconnect()
        await asyncio.sleep(0.001)
        assert len(world.upstream.pools["b0"].idle) == 2

    play(scenario, backends=1)


def test_a_request_that_is_read_late_is_not_sent_if_its_client_has_left_behind_it():
    """A busy process reads a request late, and the end of the client's connection only in the next loop iteration."""

    async def scenario(world: World) -> None:
        client = world.client()
        world.frozen = True
        client.ask(b"p1", b"p")
        client.disconnect()
        world.loop.script.now += 1.0
        unread, client.wire.unread = client.wire.unread, [None]
        client.connection.data_received(b"".join(part for part in unread if part))
        await asyncio.sleep(0.35)
        assert not world.runs and not world.ingress.in_flight
        world.thaw()

    play(scenario)


@pytest.mark.parametrize("name, outlasts", [(b"p1", False), (b"e1", True)])
def test_a_shutdown_waits_for_what_may_not_be_repeated_also_if_its_client_has_left(name: bytes, outlasts: bool):
    async def scenario(world: World) -> None:
        client = await asked(world, name)
        client.disconnect()
        drained = asyncio.ensure_future(world.server.drain(asyncio.sleep(0.0)))
        await asyncio.sleep(0.1)
        assert drained.done() is not outlasts
        await asyncio.sleep(2.0)  # past the deadline of the request
        assert drained.done()

    play(scenario)
