"""The counter's client: order of calls, late and malformed responses, and replaced connections."""

from __future__ import annotations

import asyncio

import pytest

from tests.net.sockets import HOST, Peer, closed_port, ok, run, until
from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.services import counter_channel as channel_module
from thistleusher.services import counter_client as client_module
from thistleusher.services.counter_client import CounterClient

LONG = 10.0  # a time-out in seconds that no test reaches


class RecordingClient:
    """A counter client that records its replies."""

    def __init__(self, port: int, timeout: float = LONG) -> None:
        self.replies: list[events.CounterReply] = []
        self.counter = CounterClient(asyncio.get_running_loop(), (HOST, port), timeout, self.replies.append)

    async def wait_for_replies(self, number: int) -> list[events.CounterReply]:
        await until(lambda: len(self.replies) >= number)
        return self.replies


def test_calls_of_one_name_keep_their_order_on_one_connection():
    async def main():
        total = 0.0

        async def act(seen):
            nonlocal total
            total += float(seen.line.split("delta=")[1].split("&")[0])
            return ok(b"%.1f" % total)

        service = await Peer(act).listen()
        w = RecordingClient(service.port)
        for amount in (1.0, 2.5, -0.5):
            w.counter.add(8, amount, 3.0)
        assert [r.total for r in await w.wait_for_replies(3)] == [1.0, 3.5, 3.0]
        assert all(r.name == 8 and r.outcome is Outcome.OK for r in w.replies)
        assert len({s.writer for s in service.seen}) == 1
        assert service.seen[0].line == "POST /v2/numbers/8?delta=1.000000&life_ms=3000 HTTP/1.1"

    run(main())


def test_a_late_reply_is_not_taken_for_the_next_calls():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            if seen.line.startswith("POST /v2/numbers/2?delta=1.0"):
                await go.wait()
                return ok(b"111")
            return ok(b"222")

        service = await Peer(act).listen()
        w = RecordingClient(service.port, 0.05)
        w.counter.add(2, 1.0, 3.0)
        assert (await w.wait_for_replies(1))[0].outcome is Outcome.TIMEOUT
        w.counter.timeout = LONG
        w.counter.add(2, 5.0, 3.0)
        go.set()
        assert [(r.outcome, r.total) for r in (await w.wait_for_replies(2))[1:]] == [(Outcome.OK, 222.0)]
        assert service.connections == client_module.CHANNELS  # the connection was kept

    run(main())


@pytest.mark.parametrize(
    "answer,outcome",
    [
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n", Outcome.CONNECT_FAILED),
        (b"HTTP/1.1 404 What\r\nContent-Length: 0\r\n\r\n", Outcome.CONNECT_FAILED),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Outcome.TIMEOUT),
        # Malformed responses: the units were added, and the connection cannot be used any further.
        *((ok(total), Outcome.ERROR) for total in (b"many", b"--3", b"nan", b"inf", b"", b"1e999", b"7 8")),
        (b"rubbish\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Len", Outcome.ERROR),
        (b"", Outcome.TIMEOUT),
    ],
)
def test_only_what_surely_was_not_added_is_reported_so(answer, outcome):
    async def main():
        service = await Peer.start(answer)
        w = RecordingClient(service.port)
        await until(lambda: w.counter.channels[0].connection)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.wait_for_replies(1))[0].outcome is outcome
        service.act = lambda _: asyncio.sleep(0, ok(b"7"))
        w.counter.add(4, 1.0, 3.0)  # on the same connection or a new one
        assert (await w.wait_for_replies(2))[1].total == 7.0

    run(main())


def test_a_call_that_was_never_written_was_not_added():
    async def main():
        w = RecordingClient(closed_port(), 0.05)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.wait_for_replies(1))[0].outcome is Outcome.CONNECT_FAILED
        assert not w.counter.channels[0].unsent

    run(main())


def test_a_stuck_connection_is_replaced(monkeypatch):
    monkeypatch.setattr(channel_module, "STUCK_TIMEOUT_S", 0.05)
    monkeypatch.setattr(channel_module, "RECONNECT_DELAY_S", 0.01)

    async def main():
        service = await Peer.start(None)
        w = RecordingClient(service.port, 0.1)
        await until(lambda: w.counter.channels[0].connection)
        w.counter.add(4, 1.0, 3.0)
        assert (await w.wait_for_replies(1))[0].outcome is Outcome.TIMEOUT
        await until(lambda: service.connections > client_module.CHANNELS)
        service.act = lambda _: asyncio.sleep(0, ok(b"7"))
        w.counter.timeout = LONG
        w.counter.add(4, 1.0, 3.0)
        assert (await w.wait_for_replies(2))[1].total == 7.0

    run(main())


def test_calls_behind_a_spoilt_answer_may_have_been_added():
    async def main():
        service = await Peer.start(b"HTTP/1.1 20x\r\n\r\n")
        w = RecordingClient(service.port)
        await until(lambda: w.counter.channels[0].connection)
        w.counter.add(4, 1.0, 3.0)
        w.counter.add(8, 1.0, 3.0)
        assert [r.outcome for r in await w.wait_for_replies(2)] == [Outcome.ERROR, Outcome.TIMEOUT]

    run(main())


def test_events_of_an_old_connection_do_not_reach_the_new_one():
    """Guards against shared state of two connections, with which the late end of the old one closed the new one."""

    async def main():
        service = await Peer.start(None)
        w = RecordingClient(service.port)
        channel = w.counter.channels[0]
        await until(lambda: channel.connection)
        w.counter.add(4, 1.0, 3.0)
        old = channel.connection
        old.has_served = True  # so that it is replaced at once
        old.end("a test")
        await until(lambda: channel.connection not in (None, old))
        new = channel.connection
        w.counter.add(4, 2.0, 3.0)
        old.data_received(ok(b"111"))
        old.connection_lost(None)
        assert channel.connection is new and len(w.replies) == 1 and len(new.pending) == 1

    run(main())


def test_a_counter_that_moves_keeps_the_order_of_calls_and_gets_its_answers():
    async def main():
        go = asyncio.Event()

        async def act(_):
            await go.wait()
            return ok(b"1")

        old, new = await Peer(act).listen(), await Peer.start(ok(b"2"))
        w = RecordingClient(old.port)
        channel = w.counter.channels[0]
        await until(lambda: channel.connection)
        w.counter.add(4, 1.0, 3.0)
        await until(lambda: old.seen)
        first = channel.connection
        w.counter.move((HOST, new.port))
        w.counter.add(8, 1.0, 3.0)  # sent over the old connection, as the new one is not open yet
        await until(lambda: channel.connection is not first)
        w.counter.add(4, 1.0, 3.0)
        await until(lambda: new.seen and channel.connection.has_served)
        assert not w.replies  # the answer on the new connection waits for the one to the earlier call
        go.set()
        assert [(r.name, r.total) for r in await w.wait_for_replies(3)] == [(4, 1.0), (4, 2.0), (8, 1.0)]
        await until(lambda: first.closed)
        assert not w.counter.pending

    run(main())


@pytest.mark.parametrize("body", [b"9" * 400, b"0." + b"1" * 60_000], ids=["digits", "fraction"])
def test_a_total_of_any_number_of_digits_is_malformed(body):
    """A total that is read as infinite would count as everything spent, for good."""

    async def main():
        service = await Peer.start(ok(body))
        w = RecordingClient(service.port)
        w.counter.add(1, 1.0, 3.0)
        assert [r.outcome for r in await w.wait_for_replies(1)] == [Outcome.ERROR]

    run(main())
