"""Quotas and ceilings under each failure of the counter, against the stated bound, in simulated time."""

from __future__ import annotations

import os
import random

import pytest

from tests.quota.world import BASIC, PLUS, TIMEOUT, CounterModel, World, settings
from thistleusher.core import actions, events
from thistleusher.policy import health, usage_replication
from thistleusher.quota import bound
from thistleusher.quota.bound import Assumptions, bound_of

LENGTH = 30.0


def test_bound_uses_the_timeouts_of_the_decision_module():
    assert (bound.DOWN_MISSES, bound.PEER_TIMEOUT_S) == (health.DOWN_MISSES, usage_replication.CONTACT_TIMEOUT_S)


def moving(every):
    """Send all of a customer's traffic to one ingress, another one every `every` seconds."""
    return lambda at: int(at // every) % 3


def spread(seed=3):
    rng = random.Random(seed)
    return lambda at: rng.randrange(3)


def silence(w):
    w.counters[0].silent = True


def refuse_late(w):
    w.counters[0] = CounterModel()
    w.counters[0].counts = w.counters[1].counts
    w.counters[0].delay = 0.2  # longer than the time-out, for one ingress only


def split(w):
    w.split()


def split_and_cut_off(w):
    w.split()
    w.isolated = {0}


def split_in_three(w):
    w.counters = [CounterModel() for _ in range(3)]
    w.isolated = {0, 1, 2}


def replaced(w):
    w.use_counter(CounterModel())


def replaced_twice(w):
    w.use_counter(CounterModel())
    w.at(1.0, lambda: w.use_counter(CounterModel()))


def forgets(w):
    w.counters[0].max_lifetime = 0.3


def loses_replies(w):
    w.counters[0].lose = 0.3


def old_totals(w):
    w.counters[0].old = True


def silent_and_restart(w):
    silence(w)
    w.at(5.0, lambda: w.restart(1))


def silent_and_all_restart(w):
    silence(w)
    for n in range(3):
        w.at(5.0, lambda n=n: w.restart(n))


def silent_and_cut_off(w):
    silence(w)
    w.isolated = {0, 1, 2}


def silent_with_lossy_peers(w):
    silence(w)
    w.loss, w.delay = 0.2, 0.5


def everything(w):
    split(w)
    w.loss, w.delay = 0.2, 0.5
    w.at(4.0, lambda: w.restart(2))
    w.at(8.0, lambda: silence(w))
    w.at(12.0, lambda: w.use_counter(CounterModel()))


FAULTS = [
    silence,
    refuse_late,
    split,
    split_and_cut_off,
    replaced,
    replaced_twice,
    forgets,
    loses_replies,
    old_totals,
    silent_and_restart,
    silent_and_all_restart,
    silent_and_cut_off,
    silent_with_lossy_peers,
    everything,
]


def stated_bound(fault, bound):
    """Return the bound on the excess over the quota that applies to a fault."""
    if fault in (split_and_cut_off, split_in_three, everything):
        return bound.quota_split
    away = (silent_and_restart, silent_and_all_restart, silent_and_cut_off, silent_with_lossy_peers)
    return bound.quota_cut_off if fault in away else bound.quota_in_touch


def run_fault(fault, home, plan, seed=1, length=LENGTH, rate=40.0):
    """Run 10 s without faults, `length` seconds with the fault, and 10 s after recovery; return world and bound."""
    w = World(seed)
    w.traffic(10.0, rate, home, plan)
    good = w.counters[1]
    fault(w)
    w.traffic(length, rate, home, plan)
    w.use_counter(good)
    good.silent, good.lose, good.max_lifetime, good.old = False, 0.0, 0.0, False
    w.loss, w.delay, w.isolated = 0.0, 0.01, set()
    w.traffic(10.0, rate, home, plan)
    lossy = fault in (silent_with_lossy_peers, everything)
    assumed = Assumptions(0.2 if lossy else 0.0, 0.5 if lossy else 0.01, outage=length)
    return w, bound_of(settings(0), PLUS if plan == "plus" else BASIC, assumed)


@pytest.mark.parametrize("home", [moving(2.0), spread()], ids=["moving", "spread"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_plus_member_exceeds_ceiling_and_quota_by_at_most_the_bound(fault, home):
    w, bound = run_fault(fault, home, "plus")
    quota, ceiling = w.excess()
    assert ceiling <= bound.ceiling, (ceiling, bound)
    assert quota <= stated_bound(fault, bound), (quota, bound)
    assert w.kept() > 0.5, w.kept()


def run_worst_case(fault, plan, length=LENGTH, rate=40.0):
    """Run the worst case: the quota is full, the fault begins, and all ingresses get a burst at the same time."""
    w = World()
    for n in range(3):
        w.ask(n, plan=plan)
    w.run(20.0)
    for n in range(3):  # the ingresses exchange messages just before the fault
        w.ask(n, plan=plan)
    w.run(0.15)
    fault(w)
    p = PLUS if plan == "plus" else BASIC
    for _ in range(int(p.burst)):
        for n in range(3):
            w.ask(n, plan=plan, units=1.0)
    w.traffic(length, rate, spread(), plan)
    return w, bound_of(settings(0), p, Assumptions(0.0, 0.01, outage=length))


@pytest.mark.parametrize("fault", [silence, split_in_three], ids=lambda f: f.__name__)
@pytest.mark.parametrize("plan", ["plus", "basic"])
def test_worst_case_approaches_the_bound_without_exceeding_it(fault, plan):
    w, bound = run_worst_case(fault, plan, rate=40.0 if plan == "plus" else 6.0)
    quota, ceiling = w.excess(plan)
    assert stated_bound(fault, bound) / 3 < quota <= stated_bound(fault, bound), (quota, bound)
    if plan == "plus":
        assert ceiling <= bound.ceiling, (ceiling, bound)
        assert fault is silence or ceiling > bound.ceiling / 5, (ceiling, bound)


@pytest.mark.parametrize("home", [moving(2.0), spread()], ids=["moving", "spread"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_basic_member_exceeds_its_quota_by_at_most_the_bound(fault, home):
    w, bound = run_fault(fault, home, "basic", rate=6.0)
    quota, _ = w.excess("basic")
    assert quota <= stated_bound(fault, bound), (quota, bound)
    assert w.kept() > 0.4, w.kept()


def test_member_gets_its_quota_through_any_ingress_while_the_counter_answers():
    for home in (moving(2.0), spread(), lambda at: 1):
        w = World()
        w.traffic(40.0, 40.0, home)
        quota, ceiling = w.excess()
        assert w.kept() > 0.8 and quota < 8.0 and ceiling <= 0.0


def test_counter_replacement_is_detected_and_logged_once():
    w = World()
    while w.now % 2.25 > 0.01 or not w.served:  # stop at an arbitrary time after the first admitted request
        w.traffic(0.01, 40.0, lambda at: 1)
        if w.now > 5100:
            break
    w.traffic(2.0, 30.0, lambda at: 1)
    lost = sum(total for total, until in w.counters[0].counts.values() if until > w.now)
    w.use_counter(CounterModel())
    logs = []
    act = w.act
    w.act = lambda n, a: logs.append(a.text) if isinstance(a, actions.Log) else act(n, a)
    w.traffic(0.5, 30.0, lambda at: 1)
    assert [t for t in logs if "forgets" in t] and lost > 0
    assert len([t for t in logs if "forgets" in t]) == 1  # logged once


def within_a_window(w, seconds=0.6):
    """Advance time until the customer's window stays the same for `seconds`; return the customer at ingress 1."""
    w.run(10.0)
    w.ask(1, units=1.0)
    w.run(0.2)
    c = w.gateways[1].replication.customers[7]
    while c.window_at(w.now) != c.window_at(w.now + seconds) or c.window_at(w.now) == c.window:
        w.run(0.05)
    return c


@pytest.mark.parametrize("counted", [True, False])
def test_unanswered_add_is_repeated_only_if_it_was_not_counted(counted):
    w = World()
    c = within_a_window(w)
    w.counters[1].lose, w.counters[1].silent = float(counted), not counted
    w.ask(1, units=4.0)
    w.run(0.2)
    w.counters[1].lose, w.counters[1].silent = 0.0, False
    for _ in range(3):
        w.ask(1, units=1.0)
        w.run(0.05)
    total, _ = w.counters[1].counts[c.count_name(w.now)]
    assert total + c.pending == pytest.approx(7.0)  # all admitted units are in the count or pending


def test_units_lost_with_a_replaced_counter_are_written_back_once():
    w = World()
    c = within_a_window(w)
    for _ in range(3):
        w.ask(1, units=4.0)
        w.run(0.02)
    w.use_counter(CounterModel())
    for _ in range(3):
        w.ask(1, units=1.0)
        w.run(0.02)
    total, _ = w.counters[1].counts[c.count_name(w.now)]
    assert total + c.pending == pytest.approx(15.0)


def test_simultaneous_bursts_at_all_ingresses_stay_within_the_ceiling_while_the_counter_is_down():
    w = World()
    silence(w)
    w.traffic(20.0, 40.0, spread())
    assert all(g.counters.by_number[0].is_silent(w.now) for g in w.gateways)
    w.run(3.0)  # the quota is full again
    for n in range(3):  # the ingresses exchange messages
        w.ask(n, 0)
    w.run(0.12)
    for _ in range(36):
        for n in range(3):
            w.ask(n, 0)
    w.run(1.0)
    quota, ceiling = w.excess()
    assert quota > 5.0 and ceiling <= 0.0


def test_idle_peers_acknowledge_updates_and_stop_sending_without_them():
    w = World()
    w.traffic(5.0, 20.0, lambda at: 1)
    gateway = w.gateways[1]
    assert gateway.replication.in_contact(w.now, gateway.replication.customers[0], strict=True)
    sent = []
    act = w.act
    w.act = lambda n, a: sent.append(n) if isinstance(a, actions.SendToPeer) else act(n, a)
    w.run(5.0)
    assert len(sent) <= 6  # messages stop when no peer sends notifications


FIRST = 6 * int(os.environ.get("SOAK_SEED", "0"))
SCHEDULES = int(os.environ.get("LEDGER_SCHEDULES", "120"))  # for a longer run: LEDGER_SCHEDULES=5000


@pytest.mark.parametrize("part", range(4))
def test_random_interleavings_of_all_failures_keep_the_bound(part):
    """Loss, delay, restarts, splits, replacement, outages and moves at random times, against one exact bucket."""
    for seed in range(FIRST + part * SCHEDULES // 4, FIRST + (part + 1) * SCHEDULES // 4):
        rng = random.Random(seed)
        plan, rate = (("plus", 40.0), ("basic", 8.0))[seed % 2]
        w = World(seed)
        good = w.counters[0]
        lossy = seed % 3 == 0
        if lossy:
            w.loss, w.delay = 0.2, 0.5

        def cut_off_one(w=w, rng=rng):
            w.isolated = {rng.randrange(3)} if rng.random() < 0.5 else set()

        steps = [
            lambda w=w: silence(w),
            lambda w=w: w.split(),
            lambda w=w: w.use_counter(CounterModel()),
            cut_off_one,
            lambda w=w, good=good: w.use_counter(good),
            lambda w=w: forgets(w),
            lambda w=w: loses_replies(w),
            lambda w=w: old_totals(w),
            lambda w=w, rng=rng: w.restart(rng.randrange(3)),
        ]
        began = w.now
        for _ in range(rng.randint(3, 8)):
            rng.choice(steps)()
            home = rng.choice((moving(rng.choice((0.3, 1.0, 3.0))), spread(seed), lambda at: 1))
            w.traffic(rng.choice((0.2, 1.0, 4.0)), rate, home, plan)
        assumed = Assumptions(0.2 if lossy else 0.0, 0.5 if lossy else 0.01, outage=w.now - began)
        bound = bound_of(settings(0), PLUS if plan == "plus" else BASIC, assumed)
        quota, ceiling = w.excess(plan)
        assert quota <= bound.quota_split, (seed, quota, bound)
        assert bound.ceiling is None or ceiling <= bound.ceiling, (seed, ceiling, bound)
        assert w.slowest <= 2 * TIMEOUT, (seed, w.slowest)


def test_recovery_from_an_outage_adds_at_most_one_counter_call_per_request_for_5000_members():
    w = World(2)
    w.traffic(3.0, 400.0, spread(), "basic", members=5000)
    w.counters[0].silent = True
    w.traffic(5.0, 400.0, spread(), "basic", members=5000)
    w.counters[0].silent = False
    before = w.counters[0].adds
    w.traffic(1.0, 400.0, spread(), "basic", members=5000)
    assert w.slowest <= 2 * TIMEOUT  # the counter's time-out, and the wait for a free slot
    calls = w.counters[0].adds - before
    assert calls <= 450, calls  # at most one call per request: units admitted in the outage are added with them
    quota, _ = w.excess("basic")
    assert quota <= bound_of(settings(0), BASIC, Assumptions(outage=5.0)).quota_cut_off


def test_messages_to_peers_stay_within_the_rate_limit_while_200_members_demand_shares():
    w = World(3)
    w.traffic(3.0, 200.0, spread(), members=200)
    silence(w)
    w.traffic(3.0, 200.0, spread(), members=200)
    received = [0, 0, 0]
    give = w.give

    def counting(n, event, incarnation=None):
        received[n] += isinstance(event, events.PeerMessage)
        give(n, event, incarnation)

    w.give = counting
    w.traffic(5.0, 900.0, moving(0.5), members=200, units=(4.0,))
    assert max(received) <= 5 * settings(0).peer_in_per_s, received
