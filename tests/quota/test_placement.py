"""Several counters: consistent placement of names, failure of one counter, and changes of the set of counters."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter as Tally

import pytest

from standins.counter import Counter
from tests.net.program import FEW, Program, known
from tests.net.sockets import Peer, call, ok, run, until
from tests.quota.test_failures import spread
from tests.quota.world import BASIC, PLUS, World, settings
from thistleusher.net.config import InvalidConfigurationError
from thistleusher.net.counters_file import read_counters
from thistleusher.quota import Placement, bound_of
from thistleusher.quota.bound import Assumptions
from thistleusher.services.counter_group import CounterGroup

ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
RNG = random.Random(5)
NAMES = [RNG.getrandbits(63) for _ in range(3000)]


def test_names_are_spread_evenly_and_alike_in_whatever_order_the_counters_are_given():
    one, other = Placement(ADDRESSES), Placement(ADDRESSES[::-1])
    assert all(one.addresses[one.of(n)] == other.addresses[other.of(n)] for n in NAMES)
    assert all(900 < count < 1100 for count in Tally(one.of(n) for n in NAMES).values())


def test_added_or_removed_counter_moves_only_its_own_names():
    small, large = Placement(ADDRESSES[:2]), Placement(ADDRESSES)
    moved = 0
    for name in NAMES:
        before, after = small.addresses[small.of(name)], large.addresses[large.of(name)]
        assert after in (before, ADDRESSES[2])
        moved += before != after
    assert 900 < moved < 1100


def test_a_lost_counter_costs_its_own_names_only():
    placement = Placement(ADDRESSES)
    w = World(placement=placement)
    w.traffic(3.0, 200.0, spread(), members=60)
    w.counters_by_address[ADDRESSES[1]].silent = True
    w.traffic(10.0, 200.0, spread(), members=60)
    health = [w.gateways[0].counters.by_number[n] for n in range(3)]
    assert health[1].is_down() and not health[0].is_down() and not health[2].is_down()
    assert health[0].call_share == health[2].call_share == 1.0 and health[1].call_share < 1.0
    quota, ceiling = w.excess()
    bound = bound_of(settings(0), PLUS, Assumptions(0.0, 0.01, outage=10.0))
    assert quota <= bound.quota_in_touch and ceiling <= bound.ceiling and w.kept() > 0.8


@pytest.mark.parametrize("after", [ADDRESSES[:1], ADDRESSES[1:], ADDRESSES])
@pytest.mark.parametrize("plan", ["plus", "basic"])
def test_counters_that_are_added_or_taken_out_under_load_stay_within_the_stated_error(after, plan):
    w = World(placement=Placement(ADDRESSES[:2]))
    rate = 40.0 if plan == "plus" else 6.0
    w.traffic(5.0, rate, spread(), plan)
    for addresses in (after, ADDRESSES[:2], after):  # the changes happen within windows, not at their boundaries
        w.place(Placement(addresses))
        w.traffic(3.3, rate, spread(), plan)
    quota, ceiling = w.excess(plan)
    bound = bound_of(settings(0), PLUS if plan == "plus" else BASIC, Assumptions(0.0, 0.01, outage=10.0))
    assert quota <= bound.quota_in_touch and (bound.ceiling is None or ceiling <= bound.ceiling)
    assert w.kept() > 0.7


@pytest.mark.parametrize(
    "text,error",
    [
        ("counters = [", "c.toml: "),
        ("counters = 3", "counters: expected a list"),
        ("counters = []", "one or more"),
        ('counters = ["x"]', "expected host:port"),
        ('counters = ["127.0.0.1:1", "127.0.0.1:1"]', "each once"),
        ('counter = ["127.0.0.1:1"]', "counter: no such key"),
        ("", "counters: expected a list"),
    ],
)
def test_a_file_of_counters_that_cannot_be_used_is_named_with_its_key(tmp_path, text, error):
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(InvalidConfigurationError, match=error):
        read_counters(str(path))
    with pytest.raises(InvalidConfigurationError, match="none"):
        read_counters(str(tmp_path / "none"))


def test_calls_go_to_the_counter_of_their_name_also_after_the_set_has_changed():
    async def main():
        services = [Counter() for _ in range(3)]
        for service in services:
            await service.start()
        addresses = [s.address for s in services]
        replies: asyncio.Queue = asyncio.Queue()
        counters = CounterGroup(asyncio.get_running_loop(), Placement(addresses[:2]), 5.0, replies.put_nowait)

        async def add_all():
            for name in NAMES[:60]:
                counters.add(name, 1.0, 60.0)
            for _ in range(60):
                await replies.get()

        await add_all()
        assert {int(n) for s in services[:2] for n in s.totals()} == set(NAMES[:60]) and not services[2].totals()
        services[0].silence(True)
        # This call is pending while its counter is removed.
        counters.add(next(n for n in NAMES if counters.placement.of(n) == 0), 1.0, 60.0)
        counters.place(Placement(addresses[1:]))
        services[0].silence(False)
        await replies.get()
        await add_all()
        placed = Placement(addresses[1:])
        for number, service in enumerate(services[1:]):
            assert {int(n) for n in service.totals()} >= {n for n in NAMES[:60] if placed.of(n) == number}
        counters.close()
        assert not counters.removed
        for service in services:
            await service.stop()

    run(main())


def test_the_daemon_takes_several_counters_from_the_operators_file_and_follows_it_on_sighup(tmp_path):
    async def main():
        services = [Counter() for _ in range(2)]
        for service in services:
            await service.start()
        backend = await Peer.start(ok(b"fine"))
        path = tmp_path / "counters.toml"
        path.write_text(f'counters = ["{services[0].address}"]')
        program = Program(tmp_path, known=known(backend.port))
        program.args = ("--counters", str(path))
        client = await program.start()
        try:
            assert (await client.ask(call("r1", X_Call_Terms=FEW)))[0] == 200
            assert services[0].calls == 1 and services[1].calls == 0
            path.write_text("counters = 3")
            program.process.send_signal(signal.SIGHUP)
            while b"reload failed, configuration unchanged" not in await program.process.stderr.readline():
                pass
            path.write_text(f'counters = ["{services[1].address}"]')
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: services[1].connections)
            n = 1
            while not services[1].calls:
                n += 1
                assert (await client.ask(call(f"r{n}", X_Call_Terms=FEW)))[0] in (200, 429)
        finally:
            await program.end()
        for service in services:
            await service.stop()

    run(main())
