"""Tests of the middleware: deadlines, cancellation by the host, and disconnects of clients."""

from __future__ import annotations

import asyncio

import pytest

from standins.counter import Counter
from tests.embed.host import Host
from tests.embed.middleware import Rig, raw, send_response
from tests.embed.test_ingress import nothing_in_flight, settings
from tests.net.sockets import run, until
from thistleusher.embed import Call, EmbeddedIngress, QuotaMiddleware


def test_started_stream_continues_past_its_deadline():
    async def main():
        go, begun = asyncio.Event(), asyncio.Event()

        async def act(scope, receive, send):
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"one ", "more_body": True})
            begun.set()
            await go.wait()
            await send({"type": "http.response.body", "body": b"two"})

        async with Rig(act) as rig:
            client = await rig.client()
            client.writer.write(raw(budget="50m"))
            await begun.wait()
            rig.ingress.driver._expire(next(iter(rig.ingress.driver.in_flight.values())))
            go.set()
            answer = await client.reader.readuntil(b"0\r\n\r\n")
            assert b" 200 " in answer and b"one " in answer and b"two" in answer
            await until(lambda: nothing_in_flight(rig.ingress))

    run(main())


def test_app_that_never_responds_or_ends_gets_a_response_sent_for_it():
    async def main():
        stubborn = asyncio.Event()

        async def act(scope, receive, send):
            if dict(scope["headers"])[b"x-call-id"] == b"stubborn":
                while not stubborn.is_set():
                    try:
                        await stubborn.wait()
                    except asyncio.CancelledError:
                        continue
                await send_response(send, 200, b"too late")
            else:
                await asyncio.Event().wait()

        async with Rig(act) as rig:
            client = await rig.client()
            assert (await client.ask(raw("r1", budget="50m")))[0] == 503
            assert (await client.ask(raw("r2", "once", budget="50m")))[0] == 502
            assert (await client.ask(raw("stubborn", budget="50m")))[0] == 503  # while the application still runs
            assert rig.host.running
            stubborn.set()
            await until(lambda: not rig.host.running)
            assert rig.host.answers == {"r1": 1, "r2": 1, "stubborn": 1} and nothing_in_flight(rig.ingress)

    run(main())


@pytest.mark.parametrize("where", ["identify", "counter", "app", "answer"])
def test_the_hosts_own_time_out_first(where):
    async def main():
        inside, go = asyncio.Event(), asyncio.Event()

        async def act(scope, receive, send):
            if dict(scope["headers"])[b"x-call-id"] != b"cut":
                await send_response(send)
                return
            if where == "answer":
                await send({"type": "http.response.start", "status": 200, "headers": []})
                await send({"type": "http.response.body", "body": b"half", "more_body": True})
            inside.set()
            await go.wait()

        async def identify(scope):
            if where == "identify" and dict(scope["headers"])[b"x-call-id"] == b"cut":
                inside.set()
                await go.wait()
            return Call(7, "basic", "once", 2.0)

        counter = Counter(clock=lambda: 1000.0)
        await counter.start()
        rig = Rig(act, identify=identify)
        rig.ingress = EmbeddedIngress(settings(), counter=counter.address, clock=lambda: 1000.0, seed=1)
        rig.host = Host(QuotaMiddleware(rig.app, rig.ingress, identify))
        async with rig:
            client, other = await rig.client(), await rig.client()
            counter.silence(where == "counter")
            client.writer.write(raw("cut", "once"))
            if where == "counter":
                await until(lambda: rig.ingress.driver.gateway.admission.counter_calls)
            else:
                await inside.wait()
            rig.host.cancel_request("cut")
            if where == "answer":
                assert b"half" in await client.reader.read(4096)
                with pytest.raises(asyncio.IncompleteReadError):  # the client can tell that the response is incomplete
                    await client.reader.readuntil(b"0\r\n\r\n")
            else:
                assert (await client.answer())[0] == 504  # the host's own answer, and the only one
            counter.silence(False)
            assert (await other.ask(raw("r2", "once")))[0] == 200
            await until(lambda: nothing_in_flight(rig.ingress))
            await until(lambda: sum(counter.totals().values()) == (2.0 if where == "identify" else 4.0))
            assert rig.host.answers["cut"] == (where == "answer")
        await counter.stop()

    run(main())


@pytest.mark.parametrize("midway", [False, True])
def test_disconnected_client_gets_no_response_and_its_slot_is_released(midway):
    async def main():
        inside, left = asyncio.Event(), asyncio.Event()

        async def act(scope, receive, send):
            await receive()
            if midway:
                await send({"type": "http.response.start", "status": 200, "headers": []})
            inside.set()
            assert (await receive())["type"] == "http.disconnect"
            left.set()
            if not midway:
                await send_response(send)  # dropped, since the client has disconnected

        async with Rig(act) as rig:
            client = await rig.client()
            client.writer.write(raw())
            await inside.wait()
            assert rig.ingress.held == 1
            client.writer.transport.abort()
            await left.wait()
            await until(lambda: nothing_in_flight(rig.ingress) and not rig.host.running)
            assert rig.host.answers == {"r1": int(midway)} and not rig.host.errors
            assert sum(rig.counter.totals().values()) == 2.0

    run(main())
