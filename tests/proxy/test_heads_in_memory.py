"""FAULT: heads, each within its limit, of many connections at once stay within the proxy's memory for them."""

import asyncio

from tests.proxy.loopback_rig import answer, play, until
from thistleusher.net.memory_budget import Reservation, Stage

KIB = 1024
CAPACITY = 256 * KIB
START = b"POST /e/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: h%d\r\nAuthorization: Token k1\r\n"
FIELDS = b"".join(b"f%03d: v\r\n" % n for n in range(200))  # some 2 KiB that take 30 in memory


async def settle(rig):
    async with asyncio.timeout(5):
        await until(lambda: rig.budget.held == 0)


async def first_lines(rig, heads):
    """Send each head on a connection of its own; return what is answered within a moment, and the clients."""
    clients = [await rig.client() for _ in heads]
    for client, head in zip(clients, heads, strict=True):
        client.writer.write(head)
    lines = [asyncio.ensure_future(client.reader.readline()) for client in clients]
    await asyncio.wait(lines, timeout=0.5)
    return [line.result() if line.done() else b"" for line in lines], clients


def test_heads_that_do_not_end_are_held_within_the_budget():
    async def scenario(rig):
        lines, clients = await first_lines(rig, [START % n + FIELDS for n in range(20)])
        assert 0 < rig.budget.held <= CAPACITY + 64 * KIB
        assert any(line.startswith(b"HTTP/1.1 503") for line in lines) and b"" in lines
        for client in clients:
            client.writer.transport.abort()
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_large_heads_of_requests_at_work_are_held_and_released():
    async def scenario(rig):
        for backend in rig.backends:
            backend.script = ["wait"] * 20
        heads = [START % n + b"X-Deadline-Ms: 800\r\nContent-Length: 0\r\n" + FIELDS + b"\r\n" for n in range(20)]
        lines, clients = await first_lines(rig, heads)
        assert rig.budget.held and any(line.startswith(b"HTTP/1.1 503") for line in lines)
        await settle(rig)
        for client in clients:
            client.writer.close()

    play(scenario, capacity=CAPACITY)


def test_an_answer_with_a_large_head_is_served_and_released():
    async def scenario(rig):
        more = b"".join(b"X-F%03d: v\r\n" % n for n in range(200))
        for backend in rig.backends:
            backend.script = [lambda attempt: answer(attempt, body=b"b" * 30_000, more=more)]
        got = await rig.ask("/p/")
        assert got.status == 200 and got.headers["x-f199"] == "v" and len(got.body) == 30_000
        await settle(rig)

    play(scenario, capacity=CAPACITY)


def test_a_large_head_does_not_keep_its_own_body_from_being_read():
    """A backend's one body may be larger than its part of the memory; its head is not another body."""
    body = b"b" * (560 * KIB)
    more = b"".join(b"X-F%03d: v\r\n" % n for n in range(200)) + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = b"".join(b"4000\r\n" + body[at : at + 0x4000] + b"\r\n" for at in range(0, len(body), 0x4000))
    start = b"HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s.1\r\n"

    async def scenario(rig):
        others = Reservation(rig.budget, Stage.RESPONSE, bool)
        assert others.ask(1100 * KIB)  # less than half of the capacity is free
        for backend in rig.backends:
            backend.script = [lambda attempt: start % attempt.encode() + more + chunks + b"0\r\n\r\n"]
        got = await rig.ask("/p/")
        assert got.status == 200 and got.body == body
        others.release()
        await settle(rig)

    play(scenario, capacity=2048 * KIB)
