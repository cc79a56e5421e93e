"""The listener and backend connections over loopback: truncated, duplicated and misattributed answers."""

import asyncio

import pytest

from tests.proxy.loopback_rig import answer, config, play, until
from thistleusher.proxy.shutdown import ProxyGracefulShutdown

LONG_BYTES = 1024 * 1024


def test_a_request_and_its_answer_are_forwarded_unchanged():
    async def scenario(rig):
        got = await rig.ask(
            "/e/x?q=1", body=b"abc", lines="X-Tenant: forged\r\nX-Other: kept\r\nConnection: x-gone\r\n" "X-Gone: 1\r\n"
        )
        assert got.status == 200 and got.body == b"whole" and got.headers["x-server-seal"] == "s.1"
        (sent,) = rig.runs()
        assert sent.line == "POST /e/x?q=1 HTTP/1.1" and sent.body == b"abc"
        assert sent.headers["x-tenant"] == "t" and sent.headers["x-other"] == "kept" and "x-gone" not in sent.headers
        assert "authorization" not in sent.headers and sent.headers["x-expect-instance"] in ("b0", "b1")
        assert 0 < int(sent.headers["x-deadline-ms"]) <= 1500

    play(scenario)


@pytest.mark.parametrize(
    "path, step, status, runs",
    [
        ("/p/", "reset in head", 200, 1),
        ("/e/", "reset in head", 502, 0),  # its last byte may have been sent
        ("/p/", "reset", 200, 2),
        ("/e/", "reset", 502, 1),  # after the last byte of the request
        ("/p/", "cut", 200, 2),
        ("/e/", "cut", 502, 1),  # connection closed in the middle of the answer
        ("/p/", lambda a: b"\x00\x01 no answer\r\n\r\n", 200, 2),
        ("/e/", lambda a: b"\x00\x01 no answer\r\n\r\n", 502, 1),
        ("/p/", lambda a: answer(a, seal=False), 200, 2),
        ("/e/", lambda a: answer(a, seal=False), 502, 1),
        ("/p/", lambda a: answer(a, 500), 200, 2),
        ("/e/", lambda a: answer(a, 500), 500, 1),  # the backend's own answer is forwarded
        ("/p/", lambda a: answer(a, 503, more=b"X-Not-Run: 1\r\n"), 200, 2),
        ("/e/", lambda a: answer(a, 503, more=b"X-Not-Run: 1\r\n"), 200, 2),
        ("/e/", lambda a: answer(a, 421), 200, 2),
        ("/e/", lambda a: answer(a, 503), 502, 1),
        ("/e/", lambda a: answer(a, 429), 502, 1),  # without the proof header the status promises nothing
    ],
)
def test_the_end_after_a_backend_fault_depends_on_the_variant(path, step, status, runs):
    async def scenario(rig):
        for backend in rig.backends:  # the backend selected first runs the step, the other one answers
            backend.script.append(step)
        first = asyncio.ensure_future(rig.ask(path))
        await until(lambda: any(len(b.script) == 0 for b in rig.backends))
        for backend in rig.backends:
            backend.script.clear()
        got = await first
        assert got.status == status and len(rig.runs()) == runs

    play(scenario)


def test_another_backend_replaces_a_closed_one_for_any_variant():
    async def scenario(rig):
        rig.backends[0].server.close()
        assert [(await rig.ask(p)).status for p in ("/p/", "/e/", "/p/", "/e/")] == [200] * 4

    play(scenario)


def test_a_payment_answered_before_its_long_body_is_read_runs_once():
    """Guards against review/1: after one broken connection such an answer counted as a connection broken again."""

    async def scenario(rig):
        for backend in rig.backends:
            backend.script.append("early")
        rig.upstream.guard.record_broken_connection(rig.upstream.loop.time())
        for number in range(5):
            got = await rig.ask("/e/", body=b"p" * LONG_BYTES, attempt=f"pay-{number}")
            assert got.status == 200 and got.headers["x-server-seal"] == "s.1"
        await until(lambda: len(rig.runs()) == 5)  # the bodies have arrived whole, too
        assert all(run.body == b"p" * LONG_BYTES for run in rig.runs())
        assert sorted(name for b in rig.backends for name in b.began) == [f"pay-{n}" for n in range(5)]

    play(scenario)


def test_a_surplus_answer_that_comes_late_belongs_to_no_request():
    async def scenario(rig):
        (backend,) = rig.backends
        backend.script += [
            lambda a: answer(a),
            lambda a: answer("a-of-before", body=b"not mine") + answer(a, body=b"mine"),
        ]
        client = await rig.client()
        assert (await client.ask("/p/")).body == b"whole"
        assert (await client.ask("/p/")).body == b"mine"
        assert (await client.ask("/p/")).body == b"whole"
        assert backend.connections == 2  # the connection with the surplus answer is not reused

    play(scenario, 1)


def test_a_421_from_a_reused_address_excludes_that_backend():
    async def scenario(rig):
        reused = rig.backends[0]
        reused.script += [lambda a: answer(a, 421)] * 50
        got = await asyncio.gather(*(rig.ask("/e/") for _ in range(12)))
        assert [m.status for m in got] == [200] * 12 and reused.got
        before = len(reused.got)
        got = await asyncio.gather(*(rig.ask("/e/") for _ in range(12)))
        assert [m.status for m in got] == [200] * 12 and len(reused.got) == before

    play(scenario)


def test_a_removed_key_is_rejected_on_an_open_connection():
    async def scenario(rig):
        client = await rig.client()
        assert (await client.ask("/p/", key="k2")).status == 200
        rig.apply_configuration(config(t={"api_keys": ["k1"]}))
        assert (await client.ask("/p/", key="k2")).status == 401
        assert (await client.ask("/p/", key="k1")).status == 200
        assert (await client.ask("/o/", key="k2")).status == 200  # a public route requires no key

    play(scenario)


def test_a_request_in_flight_is_answered_after_its_route_was_removed():
    async def scenario(rig):
        (backend,) = rig.backends
        backend.script.append("wait")
        client = await rig.client()
        asked = asyncio.ensure_future(client.ask("/p/", attempt="slow"))
        await until(lambda: backend.got)
        rig.apply_configuration(config()._replace(routes={}))
        assert (await rig.ask("/p/")).status == 404
        connection = next(iter(rig.upstream.connections))
        connection.data_received(answer("slow"))
        assert (await asked).status == 200

    play(scenario, 1)


def test_requests_that_cannot_be_served_are_answered_with_the_reason():
    async def scenario(rig):
        assert (await rig.ask("/q/")).status == 404
        assert (await rig.ask("/p/", key="nobody")).status == 401
        assert (await rig.ask("/p/", lines="X-Attempt-Id: twice\r\n")).status == 400
        rig.server.has_backend_list = False
        got = await rig.ask("/p/")
        assert got.status == 503 and float(got.headers["retry-after"]) > 0
        rig.server.has_backend_list = True
        rig.ingress.serving.clear()
        rig.decisions.apply_evacuations(0.0, {"z"})
        assert (await rig.ask("/p/")).status == 503

    play(scenario)


def test_what_a_client_reads_from_the_kernel_counts_as_read():
    async def scenario(rig):
        rig.backends[0].script.append(lambda a: answer(a, body=b"x" * (1 << 20)))
        client = await rig.client()
        asked = asyncio.ensure_future(client.ask("/p/"))
        await until(lambda: rig.server.connections)
        connection = next(iter(rig.server.connections))
        most = 0
        while not asked.done():
            most = max(most, connection.unacknowledged_bytes())
            await asyncio.sleep(0)
        assert most > 0 and len((await asked).body) == 1 << 20
        await until(lambda: not connection.unacknowledged_bytes())

    play(scenario, 1)


def test_a_shutdown_answers_requests_in_flight_and_closes_the_listener_in_time():
    async def scenario(rig):
        loop = asyncio.get_running_loop()
        client = await rig.client()
        assert (await client.ask("/p/")).status == 200
        began = loop.time()
        drained = asyncio.ensure_future(rig.server.drain(asyncio.sleep(0), ProxyGracefulShutdown(began, 6.0)))
        assert (await client.ask("/p/")).status == 200  # requests are still accepted
        await drained
        assert loop.time() - began < 3.5
        with pytest.raises(OSError):
            await rig.client()

    play(scenario)


def test_the_listener_closes_early_enough_for_the_last_requests():
    shutdown = ProxyGracefulShutdown(100.0, 6.0)
    now = 100.0
    while shutdown.accepts_requests(now):
        shutdown.request_arrived(now)
        now += 0.01
    assert now <= 103.1 and shutdown.time_left(now) >= 2.0
