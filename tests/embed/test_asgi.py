"""The middleware: what an application, its host and its clients may do, over loopback sockets and without."""

from __future__ import annotations

import asyncio
import math

import pytest
from fastapi import FastAPI
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from standins.counter import Counter
from tests.embed.host import Host, serve_lifespan
from tests.embed.test_ingress import made, nothing_in_flight, settings
from tests.net.sockets import Client, call, run, until
from thistleusher.embed import PASS, BadRequest, Call, EmbeddedIngress, MemoryCounter, QuotaMiddleware

TERMS = "units=2,spread=1,first=0"


def raw(name="r1", cls="read", **more):
    return call(name, cls, X_Call_Terms=TERMS, **more)


class Played:
    """An application whose HTTP part is the test's."""

    def __init__(self, act):
        self.act, self.scopes = act, []

    async def __call__(self, scope, receive, send):
        self.scopes.append(scope)
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        else:
            await self.act(scope, receive, send)


async def say(send, status=200, body=b"fine", headers=()):
    await send(
        {"type": "http.response.start", "status": status, "headers": [(b"content-length", b"%d" % len(body)), *headers]}
    )
    await send({"type": "http.response.body", "body": body})


class Rig:
    """An ingress, the middleware, an application and its host."""

    def __init__(self, act, counter=None, identify=None, fields=False):
        self.counter = counter or MemoryCounter(lambda: 1000.0)
        self.ingress = made(counter=self.counter)
        self.app = Played(act)
        self.host = Host(QuotaMiddleware(self.app, self.ingress, identify, fields))

    async def __aenter__(self):
        await self.ingress.open()
        await self.host.start()
        return self

    async def __aexit__(self, *_):
        await self.host.stop()
        await self.ingress.close()

    async def client(self):
        return await Client.connect(self.host.port)


def test_requests_are_served_refused_and_told_what_is_left():
    async def main():
        async def act(scope, receive, send):
            await say(send, 200, b"units " + dict(scope["headers"])[b"x-call-id"])

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
            await say(send, headers=[(b"x-cost-units", value)] if value else [])

        async with Rig(act) as rig:
            client = await rig.client()
            for name, left in (("r1", 7.0), ("r2", 5.0), ("settled", 1.0)):
                assert (await client.ask(raw(name)))[0] == 200
                assert rig.ingress.room(10, "basic") == left
            for name in ("r3", "r4"):  # what cannot be meant is left out
                assert (await client.ask(raw(name, path="/api/000000000000000b")))[0] == 200
            assert rig.ingress.room(11, "basic") == 4.0

    run(main())


def test_an_app_that_raises_answers_twice_says_nothing_or_stops_midway():
    async def main():
        async def act(scope, receive, send):
            name = dict(scope["headers"])[b"x-call-id"]
            if name == b"raises":
                raise KeyError("x")
            if name == b"silent":
                return
            if name == b"body":
                await send({"type": "http.response.body", "body": b"x"})
            await say(send)
            if name == b"twice":
                await say(send)
            if name == b"again":
                await send({"type": "http.response.body", "body": b"x"})

        async with Rig(act) as rig:

            async def once(name, cls="read"):
                client = await rig.client()
                member = f"/api/{len(name):016x}"  # a quota for each
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


def test_a_stream_goes_on_past_its_time_once_it_has_begun():
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


def test_an_app_that_never_answers_is_answered_for_even_if_it_will_not_end():
    async def main():
        stubborn = asyncio.Event()

        async def act(scope, receive, send):
            if dict(scope["headers"])[b"x-call-id"] == b"stubborn":
                while not stubborn.is_set():
                    try:
                        await stubborn.wait()
                    except asyncio.CancelledError:
                        continue
                await say(send, 200, b"too late")
            else:
                await asyncio.Event().wait()

        async with Rig(act) as rig:
            client = await rig.client()
            assert (await client.ask(raw("r1", budget="50m")))[0] == 503
            assert (await client.ask(raw("r2", "once", budget="50m")))[0] == 502
            assert (await client.ask(raw("stubborn", budget="50m")))[0] == 503  # while it runs on
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
                return await say(send)
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
                await until(lambda: rig.ingress.driver.gateway.admission.calls)
            else:
                await inside.wait()
            rig.host.cut("cut")
            if where == "answer":
                assert b"half" in await client.reader.read(4096)
                with pytest.raises(asyncio.IncompleteReadError):  # cut short, and the client can see it
                    await client.reader.readuntil(b"0\r\n\r\n")
            else:
                assert (await client.answer())[0] == 504  # the host's: exactly one
            counter.silence(False)
            assert (await other.ask(raw("r2", "once")))[0] == 200
            await until(lambda: nothing_in_flight(rig.ingress))
            await until(lambda: sum(counter.totals().values()) == (2.0 if where == "identify" else 4.0))
            assert rig.host.answers["cut"] == (where == "answer")
        await counter.stop()

    run(main())


@pytest.mark.parametrize("midway", [False, True])
def test_a_client_that_leaves_is_owed_nothing_and_its_slot_comes_back(midway):
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
                await say(send)  # dropped: nobody is there

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
            await say(send)

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


def test_two_middlewares_one_inside_the_other_are_a_plain_error_and_two_beside_each_other_are_not():
    async def main():
        async def act(scope, receive, send):
            await say(send)

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


def test_a_closed_ingress_under_a_middleware_is_a_plain_error():
    async def main():
        async def act(scope, receive, send):
            await say(send)

        async with Rig(act) as rig:
            await rig.ingress.close()
            assert (await (await rig.client()).ask(raw()))[0] == 500
            assert isinstance(rig.host.errors[0], RuntimeError) and "closed" in str(rig.host.errors[0])

    run(main())


def test_an_id_that_is_still_held_is_turned_away_as_by_the_daemon():
    async def main():
        go = asyncio.Event()

        async def act(scope, receive, send):
            await go.wait()
            await say(send)

        async with Rig(act) as rig:
            one, two = await rig.client(), await rig.client()
            one.writer.write(raw("same"))
            await until(lambda: rig.ingress.held)
            assert (await two.ask(raw("same")))[0] == 400
            go.set()
            assert (await one.answer())[0] == 200 and sum(rig.counter.totals().values()) == 2.0

    run(main())


@pytest.mark.parametrize("framework", ["starlette", "fastapi"])
def test_under_the_common_frameworks(framework):
    async def main():
        ingress = made()

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
            await say(send)

        async with Rig(act) as rig:
            fleet = rig.ingress.driver.gateway.fleet
            slots, fleet.latency["read"] = int(fleet.slots), 1.0  # a wait that few can be given
            done = []

            async def once(n):
                client = await rig.client()
                status, headers, _ = await client.ask(raw(f"r{n}", path=f"/api/{n:016x}"))
                client.writer.close()
                done.append((status, "retry-after" in headers))

            tasks = [asyncio.create_task(once(n)) for n in range(60)]
            await until(lambda: len(inside) == slots and len(done) + rig.ingress.held == 60)
            refused = list(done)
            assert len(refused) >= 30 and set(refused) == {(503, True)}  # at once, while the others are in flight
            go.set()
            await asyncio.gather(*tasks)
            assert {s for s, _ in done[len(refused) :]} == {200} and nothing_in_flight(rig.ingress)

    run(main())
