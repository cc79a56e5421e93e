"""Many bodies at once at one proxy: what it holds stays within its budget, and what cannot be held has not run."""

import asyncio
import contextlib

import pytest

from standins import http
from tests.proxy.loopback_rig import answer, config, play, until
from thistleusher.net import client_connection, request_buffer
from thistleusher.net.shutdown import GracefulShutdown

MB = 1024 * 1024
CAPACITY = 8 * MB
READ_BYTES = 256 * 1024  # the most that the event loop reads at once
UPLOAD_BYTES = 3 * MB


@pytest.fixture(autouse=True)
def large_bodies(monkeypatch):
    """Backends that take bodies of any size."""
    monkeypatch.setattr(http, "MAX_BODY", 64 * MB)


class Peak:
    """The most that a budget has held, looked at in each iteration of the loop."""

    def __init__(self, rig):
        self.rig, self.most = rig, 0
        self.task = asyncio.ensure_future(self.watch())

    async def watch(self):
        while True:
            self.most = max(self.most, self.rig.budget.held)
            await asyncio.sleep(0)


async def settle(rig):
    """Wait until nothing is held."""
    async with asyncio.timeout(5):
        await until(lambda: rig.budget.held == 0 and rig.budget.waiting == 0)


async def uploads(rig, count, size=UPLOAD_BYTES, path="/e/"):
    """Upload bodies at once; return the statuses."""

    async def upload():
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            return (await rig.ask(path, method="POST", body=b"u" * size)).status
        return 0

    return await asyncio.gather(*(upload() for _ in range(count)))


def chunked(size):
    """Return an upload of unknown length."""
    head = b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c%d\r\nAuthorization: Token k1\r\n" % size
    part = b"10000\r\n" + b"u" * 65536 + b"\r\n"
    return head + b"X-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n" + part * (size // 65536) + b"0\r\n\r\n"


def test_uploads_at_once_are_held_one_after_the_other_and_all_served():
    async def scenario(rig):
        peak = Peak(rig)
        assert await uploads(rig, 5) == [200] * 5
        ran = len(rig.runs())
        statuses = await uploads(rig, 30)
        assert statuses.count(200) == len(rig.runs()) - ran > 0
        assert statuses.count(200) + statuses.count(503) == 30
        assert 0 < peak.most <= CAPACITY + READ_BYTES
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_uploads_that_cannot_be_held_in_their_time_are_refused_and_have_not_run():
    async def scenario(rig):
        for backend in rig.backends:
            backend.script = ["wait"] * 20  # what is held stays held until its deadline
        statuses = await uploads(rig, 6)
        ran = len(rig.runs())
        assert ran and statuses.count(503) == 6 - ran, statuses
        await settle(rig)
        assert len(rig.runs()) == ran

    play(scenario, capacity=CAPACITY)


def test_an_upload_that_never_fits_is_refused_with_an_answer():
    async def scenario(rig):
        client = await rig.client()
        got = await client.ask("/e/", method="POST", body=b"u" * (CAPACITY + 1))
        assert got.status == 503 and got.headers["retry-after"] and not rig.runs()
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_small_requests_are_served_while_uploads_wait():
    async def scenario(rig):
        slow = await rig.client()
        slow.writer.write(b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nu" % (4 * MB))
        await until(lambda: rig.budget.held >= 4 * MB)
        waiting = asyncio.ensure_future(uploads(rig, 3))
        await until(lambda: rig.budget.waiting)
        for _ in range(5):
            assert (await rig.ask("/e/", method="POST", body=b"s" * 60_000)).status == 200
            assert (await rig.ask("/p/")).status == 200
        assert rig.budget.waiting
        slow.writer.transport.abort()
        assert await waiting == [200] * 3
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_senders_that_hold_a_part_and_stop_end_by_the_time_for_a_request():
    async def scenario(rig):
        rig.server.limits = rig.server.limits._replace(read_timeout_s=0.3)
        slow = [await rig.client() for _ in range(2)]
        for client in slow:
            client.writer.write(b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nu" % (2 * MB))
        await until(lambda: rig.budget.held >= 4 * MB)
        head = await slow[0].reader.readline()
        assert head.startswith(b"HTTP/1.1 408")
        assert await uploads(rig, 1) == [200]
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_the_time_for_which_a_client_is_held_up_does_not_count_as_its_own():
    async def scenario(rig):
        rig.server.limits = rig.server.limits._replace(read_timeout_s=0.8)
        holder, waiter = await rig.client(), await rig.client()
        holder.writer.write(b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nu" % (4 * MB))
        await until(lambda: rig.budget.held >= 4 * MB)
        asked = asyncio.ensure_future(waiter.ask("/e/", method="POST", body=b"u" * UPLOAD_BYTES))
        await until(lambda: rig.budget.waiting)
        (connection,) = (each for each in rig.server.connections if each.awaits_memory_since)
        began = connection.request_started_at
        await asyncio.sleep(0.2)
        holder.writer.transport.abort()
        await until(lambda: not rig.budget.waiting)
        assert not connection.request_started_at or connection.request_started_at >= began + 0.2
        assert (await asked).status == 200
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_bodies_in_chunks_stay_within_the_budget():
    async def scenario(rig):
        peak = Peak(rig)

        async def upload(number):
            client = await rig.client()
            client.writer.write(chunked(2 * MB).replace(b"X-Attempt-Id: c", b"X-Attempt-Id: c%d-" % number))
            with contextlib.suppress(ConnectionError):
                return (await client.reader.readline()).split()[1]

        results = await asyncio.gather(*(upload(n) for n in range(8)))
        assert b"200" in results and {*results} <= {b"200", b"503", None}
        assert peak.most <= CAPACITY + 8 * READ_BYTES
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_uploads_read_ahead_on_one_connection_are_held_within_the_budget():
    async def scenario(rig):
        peak = Peak(rig)
        client = await rig.client()
        got = await asyncio.gather(*(client.ask("/e/", method="POST", body=b"u" * MB) for _ in range(1)))
        assert got[0].status == 200
        for number in range(10):
            client.writer.write(
                b"POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r%d\r\nAuthorization: Token k1\r\n"
                b"Content-Length: %d\r\n\r\n" % (number, MB) + b"u" * MB
            )
        for _ in range(10):
            assert (await client.reader.readline()).startswith(b"HTTP/1.1 200")
            await client.reader.readuntil(b"whole")
        assert peak.most <= CAPACITY
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_a_retry_has_its_body_and_its_memory():
    async def scenario(rig):
        rig.backends[0].script = ["reset"]
        got = await rig.ask("/p/", method="POST", body=b"u" * UPLOAD_BYTES)
        assert got.status == 200 and len(rig.runs()[-1].body) == UPLOAD_BYTES
        await settle(rig)

    play(scenario, capacity=CAPACITY)


@pytest.mark.parametrize("status", [500, 503])
def test_a_backends_own_error_is_kept_and_released(status):
    async def scenario(rig):
        for backend in rig.backends:
            backend.script = [lambda attempt: answer(attempt, status, body=b"e" * 100_000)] * 3
        got = await rig.ask("/p/", method="POST", body=b"u" * UPLOAD_BYTES)
        assert got.status in (500, 502, 503)
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_a_client_that_leaves_while_it_waits_holds_nothing():
    async def scenario(rig):
        holder, waiter = await rig.client(), await rig.client()
        holder.writer.write(b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nu" % (4 * MB))
        await until(lambda: rig.budget.held >= 4 * MB)
        asked = asyncio.ensure_future(waiter.ask("/e/", method="POST", body=b"u" * UPLOAD_BYTES))
        await until(lambda: rig.budget.waiting)
        asked.cancel()
        waiter.writer.transport.abort()
        holder.writer.transport.abort()
        await settle(rig)
        assert not rig.runs()

    play(scenario, capacity=CAPACITY)


def test_a_drain_answers_the_uploads_that_wait():
    async def scenario(rig):
        waiting = asyncio.ensure_future(uploads(rig, 6))
        await until(lambda: rig.budget.waiting)
        now = asyncio.get_running_loop().time()
        await rig.server.drain(asyncio.sleep(0), GracefulShutdown(now, 0.0))
        assert {*await waiting} <= {200, 503}
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_limits_that_change_while_uploads_wait_hold_for_later_ones():
    async def scenario(rig):
        waiting = asyncio.ensure_future(uploads(rig, 4))
        await until(lambda: rig.budget.waiting)
        rig.apply_configuration(config()._replace(limits=config().limits._replace(max_body_bytes=MB)))
        assert {*await waiting} <= {200, 413}
        assert await uploads(rig, 1) == [413]
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_answers_that_nobody_reads_are_held_within_the_budget(monkeypatch):
    monkeypatch.setattr(client_connection, "LINGER_S", 0.1)

    async def scenario(rig):
        rig.server.limits = rig.server.limits._replace(read_timeout_s=0.5)
        for backend in rig.backends:
            backend.script = [lambda attempt: answer(attempt, body=b"d" * (MB - 1))] * 40
        peak = Peak(rig)
        clients = [await rig.client() for _ in range(24)]
        for number, client in enumerate(clients):
            client.writer.transport.pause_reading()
            for n in range(4):
                client.writer.write(
                    b"GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: d%d-%d\r\nX-Deadline-Ms: 1500\r\n"
                    b"Authorization: Token k1\r\n\r\n" % (number, n)
                )
        await asyncio.sleep(1.0)
        assert 0 < peak.most <= CAPACITY + 24 * READ_BYTES
        for client in clients:
            client.writer.transport.abort()
        await settle(rig)

    play(scenario, capacity=CAPACITY)


@pytest.mark.parametrize("path, pad_bytes", [("/p/", 14_000), ("/p/", 0), ("/none/", 0)])
def test_requests_read_ahead_are_within_the_budget(path, pad_bytes):
    """One read may hold thousands of small ones, whether or not a backend is needed for their answers."""

    async def scenario(rig):
        for backend in rig.backends:
            backend.script = ["wait"] * 40
        clients = [await rig.client() for _ in range(20)]
        pad = b"X-Pad: " + b"p" * pad_bytes + b"\r\n"
        for number, client in enumerate(clients):
            requests = [
                b"GET %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: h%d-%d\r\n%sX-Deadline-Ms: 1500\r\n"
                b"Authorization: Token k1\r\n\r\n" % (path.encode() if n else b"/p/", number, n, pad)
                for n in range(240_000 // (pad_bytes + 150))
            ]
            client.writer.write(b"".join(requests))
        await asyncio.sleep(0.5)
        # A refusal follows the requests of each connection, which holds no request.
        queued = sum(len(connection.queue) - 1 for connection in rig.server.connections)
        assert 0 < queued * (pad_bytes + request_buffer.QUEUED_REQUEST_BYTES) <= 2 * MB
        for client in clients:
            client.writer.transport.abort()
        await settle(rig)

    play(scenario, capacity=2 * MB)
