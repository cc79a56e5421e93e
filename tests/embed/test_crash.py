"""Tests that quotas hold when the host is killed with 50 requests in flight and restarted."""

from __future__ import annotations

import asyncio
import json
import sys
import time

import pytest

from standins.counter import Counter
from tests.embed.program import crash_settings
from tests.net.sockets import Client, call, closed_port, datagram_addresses, run, until
from thistleusher.core.customer import Customer
from thistleusher.embed import Call, EmbeddedIngress, PeerAddresses

IN_FLIGHT = 50
TERMS = "units=2,spread=2,first=0"


class Program:
    """The host program's process, and the requests that it has reported as run."""

    def __init__(self, config):
        self.config = json.dumps(config)
        self.port = config["port"]
        self.ran: list[str] = []
        self.usage_received = asyncio.Event()

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.embed.program", self.config, stdout=asyncio.subprocess.PIPE
        )
        assert await self.process.stdout.readline() == b"ready\n"
        self.reading = asyncio.create_task(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            if line == b"heard\n":
                self.usage_received.set()
            else:
                self.ran.append(line.decode().split()[1])

    async def kill(self):
        self.process.kill()
        await self.process.wait()
        await self.reading


def test_counts_after_a_crash_equal_the_forwarded_units_and_peers_know_the_usage():
    async def main():
        counter = Counter()
        await counter.start()
        peers = datagram_addresses(2)
        plan = crash_settings(1).plans[0]
        length = plan.burst / plan.rate
        # Sets the clock to the middle of a window, so that no window ends during the test.
        ahead = length / 2 - (time.time() + Customer(7, plan, 0.0).phase) % length
        program = Program({"port": closed_port(), "counter": counter.address, "peers": peers, "ahead": ahead})
        await program.start()
        peer = EmbeddedIngress(
            crash_settings(1),
            counter=counter.address,
            peers=PeerAddresses(peers[1], tuple(peers)),
            clock=lambda: time.time() + ahead,
        )
        await peer.open()
        member = Call(7, "basic", "read", 1.0, spread=2)
        try:
            client = await Client.connect(program.port)
            for n in range(3):  # member 7 uses 6 of its 8 units at the program, and one at the peer
                assert (await client.ask(call(f"early{n}", X_Call_Terms=TERMS, path="/api/0000000000000007")))[0] == 200
            await until(lambda: peer.room(7, "basic") < 2.5)  # the program's usage message has arrived
            async with peer.admit(member):
                pass
            clients = [await Client.connect(program.port) for _ in range(IN_FLIGHT)]
            for n, held_client in enumerate(clients):
                held_client.writer.write(call(f"hold{n}", "once", X_Call_Terms=TERMS, path=f"/api/{100 + n:016x}"))
            await until(lambda: len(program.ran) == 3 + IN_FLIGHT)
            sent_on = 6.0 + 1.0 + 2.0 * IN_FLIGHT
            assert sum(counter.totals().values()) == sent_on
            await program.kill()
            for held_client in clients:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await held_client.answer()
            assert sum(counter.totals().values()) == sent_on

            program.usage_received.clear()
            await program.start()
            client = await Client.connect(program.port)
            async with peer.admit(member):  # makes the peer report the member, which has no units left
                pass
            await program.usage_received.wait()
            calls = counter.calls
            status, headers, _ = await client.ask(call("late", X_Call_Terms=TERMS, path="/api/0000000000000007"))
            assert status == 429 and float(headers["retry-after"]) > 0
            assert counter.calls == calls  # decided from the peer's message, without a counter call
            assert (await client.ask(call("fresh", "once", X_Call_Terms=TERMS, path="/api/0000000000000063")))[0] == 200
            await until(lambda: "fresh" in program.ran)
            assert len(program.ran) == len(set(program.ran)) == 3 + IN_FLIGHT + 1  # none twice, over both incarnations
            assert sum(counter.totals().values()) == sent_on + 1.0 + 2.0
        finally:
            if program.process.returncode is None:
                await program.kill()
            await peer.close()
            await counter.stop()

    run(main())
