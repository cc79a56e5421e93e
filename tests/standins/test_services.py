"""Each stand-in behaves as documented, with and without each of its faults."""

from __future__ import annotations

import asyncio
import socket

import pytest

from standins.counter import Counter
from standins.discovery import Discovery
from standins.match import IdempotencyKeys, MatchServer, ServerCapacity
from standins.records import Began, Ran, Told
from standins.relay import Relay
from tests.net.sockets import HOST, call, run, until
from tests.net.sockets import Client as Caller
from thistleusher.core.events import Outcome, Phase
from thistleusher.net.discovery import DiscoveryClient as Subscriber
from thistleusher.services.counter_client import CounterClient as Client


class Clock:
    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self):
        return self.now


async def add(port, name="7", delta="2", life="4000", raw=None):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(raw or f"POST /v2/numbers/{name}?delta={delta}&life_ms={life} HTTP/1.1\r\n\r\n".encode())
    answer = await reader.read(4096) if raw is None or raw else b""
    writer.close()
    return answer


def test_the_counter_adds_forgets_with_time_and_turns_bad_calls_away():
    async def main():
        clock = Clock()
        counter = Counter(clock=clock)
        await counter.start()
        assert (await add(counter.port)).endswith(b"\r\n\r\n2.000000")
        assert (await add(counter.port, delta="-0.5")).endswith(b"1.500000")
        clock.now += 3.9
        assert counter.totals() == {"7": 1.5}
        clock.now += 0.2
        assert counter.totals() == {} and (await add(counter.port)).endswith(b"2.000000")
        for bad in (dict(delta="x"), dict(delta="2e9"), dict(life="0"), dict(name="n" * 65), dict(name="")):
            assert b" 400 " in await add(counter.port, **bad)
        assert len(list(counter.records.of_kind(type(counter.records.all[0])))) == 3
        await counter.stop()

    run(main())


def test_the_counters_faults_as_the_ingress_sees_them():
    async def main():
        loop, replies = asyncio.get_running_loop(), asyncio.Queue()
        counter = Counter(seed=3)
        await counter.start()
        client = Client(loop, (HOST, counter.port), 0.3, replies.put_nowait)

        async def restart():
            opened = counter.connections_opened
            counter.restart_from_zero()
            await until(lambda: counter.connections_opened == opened + 4)  # the client's connections are open again

        async def once():
            client.add(7, 1.0, 60.0)
            return await replies.get()

        assert (await once())[1::2] == (Outcome.OK, 1.0)
        counter.lost_answer_fraction = 1.0
        assert (await once()).outcome is Outcome.TIMEOUT and counter.totals() == {"7": 2.0}
        counter.lost_answer_fraction, counter.garbled_answer_fraction = 0.0, 1.0
        assert (await once()).outcome is Outcome.ERROR and counter.totals() == {"7": 3.0}
        counter.garbled_answer_fraction, counter.answers_previous_total = 0.0, True
        assert (await once())[1::2] == (Outcome.OK, 3.0) and counter.totals() == {"7": 4.0}
        counter.answers_previous_total, counter.refusing = False, True
        assert (await once()).outcome is Outcome.FULL and counter.totals() == {"7": 4.0}
        counter.refusing = False
        counter.silence(True)
        assert (await once()).outcome is Outcome.TIMEOUT and counter.totals() == {"7": 4.0}
        counter.silence(False)
        await until(
            lambda: counter.totals() == {"7": 5.0}
        )  # the call had been sent, so it is applied after the silence
        await restart()
        assert (await once())[1::2] == (Outcome.OK, 1.0)
        counter.lifetime_factor = 0.0
        await restart()
        assert [(await once()).total for _ in range(2)] == [1.0, 1.0]  # the counter answers but keeps no total
        client.close()
        await counter.stop()

    run(main())


def test_a_part_serves_its_calls_one_behind_another():
    async def main():
        counter = Counter(per_s=100.0)
        loop = asyncio.get_running_loop()
        await counter.start()
        began = loop.time()
        await asyncio.gather(*(add(counter.port, str(n)) for n in range(10)))
        assert counter.busy_until[0] >= began + 0.1 - 1e-6  # ten calls of 10 ms each, one after another
        assert loop.time() - began >= 0.09  # each call was waited for; timers may fire up to a millisecond early
        await counter.stop()

    run(main())


def test_a_match_server_runs_keyed_requests_once_and_says_what_it_ran():
    async def main():
        clock = Clock()
        keys = IdempotencyKeys(15.0, clock)
        servers = [MatchServer(f"s{n}", capacity=ServerCapacity(work=0.001), keys=keys, clock=clock) for n in range(2)]
        for s in servers:
            await s.start()
        ask = [await Caller.connect(s.port) for s in servers]
        assert (await ask[0].ask(call("r1", "pay")))[2] == b"s0 r1"
        assert (await ask[1].ask(call("r1", "pay")))[0] == 200  # the same key at another server has no effect
        assert [(r.id, r.server) for s in servers for r in s.records.of_kind(Ran)] == [("r1", "s0")]
        clock.now += 16
        await ask[1].ask(call("r2", "pay"))  # after the window the key has an effect again
        assert len(list(servers[1].records.of_kind(Ran))) == 1
        status, headers, body = await ask[0].ask(b"GET /load HTTP/1.1\r\n\r\n")
        assert status == 200 and headers["x-load-report"].encode() == body and b"inflight=0" in body
        assert (await ask[0].ask(b"GET /x HTTP/1.1\r\n\r\n"))[0] == 404
        for s in servers:
            await s.stop()

    run(main())


def test_a_match_servers_queue_cold_start_and_faults():
    async def main():
        clock = Clock()
        capacity = ServerCapacity(cores=1, queue=1, work=0.001, cold=0.25, cold_s=10.0)
        server = MatchServer("s0", capacity=capacity, clock=clock)
        await server.start()
        assert server.speed() == 0.25
        clock.now += 5
        assert server.speed() == pytest.approx(0.625)
        await server.slots.acquire()  # its only core is busy
        first, second = await Caller.connect(server.port), await Caller.connect(server.port)
        first.writer.write(call("r1"))
        await until(lambda: server.waiting == 1)
        status, headers, _ = await second.ask(call("r2"))
        assert (status, headers["x-rejected"]) == (503, "1")
        assert [b.turned_away for b in server.records.of_kind(Began)] == [False, True]
        server.slots.release()
        assert (await first.answer())[0] == 200
        server.error_fraction = 1.0
        assert (await first.ask(call("r3")))[0] == 500
        server.error_fraction, server.reset_fraction = 0.0, 1.0
        first.writer.write(call("r4"))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await first.answer()
        assert [r.id for r in server.records.of_kind(Ran)] == ["r1", "r4"]  # r4 ran before its connection was reset
        server.reset_fraction = 0.0
        server.silence(True)
        second.writer.write(call("r5"))
        await until(lambda: len(list(server.records.of_kind(Began))) == 5)
        assert "r5" not in [r.id for r in server.records.of_kind(Ran)]
        server.silence(False)
        assert (await second.answer())[0] == 200
        server.close_idle()
        assert await second.reader.read() == b""
        await server.stop()
        with pytest.raises(OSError):
            await Caller.connect(server.port)

    run(main())


def test_discovery_is_followed_by_the_ingresss_own_client():
    async def main():
        heard = []
        discovery = Discovery(clock=Clock())
        await discovery.start()
        discovery.put("s0", "127.0.0.1:1")
        follower = Subscriber(asyncio.get_running_loop(), (HOST, discovery.port), 0, heard.append)
        await until(lambda: heard)
        discovery.silence(True)
        discovery.put("s0", "127.0.0.1:1", "DRAINING")
        assert len(heard) == 1
        discovery.silence(False)
        await until(lambda: len(heard) == 2)
        discovery.put("s0", "127.0.0.1:1", "DELETED")
        await until(lambda: len(heard) == 3)
        assert [e.phase for h in heard for e, _ in h.entries] == [Phase.RUNNING, Phase.STOPPING, Phase.DELETED]
        assert [t.status for t in discovery.records.of_kind(Told)] == ["SERVING", "DRAINING", "DELETED"]
        follower.close()
        await discovery.stop()

    run(main())


def test_the_relay_carries_from_the_senders_address_and_loses_by_its_seed():
    async def main():
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for s in socks:
            s.bind((HOST, 0))
            s.setblocking(False)
        loop = asyncio.get_running_loop()
        relay = Relay([s.getsockname() for s in socks], seed=5)
        await relay.start()
        addresses = [(a.split(":")[0], int(a.split(":")[1])) for a in relay.addresses]
        socks[0].sendto(b"hello", addresses[2])
        await loop.sock_recv(socks[2], 0)  # the datagram has arrived
        data, sender = socks[2].recvfrom(100)
        assert data == b"hello" and sender == addresses[0]
        relay.isolate(1, True)
        socks[0].sendto(b"x", addresses[1])
        await until(lambda: relay.lost == 1)
        relay.isolate(1, False)

        def lost(seed):
            fresh = Relay([s.getsockname() for s in socks], seed=seed, loss=0.2)
            fresh.deliver = lambda *a: None
            out = []
            for _ in range(1000):
                before = fresh.lost
                fresh.forward(0, 1, b"x")
                out.append(fresh.lost - before)
            return out

        assert lost(1) == lost(1) != lost(2) and 150 < sum(lost(1)) < 250
        relay.stop()
        for s in socks:
            s.close()

    run(main())
