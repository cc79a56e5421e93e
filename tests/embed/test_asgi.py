"""Tests of the middleware: requests and answers of applications, over loopback sockets and without sockets."""

from __future__ import annotations

import asyncio

import pytest
from fastapi import FastAPI
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from tests.embed.host import Host
from tests.embed.middleware import Rig, raw, send_response
from tests.embed.test_ingress import make_ingress, nothing_in_flight
from tests.net.sockets import Client, run, until
from thistleusher.embed import PASS, Call, QuotaMiddleware


def test_responses_report_verdict_and_remaining_quota():
    async def main():
        async def act(scope, receive, send):
            await send_response(send, 200, b"units " + dict(scope["headers"])[b"x-call-id"])

        async with Rig(act, fields=True) as rig:
            client = await rig.client()
            status, headers, body = await client.ask(raw("r1"))
            assert (status, body) == (200, b"units r1")
            assert headers["ratelimit-policy"] == '"basic";q=8;w=8000' and headers["ratelimit"] == '"basic";r=6;t=2000'
            answers = [await client.ask(raw(f"s{n}")) for n in range(4)]
            assert [a[0] for a in answers] == [200, 200, 200, 429]
            assert answers[-1][1]["retry-after"] == "1" and answers[-1][1]["ratelimit"].startswith('"basic";r=0;')
            assert sum(rig.counter.totals().values()) == 8.0 and nothing_in_flight(rig.ingress)

    run(main())


def test_true_units_by_header_or_by_the_admission():
    async def main():
        async def act(scope, receive, send):
            name = dict(scope["headers"])[b"x-call-id"]
            if name == b"settled":
                scope["thistleusher.admission"].settle(4.0)
            value = {b"r1": b"1", b"r2": b"x", b"r3": b"99", b"r4": b"nan"}.get(name)
            await send_response(send, headers=[(b"x-cost-units", value)] if value else [])

        async with Rig(act) as rig:
            client = await rig.client()
            for name, left in (("r1", 7.0), ("r2", 5.0), ("settled", 1.0)):
                assert (await client.ask(raw(name)))[0] == 200
                assert rig.ingress.room(10, "basic") == left
            for name in ("r3", "r4"):  # invalid values are ignored
                assert (await client.ask(raw(name, path="/api/000000000000000b")))[0] == 200
            assert rig.ingress.room(11, "basic") == 4.0

    run(main())


def test_invalid_app_behaviour_is_reported_as_a_failure():
    async def main():
        async def act(scope, receive, send):
            name = dict(scope["headers"])[b"x-call-id"]
            if name == b"raises":
                raise KeyError("x")
            if name == b"silent":
                return
            if name == b"body":
                await send({"type": "http.response.body", "body": b"x"})
            await send_response(send)
            if name == b"twice":
                await send_response(send)
            if name == b"again":
                await send({"type": "http.response.body", "body": b"x"})

        async with Rig(act) as rig:

            async def once(name, cls="read"):
                client = await rig.client()
                member = f"/api/{len(name):016x}"  # a separate member, and so a separate quota
                try:
                    return (await client.ask(raw(name, cls, path=member)))[0]
                finally:
                    client.writer.close()

            assert await once("raises") == 500 and isinstance(rig.host.errors.pop(), KeyError)
            assert await once("silent") == 503 and await once("silent", "once") == 502
            for name in ("twice", "again"):
                assert await once(name) == 200
                await until(lambda: rig.host.errors)
                assert "answered twice" in str(rig.host.errors.pop())
            assert await once("body") == 500 and "before its response" in str(rig.host.errors.pop())
            await until(lambda: not rig.host.running)
            assert set(rig.host.answers.values()) <= {0, 1} and nothing_in_flight(rig.ingress)

    run(main())


def test_websocket_and_lifespan_scopes_pass_through_untouched():
    async def main():
        async def act(scope, receive, send):
            assert await receive() == "in"
            await send("out")

        async with Rig(act) as rig:
            sent = []
            scope = {"type": "websocket", "path": "/api/000000000000000a", "headers": []}

            async def receive():
                return "in"

            async def send(message):
                sent.append(message)

            await QuotaMiddleware(rig.app, rig.ingress)(scope, receive, send)
            assert sent == ["out"] and rig.app.scopes[-1] is scope and list(scope) == ["type", "path", "headers"]
            assert rig.app.scopes[0]["type"] == "lifespan" and rig.counter.totals() == {}

    run(main())


@pytest.mark.parametrize("framework", ["starlette", "fastapi"])
def test_under_the_common_frameworks(framework):
    async def main():
        ingress = make_ingress()

        async def items(request=None):
            return PlainTextResponse("an item")

        async def stream(request=None):
            async def parts():
                for n in range(3):
                    yield f"{n} "

            return StreamingResponse(parts())

        identify = [lambda scope: Call(3, "basic", "read", 2.0) if scope["path"] != "/health" else PASS]
        if framework == "starlette":
            app = Starlette(
                routes=[Route(p, e) for p, e in (("/i", items), ("/s", stream), ("/health", items))],
                lifespan=ingress.lifespan,
                middleware=[Middleware(QuotaMiddleware, ingress=ingress, identify=identify[0])],
            )
        else:
            app = FastAPI(lifespan=ingress.lifespan)
            app.add_middleware(QuotaMiddleware, ingress=ingress, identify=identify[0], ratelimit_fields=True)
            app.get("/i")(lambda: PlainTextResponse("an item"))
            app.get("/s")(stream)
            app.get("/health")(lambda: PlainTextResponse("an item"))
        host = Host(app)
        await host.start()
        client = await Client.connect(host.port)
        for path, want in (("/i", b"an item"), ("/health", b"an item")):
            assert (await client.ask(f"GET {path} HTTP/1.1\r\n\r\n".encode()))[::2] == (200, want)
        client.writer.write(b"GET /s HTTP/1.1\r\n\r\n")
        assert b"2 \r\n0\r\n\r\n" in await client.reader.readuntil(b"0\r\n\r\n")
        codes = [(await client.ask(b"GET /i HTTP/1.1\r\n\r\n"))[0] for _ in range(4)]
        assert codes == [200, 200, 429, 429]
        assert (await client.ask(b"GET /health HTTP/1.1\r\n\r\n"))[0] == 200
        assert nothing_in_flight(ingress)
        client.writer.close()
        await host.stop()
        with pytest.raises(RuntimeError, match="closed"):
            ingress.admit(Call(3, "basic", "read"))

    run(main())


def test_many_at_once_are_held_to_the_concurrency_limit_and_overload_is_refused():
    async def main():
        go, inside = asyncio.Event(), []

        async def act(scope, receive, send):
            inside.append(1)
            await go.wait()
            await send_response(send)

        async with Rig(act) as rig:
            fleet = rig.ingress.driver.gateway.fleet
            # A latency so long that only a few requests can be queued within their deadline.
            slots, fleet.latency["read"] = int(fleet.slots), 1.0
            done = []

            async def once(n):
                client = await rig.client()
                status, headers, _ = await client.ask(raw(f"r{n}", path=f"/api/{n:016x}"))
                client.writer.close()
                done.append((status, "retry-after" in headers))

            tasks = [asyncio.create_task(once(n)) for n in range(60)]
            await until(lambda: len(inside) == slots and len(done) + rig.ingress.held == 60)
            refused = list(done)
            assert len(refused) >= 30 and set(refused) == {(503, True)}  # while the others are in flight
            go.set()
            await asyncio.gather(*tasks)
            assert {s for s, _ in done[len(refused) :]} == {200} and nothing_in_flight(rig.ingress)

    run(main())
