"""How a fleet, and an ingress that comes back, begin: with the counter silent, against the bound."""

from __future__ import annotations

import math
import os
import random

import pytest

from tests.quota.test_escrow import PLUS as TERMS
from tests.quota.test_escrow import START, Set
from tests.quota.world import BASIC, PLUS, TIMEOUT, World, settings
from thistleusher.core import actions
from thistleusher.quota.bound import Assumed, bound_of
from thistleusher.quota.escrow import GIVE_MARK, HEAD, epoch_length
from thistleusher.quota.incarnations import FORGET_S, HELLO, HELLO_MARK, JOINT_MS, Incarnations

FIRST = 6 * int(os.environ.get("SOAK_SEED", "0"))
SCHEDULES = int(os.environ.get("LEDGER_SCHEDULES", "120"))
EPOCH = epoch_length(TERMS)
SECONDS = 5.0
AT_ONCE = (0.0, 0.02, 0.05)


def begun(offsets, moment=0.0, plan="plus", rate=70.0, members=20, seconds=SECONDS, skews=(), seed=3):
    """A fleet whose counter is silent from the first request; one member in five asks far beyond its quota."""
    w = World(seed, len(offsets), 5000.0 + moment, offsets=offsets, skews=skews)
    w.counters[0].silent = True
    ask_for(w, seconds, plan, rate, members, seed)
    return w


def ask_for(w, seconds, plan="plus", rate=70.0, members=20, seed=3, units=(1.0, 2.0, 4.0)):
    """Requests at random ingresses of those that are up by then."""
    rng, t = random.Random(seed), 0.0
    while (t := t + rng.expovariate(rate)) < seconds:
        member = rng.randrange(members) if rng.random() < 0.8 else 0
        u, d = rng.choice(units), rng.random()
        w.at(t, lambda m=member, u=u, d=d: w.ask(up(w, d), m, plan, u))
    w.run(seconds)


def up(w, drawn):
    there = [n for n, g in enumerate(w.gateways) if g is not None]
    return there[int(drawn * len(there))] if there else 0


def refused(w):
    """Share of the tries that came with half of the quota unused and were not sent on."""
    return len(w.room_for) / w.asked


def within(w, plan="plus", joint=0, assumed=None):
    """No member has more than is stated, for so many joint restarts."""
    p = PLUS if plan == "plus" else BASIC
    b = bound_of(settings(0, w.instances), p, assumed or Assumed(0.0, 0.01, outage=SECONDS))
    quota, ceiling = w.beyond(plan)
    assert quota <= b.quota_cut_off + joint * b.quota_restart, (quota, b)
    if b.ceiling is not None:
        assert ceiling <= b.ceiling + joint * b.ceiling_restart, (ceiling, b)
    return quota, ceiling


# A joint start.


@pytest.mark.parametrize("moment", range(50))
def test_a_fleet_that_starts_together_serves_at_every_moment_of_an_epoch(moment):
    offsets = (AT_ONCE, tuple(n / 100 for n in range(6)))[moment % 2]
    w = begun(offsets, moment * epoch_length(TERMS) / 50, rate=23.0 * len(offsets))
    assert refused(w) < 0.03 and w.fair > 300, refused(w)
    within(w)


@pytest.mark.parametrize("moment", range(0, 50, 7))
def test_quotas_without_a_ceiling_too(moment):
    w = begun(AT_ONCE, moment * epoch_length(TERMS) / 50, "basic", 12.0)
    assert refused(w) < 0.03 and w.served > 30
    within(w, "basic")


@pytest.mark.parametrize(
    "offsets,most",
    [
        ((0.0, 1.0, 3.0), 0.25),
        ((0.0, 0.02, 60.0), 0.25),
        ((0.0, 0.02, math.inf), 0.25),
        ((0.0, 0.5, 1.0, 2.0, 2.5, 3.0), 0.4),
    ],
    ids=["within 3 s", "a minute later", "never", "six"],
)
@pytest.mark.parametrize("plan", ["plus", "basic"])
def test_who_waits_for_others_serves_part_at_once_and_all_after_the_epoch(offsets, most, plan):
    w = begun(offsets, 1.3, plan, 70.0 if plan == "plus" else 12.0)
    assert refused(w) < most + 0.1 * (plan == "basic"), refused(w)
    w.room_for.clear()
    w.asked = 0
    w.run(20.0)  # the stores are full again
    ask_for(w, SECONDS, plan, 70.0 if plan == "plus" else 12.0, seed=4)
    assert refused(w) < (0.25 if plan == "basic" and max(offsets) > 9 else 0.1), refused(w)  # one of three is away
    within(w, plan)


def test_clocks_half_a_second_apart_and_a_lossy_network():
    for moment in range(10):
        w = World(moment, 3, 5000.0 + moment / 2, offsets=AT_ONCE, skews=(0.0, 0.5, 0.25))
        w.counters[0].silent = True
        w.loss, w.delay = 0.2, 0.5
        ask_for(w, SECONDS)
        within(w, assumed=Assumed(0.2, 0.5, skew=0.5, outage=SECONDS))
        assert refused(w) < 0.35, refused(w)  # a greeting and its answer take half a second here, and a gift as long


# Restarts.


@pytest.mark.parametrize("down", [0.1, 1.0])
@pytest.mark.parametrize("times", [1, 3])
def test_all_killed_at_once_with_their_shares_spent(down, times):
    w = World(7)
    w.counters[0].silent = True
    ask_for(w, 6.0, members=1, rate=120.0)  # the quota is spent
    for _ in range(times):
        for n in range(3):
            w.kill(n)
        w.run(down)
        for n in range(3):
            w.restart(n)
        before = w.served
        ask_for(w, 0.6, members=1, rate=120.0)
        assert w.served - before > 4  # served again, and not after an epoch
    w.run(1.0)
    ask_for(w, 3.0, members=1, rate=120.0)
    within(w, joint=times)


def test_whoever_restarts_alone_gets_nothing_more_and_is_served_after_a_round_trip():
    w = World(8)
    w.counters[0].silent = True
    ask_for(w, 8.0, members=1, rate=60.0)
    _, before = w.beyond()
    for _ in range(25):  # every 200 ms
        w.kill(1)
        w.restart(1)
        w.traffic(0.2, 60.0, lambda at: 1)
    quota, ceiling = w.beyond()
    assert ceiling <= max(0.0, before), (ceiling, before)
    assert w.kept() > 0.6, w.kept()
    within(w)


def test_a_restart_costs_a_member_one_round_trip():
    w = World(9)
    w.counters[0].silent = True
    ask_for(w, 5.0, members=1, rate=20.0, units=(1.0,))
    w.run(3.0)
    w.kill(1)
    w.run(0.5)
    w.restart(1)
    w.run(0.1)
    served = w.served
    w.ask(1, 0, units=4.0)  # its call has no answer, and its room is empty: it asks for peers'
    w.run(TIMEOUT + 0.03)
    w.ask(1, 0, units=4.0)
    w.run(TIMEOUT + 0.03)
    assert w.served - served >= 1


def test_planned_restarts_one_after_another_keep_touch_and_shares():
    w = World(10)
    ask_for(w, 4.0, members=4, rate=40.0)
    for n in range(3):
        w.leave(n)
        others = [g for g in w.gateways if g is not None]
        w.run(0.05)
        for g in others:  # one that has ended in order is not out of touch
            c = g.replication.customers[0]
            assert (
                g.replication.in_touch(w.now + 1.5, c, strict=True)
                or g.replication.last_heard[(n + 1) % 3] < w.now + 0.5
            )
            assert g.replication.escrow.has_shut_down(n)
        ask_for(w, 2.0, members=4, rate=40.0)
        w.restart(n)
        w.run(0.1)
        assert not any(g.replication.escrow.has_shut_down(n) for g in others)
        ask_for(w, 2.0, members=4, rate=40.0)
    assert refused(w) < 0.03
    within(w)


def test_who_ends_in_order_writes_back_what_no_count_holds_and_hands_over_its_shares():
    w = World(11)
    w.counters[0].silent = True
    for _ in range(12):
        w.ask(1, 0, units=2.0)
        w.run(0.1)
    told = []
    act = w.act
    w.act = lambda n, a: (told.append(a) if n == 1 else None, act(n, a))
    pending = w.gateways[1].replication.customers[0].pending
    share = w.gateways[1].replication.escrow.allowances[1, 0].share
    w.counters[0].silent = False
    w.leave(1)
    added = [a.amount for a in told if isinstance(a, actions.CounterAdd)]
    assert pending > 10.0 and added == [pytest.approx(pending)]
    w.run(0.1)
    book = {g.replication.escrow.me: g.replication.escrow.allowances.get((1, 0)) for g in w.gateways if g is not None}
    gained = sum(a.taken.get(1, (0, 0))[0] for a in book.values() if a is not None)
    assert 0 < gained < share and [a for a in told if isinstance(a, actions.SendToPeer) and a.payload[:1] == GIVE_MARK]


@pytest.mark.parametrize("part", range(4))
def test_random_lives_keep_the_bound(part):
    """Kills, orderly ends and starts at random moments of an outage, over lossy datagrams, of 2 to 6 ingresses."""
    for seed in range(FIRST + part * SCHEDULES // 4, FIRST + (part + 1) * SCHEDULES // 4):
        rng = random.Random(seed)
        count, plan = rng.randint(2, 6), ("plus", "basic")[seed % 2]
        w = World(seed, count, 5000.0 + 10 * rng.random())
        lossy = seed % 3 == 0
        if lossy:
            w.loss, w.delay = 0.2, 0.5
        w.counters[0].silent = rng.random() < 0.8
        joint, ends, began = 0, 0, w.now
        for _ in range(rng.randint(4, 14)):
            n = rng.randrange(count)
            if w.gateways[n] is None:
                w.restart(n)
            elif rng.random() < 0.2:
                w.leave(n)
            else:
                w.kill(n)
                if rng.random() < 0.5:
                    w.restart(n)
            ends += w.gateways[n] is None or w.life[n] > 1
            joint += not any(w.gateways)
            ask_for(w, rng.choice((0.05, 0.3, 1.0)), plan, rng.choice((20.0, 80.0)), rng.choice((1, 3)), seed)
        # Who begins while greetings are lost may be one of those that begin together once more.
        joint = ends if lossy else joint
        assumed = Assumed(0.2 if lossy else 0.0, 0.5 if lossy else 0.01, outage=w.now - began)
        try:
            within(w, plan, joint + (ends if plan == "basic" else 0), assumed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


# Greetings.


def test_two_lives_heard_in_the_wrong_order():
    s = Set(TERMS)
    s.now = START - START % EPOCH + EPOCH + 1.0
    while s.ask(1, 4.0):
        pass
    s.settle()
    s.ask(0, 4.0)
    s.now += 0.06
    while s.ask(2, 4.0):
        pass
    wants = [m for m in s.wire if m[0] == 2 and m[1] == 1]
    s.wire = wants
    s.deliver(0)
    late = [m for m in s.wire if m[0] == 1]  # what the earlier life of 1 gave
    assert late and late[0][2][:1] == GIVE_MARK
    s.wire = []
    s.now += 0.01
    s.restart(1)
    s.settle()
    a = s.nodes[2].allowances[0, 7]
    before = a.share, a.room
    s.wire = late
    s.settle()
    assert (a.share, a.room) == before  # it was told to nobody that it had been taken
    assert 1 in s.nodes[2].lives.earlier


def lives_of(count, began):
    return [Incarnations(count, n, at, 6.0) for n, at in enumerate(began)]


def greet(lives, now, lost=()):
    """All that is due and its answers go out; greetings from or to `lost` do not come."""
    wire = [(sender.me, peer, m) for sender in lives for peer, m in sender.greetings(now)]
    sent = 0
    while wire:
        sender, peer, message = wire.pop(0)
        sent += 1
        if not {sender, peer} & set(lost):
            answer = lives[peer].heard(now, sender, message)
            if answer is not None:
                wire.append((peer, sender, answer))
    return sent


def test_all_are_settled_after_one_exchange_and_then_silent():
    lives = lives_of(5, [100.0, 100.01, 100.02, 100.03, 100.04])
    greet(lives, 100.1)
    everybody = tuple(range(5))
    assert all(x.young(everybody) and x.greet_in(100.2) is None for x in lives)
    assert greet(lives, 101.0) == 0


def test_one_that_never_comes_is_greeted_less_and_less_and_not_for_ever():
    lives = lives_of(3, [100.0] * 3)
    sent, now = 0, 100.0
    while (wait := lives[0].greet_in(now)) is not None:
        sent += greet(lives[:1], now, lost=(1, 2))
        now += wait
    assert 40 < sent < 100 and now < 109.0 and not lives[0].young((0, 1, 2)) and lives[0].young((0,))


def test_a_life_that_a_peer_has_followed_is_not_young_again():
    lives = lives_of(3, [100.0] * 3)
    greet(lives, 100.0)
    lives[1] = Incarnations(3, 1, 101.0, 6.0)
    greet(lives, 101.0)
    assert lives[1].known and not lives[1].young((0, 1, 2)) and lives[0].young((0, 1, 2))
    for n in (0, 2):  # through the whole fleet, one overlapping the other
        lives[n] = Incarnations(3, n, 102.0 + n, 6.0)
        greet(lives, 102.0 + n)
        assert not lives[n].young((0, 1, 2))
    lives = lives_of(3, [200.0, 200.0, 200.0 + 2 * JOINT_MS / 1000])  # the last begins long after the others
    greet(lives[:2] + [Incarnations(3, 2, 0.0, 6.0)], 200.0, lost=(2,))
    greet(lives, 215.0)
    assert not lives[2].young((0, 1, 2)) and lives[0].young((0, 1, 2))


def test_an_earlier_name_is_listened_to_once_the_later_one_has_long_been_silent():
    a = Incarnations(2, 0, 100.0, 6.0)
    late, early = Incarnations(2, 1, 100.0, 6.0), Incarnations(2, 1, 40.0, 6.0)  # its clock was put back
    assert a.heard(100.0, 1, late.hello(100.0, 0)) is not None
    assert a.heard(101.0, 1, early.hello(101.0, 0)) is None and a.lives[1] == late.life
    assert a.heard(101.0 + FORGET_S, 1, early.hello(111.0, 0)) is not None and a.lives[1] == early.life


@pytest.mark.parametrize(
    "payload",
    [
        HELLO_MARK,
        HELLO_MARK + bytes(3),
        HELLO_MARK + HELLO.pack(5, 0, 0, 0),
        HELLO_MARK + HELLO.pack(5, 0, 9, 0),
        HELLO_MARK + bytes(HELLO.size + 1),
        GIVE_MARK + bytes(HEAD - 2),
    ],
)
def test_greetings_that_cannot_be_used_change_nothing(payload):
    node = Set(TERMS).nodes[0]
    assert node.receive(START, 1, payload) == [] and not node.lives.clean and node.lives.origin == node.lives.life
    assert node.receive(START, 0, HELLO_MARK + HELLO.pack(5, 0, 5, 0)) == []  # its own
