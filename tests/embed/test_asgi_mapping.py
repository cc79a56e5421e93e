"""Tests of the middleware: invalid requests, and ingresses that are closed or used twice for one request."""

from __future__ import annotations

import asyncio
import math

import pytest

from tests.embed.host import Host
from tests.embed.middleware import TERMS, Rig, raw, send_response
from tests.embed.test_ingress import nothing_in_flight
from tests.net.sockets import Client, call, run, until
from thistleusher.embed import PASS, BadRequest, Call, QuotaMiddleware


@pytest.mark.parametrize(
    "bad,status",
    [
        (dict(X_Tier="gold"), 400),
        (dict(X_Tier=None), 400),
        (dict(path="/api/x"), 404),
        (dict(X_Call_Terms="units=0,spread=1,first=0"), 400),
        (dict(X_Call_Terms="units=nan,spread=1,first=0"), 400),
        (dict(X_Call_Terms="units=5,spread=1,first=0"), 400),
        (dict(X_Call_Id=None), 400),
        (dict(X_Budget="1h"), 400),
        (dict(path="/api/ffffffffffffffff"), 400),
    ],
)
def test_a_bad_mapping_is_the_daemons_4xx_counted_and_not_charged(bad, status):
    async def main():
        async def act(scope, receive, send):
            pytest.fail("not admitted")

        async with Rig(act) as rig:
            client = await rig.client()
            answer = await client.ask(call("r1", **{**dict(X_Call_Terms=TERMS), **bad}))
            assert answer[0] == status and answer[2]
            assert rig.ingress.invalid == 1 and rig.counter.totals() == {} and nothing_in_flight(rig.ingress)

    run(main())


@pytest.mark.parametrize(
    "mapped,status",
    [
        (Call(7, "gold", "read"), 400),
        (Call(7, "basic", "read", 0.0), 400),
        (Call(7, "basic", "read", math.nan), 400),
        (None, 400),
        (Call(None, "basic", "read"), 400),
        (BadRequest("no member"), 400),
        (PASS, 200),
        (Call(7, "basic", "read"), 200),
    ],
)
def test_a_hosts_own_mapping_is_checked_the_same(mapped, status):
    async def main():
        async def act(scope, receive, send):
            await send_response(send)

        def identify(scope):
            if isinstance(mapped, BadRequest):
                raise mapped
            return mapped

        async with Rig(act, identify=identify) as rig:
            client = await rig.client()
            assert (await client.ask(raw()))[0] == status
            assert rig.ingress.invalid == (status == 400)
            assert sum(rig.counter.totals().values()) == (1.0 if isinstance(mapped, Call) and status == 200 else 0.0)

    run(main())


def test_nested_middlewares_are_rejected_and_independent_ones_are_accepted():
    async def main():
        async def act(scope, receive, send):
            await send_response(send)

        async with Rig(act) as rig, Rig(act) as other:
            assert (await (await rig.client()).ask(raw()))[0] == 200
            assert (await (await other.client()).ask(raw()))[0] == 200
            nested = Host(QuotaMiddleware(QuotaMiddleware(rig.app, rig.ingress), rig.ingress))
            await nested.start()
            assert (await (await Client.connect(nested.port)).ask(raw("r2")))[0] == 500
            assert "charged twice" in str(nested.errors.pop())
            assert sum(rig.counter.totals().values()) == 4.0 and nothing_in_flight(rig.ingress)
            await nested.stop()

    run(main())


def test_middleware_over_a_closed_ingress_raises_a_clear_error():
    async def main():
        async def act(scope, receive, send):
            await send_response(send)

        async with Rig(act) as rig:
            await rig.ingress.close()
            assert (await (await rig.client()).ask(raw()))[0] == 500
            assert isinstance(rig.host.errors[0], RuntimeError) and "closed" in str(rig.host.errors[0])

    run(main())


def test_an_id_that_is_still_in_flight_is_rejected_as_by_the_daemon():
    async def main():
        go = asyncio.Event()

        async def act(scope, receive, send):
            await go.wait()
            await send_response(send)

        async with Rig(act) as rig:
            one, two = await rig.client(), await rig.client()
            one.writer.write(raw("same"))
            await until(lambda: rig.ingress.held)
            assert (await two.ask(raw("same")))[0] == 400
            go.set()
            assert (await one.answer())[0] == 200 and sum(rig.counter.totals().values()) == 2.0

    run(main())
