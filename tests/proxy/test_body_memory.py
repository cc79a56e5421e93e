"""A request that has ended holds no byte of its body, however it ended, without the help of the cyclic collector."""

import asyncio
import gc
import weakref

import pytest

from tests.proxy.loopback_rig import answer, play, until
from thistleusher.net import client_connection, request_buffer
from thistleusher.services import http_responses

BODY = b"u" * 1024 * 1024
SMALL_BYTES = 64 * 1024


@pytest.fixture
def live_bytes(monkeypatch):
    """Return a function that counts the bytes of all bodies in memory; the collector is off meanwhile."""
    live = weakref.WeakSet()

    class TrackedBody(bytearray):
        __hash__ = object.__hash__

        def __init__(self, *arguments):
            super().__init__(*arguments)
            live.add(self)

    for module in (request_buffer, client_connection, http_responses):
        monkeypatch.setattr(module, "bytearray", TrackedBody, raising=False)
    gc.collect()
    gc.disable()
    yield lambda: sum(len(body) for body in list(live))
    gc.enable()


async def settle(live_bytes):
    """Wait until the bodies are gone, for callbacks of sockets that are closed."""
    for _ in range(100):
        if live_bytes() < SMALL_BYTES:
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"{live_bytes()} bytes of bodies are held")


@pytest.mark.parametrize(
    "path, step, status",
    [
        ("/e/", "answer", 200),
        ("/p/", "reset", 200),  # retried on the other backend
        ("/e/", "reset", 502),
        ("/e/", "cut", 502),
        ("/e/", lambda a: answer(a, 500), 500),
        ("/e/", lambda a: answer(a, 503, more=b"X-Not-Run: 1\r\n"), 200),
        ("/e/", lambda a: answer(a, body=b"b" * 900_000), 200),
        ("/e/", "wait", 502),  # the deadline passes
        ("/none/", "answer", 404),
    ],
)
@pytest.mark.parametrize("guarded", [False, True])
def test_an_answered_request_holds_no_body(live_bytes, path, step, status, guarded):
    async def scenario(rig):
        if guarded:
            rig.upstream.guard.record_broken_connection(rig.upstream.loop.time())
        client = await rig.client()  # stays open: no end of a connection frees anything
        for _ in range(1 if step == "wait" else 3):
            rig.backends[0].script = [step]
            rig.backends[1].script = [step] if status != 200 else []
            got = await client.ask(path, method="POST", body=BODY)
            assert got.status == status
            for backend in rig.backends:
                backend.script.clear()
        await settle(live_bytes)

    play(scenario)


@pytest.mark.parametrize("path, requests", [("/p/", 1), ("/e/", 1), ("/e/", 3)])
def test_requests_whose_client_leaves_hold_no_bodies(live_bytes, path, requests):
    """One is at a backend; the others are read ahead."""

    async def scenario(rig):
        for backend in rig.backends:
            backend.script = ["wait"] * 3
        client = await rig.client()
        asked = [asyncio.ensure_future(client.ask(path, method="POST", body=BODY)) for _ in range(requests)]
        await until(rig.runs)
        await until(lambda: live_bytes() >= (requests - 1) * len(BODY))
        for task in asked:
            task.cancel()
        client.writer.transport.abort()
        await settle(live_bytes)

    play(scenario)


def test_an_upload_that_is_broken_off_holds_no_body(live_bytes):
    async def scenario(rig):
        client = await rig.client()
        client.writer.write(b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n" + BODY[:900_000])
        await client.writer.drain()
        await until(lambda: live_bytes() >= 800_000)
        client.writer.transport.abort()
        await settle(live_bytes)

    play(scenario)
