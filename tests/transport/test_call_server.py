"""The call server: each answer is sent to its own call, completely and only once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tests.proxy.caller_world import FREEZE_S, World, play
from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.transport.call_server import CallServer, Handler
from thistleusher.transport.calls import Readiness

NOT_READY = ServiceError(ErrorKind.STARTING)


class CallServerClient:
    """A client of a call server whose handler stores the calls, so that the test can answer them."""

    def __init__(self, world: World) -> None:
        self.done: list[Callable[[Any], None]] = []
        world.server = CallServer(
            world.loop, [Handler(Readiness, lambda call, done: self.done.append(done))], world.server.limits
        )
        self.client = world.client()

    def ask(self, more: bytes = b"") -> None:
        self.client.wire.deliver(b"GET /readiness HTTP/1.1\r\nHost: h\r\n%s\r\n" % more)
        self.client.asked.append((b"p", 0.0))


def test_a_second_answer_of_a_handler_reaches_no_other_call() -> None:
    async def scenario(world: World) -> None:
        calls = CallServerClient(world)
        calls.ask()
        calls.ask()
        calls.done[0](NOT_READY)
        await asyncio.sleep(0.01)
        calls.done[0](NOT_READY)
        assert len(calls.client.answers()) == 1
        calls.done[1](NOT_READY)

    play(scenario)


def test_a_last_answer_is_sent_completely_to_a_slow_client() -> None:
    async def scenario(world: World) -> None:
        calls = CallServerClient(world)
        wire = calls.client.wire
        calls.ask(b"Connection: close\r\n")
        wire.buffered = 40
        calls.done[0](NOT_READY)
        for _ in range(39):
            await asyncio.sleep(0.5)
            wire.taken(1)
            assert not wire.ended
        world.loop.script.now += FREEZE_S  # What the client reads during the freeze becomes visible only afterwards.
        await asyncio.sleep(0.1)
        assert not wire.ended
        wire.taken(1)
        assert wire.ended

    play(scenario)


def test_a_connection_with_unread_requests_is_not_reset_before_its_last_answer_is_read() -> None:
    async def scenario(world: World) -> None:
        calls = CallServerClient(world)
        calls.ask()
        calls.ask(b"X: read ahead\r\n")
        world.server.draining = True
        calls.done[0](NOT_READY)
        assert calls.client.wire.eof and not calls.client.wire.closing
        await asyncio.sleep(1.0)
        assert calls.client.wire.ended

    play(scenario)
