"""Requests of customers during two outages with a pause between them, over sockets, with a simulated clock."""

from __future__ import annotations

import pytest

from standins.counter import Counter
from tests.net.program import SETTINGS, in_process
from tests.net.sockets import Client, Peer, call, datagram_addresses, ok, run

SHARED = {
    **SETTINGS,
    "balancers": 3,
    "extra": {**SETTINGS["extra"], "counterTimeout": 0.05},
    "limits": {**SETTINGS["limits"], "peers": True},
}
RETENTION_S = 24.0  # three epochs of 2 x 8 / 2 s, after which an escrow table evicts an idle allowance


@pytest.mark.parametrize("pause", [1.0, RETENTION_S - 0.1, RETENTION_S + 0.1, 3 * RETENTION_S])
def test_requests_are_served_in_two_outages_separated_by_a_pause(pause):
    async def main():
        clock, backend, counter = [1000.0], await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        here, *others = datagram_addresses(3)
        async with in_process(
            backend, counter, lambda: clock[0], settings=SHARED, peer_listen=here, peers=[here, *others]
        ) as (daemon, port):
            client = await Client.connect(port)

            async def ask(name, member):
                terms = "units=1,spread=3,first=0"
                return (await client.ask(call(name, path=f"/api/{member:016x}", X_Call_Terms=terms)))[0]

            counter.silence(True)
            assert [await ask(f"a{n}", n) for n in range(3)] == [200] * 3
            counter.silence(False)
            clock[0] += 0.1
            assert await ask("b", 9) == 200  # the counter answers again: the outage is over
            clock[0] += pause
            counter.silence(True)
            assert [await ask(f"c{n}", n % 3) for n in range(6)] == [200] * 6  # each customer's share is 8 / 3 units
            assert await ask("d", 0) in (200, 503)  # beyond the share a request may be rejected, but must not fail
            held = daemon.gateway.replication.escrow.allowances
            assert {c for _, c in held} <= {0, 1, 2, 9} and len(held) >= 3
        counter.silence(False)
        await counter.stop()

    run(main())
