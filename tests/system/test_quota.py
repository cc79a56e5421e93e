"""Quotas over a fleet on simulated wires: the counter and the ingresses' shares together stay within the users'
rule."""

import random

import pytest

from simnet.clock import Clock
from thistleusher.common.quota_timing import (
    DECIDE_LOCALLY,
    HEARTBEAT_S,
    LOCAL_QUOTA_FROM_S,
    OVER_LIMIT,
    SHARE_DEDUCTED_S,
    VERDICT_WAIT_S,
)
from thistleusher.proxy.quota import Quota
from thistleusher.registry.quota_counter import QuotaCounter

RATE = BURST = 100.0
SLACK = 20.0


class Ingress:
    def __init__(self, name, now):
        self.name, self.life, self.quota = name, f"{name}/{now}", Quota(now, SLACK)
        self.quota.follow({"t": (RATE, BURST)})


class Fleet:
    """One counter at a time, some ingresses, far more asked than is allowed; QUOTA checked over every 5 s."""

    def __init__(self, seed, count=6, asked=400.0):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.now = 100.0
        self.shares: dict[str, float] = {}
        self.counter = None
        self.term = 0
        self.cuts: set[tuple[str, str]] = set()
        self.let_in: list[float] = []
        self.ingresses = {f"i{n}": Ingress(f"i{n}", self.clock.now) for n in range(count)}
        self.gap = count / asked
        self.take_over()
        for name in self.ingresses:
            self.beat(name)
            self.request(name)
        self.keep()

    def take_over(self):
        self.term += 1
        self.counter = QuotaCounter(self.clock.now)
        self.counter.configure({"t": (RATE, BURST)}, self.shares)

    def keep(self):
        if self.counter is not None:
            self.shares.update(self.counter.missing_shares(self.clock.now))
            self.counter.configure({"t": (RATE, BURST)}, self.shares)
        self.clock.later(0.1, self.keep)

    def way(self, a, b, what):
        if (a, b) not in self.cuts:
            self.clock.later(0.01 + 0.05 * self.rng.random(), lambda: (a, b) not in self.cuts and what())

    def beat(self, name):
        def there(ingress, life, at, echo, term):
            counter = self.counter
            if counter is None:
                return
            mine = echo[1] if echo is not None and echo[0] == str(self.term) else None
            counter.record_heartbeat(self.clock.now, name, life, mine)
            share, now, by = counter.ingresses[name].share, self.clock.now, str(self.term)
            self.way("c", name, lambda: ingress.quota.echoed(self.clock.now, by, at, now, share))

        ingress = self.ingresses[name]
        at, echo, life, term = self.clock.now, ingress.quota.echo, ingress.life, self.term
        self.way(name, "c", lambda: there(ingress, life, at, echo, term))
        self.clock.later(HEARTBEAT_S, lambda: self.beat(name))

    def request(self, name):
        ingress = self.ingresses[name]
        state = {"open": True}

        def decide(verdict, left, number):
            if not state["open"] or self.ingresses[name] is not ingress:
                return
            state["open"] = False
            now = self.clock.now
            if verdict == DECIDE_LOCALLY:
                ingress.quota.uncounted(now, "t", left)
            else:
                ingress.quota.counted("t")
            if verdict in (DECIDE_LOCALLY, OVER_LIMIT):
                if ingress.quota.spend(now, "t"):
                    self.let_in.append(now)
                if verdict == OVER_LIMIT:
                    self.way(name, "c", lambda: self.give_back(name, number))
            else:
                self.let_in.append(now)

        def there():
            if self.counter is not None:
                answer = self.counter.charge(self.clock.now, name, "t", 1)
                self.way("c", name, lambda: decide(*answer))

        def prompt():
            if state["open"] and self.ingresses[name] is ingress and ingress.quota.spend(self.clock.now, "t"):
                state["open"] = False
                self.let_in.append(self.clock.now)

        self.way(name, "c", there)
        self.clock.later(VERDICT_WAIT_S, prompt)
        self.clock.later(max(VERDICT_WAIT_S, LOCAL_QUOTA_FROM_S), prompt)
        self.clock.later(self.rng.expovariate(1 / self.gap), lambda: self.request(name))

    def give_back(self, name, number):
        if self.counter is not None:
            self.counter.refund(self.clock.now, "t", 1, number)

    def restart(self, name):
        self.ingresses[name] = Ingress(name, self.clock.now)

    def worst(self):
        """The most that was let in within any 5 s, over what the rule allows."""
        times, first, most = sorted(self.let_in), 0, 0
        for n, at in enumerate(times):
            while times[first] <= at - 5.0:
                first += 1
            most = max(most, n - first + 1)
        return most / ((RATE * 5 + BURST) * 1.1 + SLACK)


def test_calm_days_give_about_a_burst_a_window():
    fleet = Fleet(1)
    fleet.clock.run(115.0)
    late = [t for t in fleet.let_in if 108 <= t < 114]
    assert 0.9 <= len(late) / (6 * BURST) <= 1.1 and fleet.worst() <= 1.0


@pytest.mark.parametrize("seed", range(12))
def test_the_rule_holds_while_the_counter_changes_ingresses_are_cut_off_and_restarted(seed):
    fleet = Fleet(seed)
    rng = random.Random(seed + 100)
    fleet.clock.run(106.0)
    for _ in range(8):
        what = rng.choice(["die", "cut", "cut in", "cut out", "restart", "restart all", "swap"])
        names = rng.sample(sorted(fleet.ingresses), rng.randint(1, 6))
        if what == "die":
            fleet.counter = None
            fleet.clock.run(fleet.clock.now + rng.random() * 3)
            fleet.take_over()
        elif what == "swap":
            fleet.take_over()
        elif what.startswith("cut"):
            pairs = {(n, "c") for n in names if what != "cut in"} | {("c", n) for n in names if what != "cut out"}
            fleet.cuts |= pairs
            fleet.clock.run(fleet.clock.now + rng.random() * 6)
            fleet.cuts -= pairs
        else:
            for name in names if what == "restart" else sorted(fleet.ingresses):
                fleet.restart(name)
        fleet.clock.run(fleet.clock.now + rng.random() * 4)
    assert fleet.worst() <= 1.0


def test_without_a_counter_shares_still_let_most_in_and_never_more():
    fleet = Fleet(3, asked=70.0)
    fleet.clock.run(106.0)
    fleet.counter = None
    before = len(fleet.let_in)
    fleet.clock.run(112.0)
    assert len(fleet.let_in) - before > 0.75 * 70 * 6
    assert fleet.worst() <= 1.0
    fleet.clock.run(130.0)
    late = [t for t in fleet.let_in if t > 124.0]
    assert late == []  # it does not fail open: a share ends


def test_a_new_life_lets_the_first_of_a_small_tenant_in_at_once():
    quota = Quota(10.0, SLACK, born=9.5)
    quota.follow({"small": (4.0, 4.0)})
    quota.echoed(10.0, "c", 9.9, 5.0, 0.1)
    assert quota.spend(10.0, "small")  # its part of half of the slack
    assert not quota.spend(10.1, "small")  # and no more of that: 0.1 of 0.42 of 4 a second since its birth
    quota.uncounted(10.1, "small", 1.0)
    assert quota.spend(12.0, "small")  # parts of both stores together make one


def test_all_that_begin_at_once_have_half_of_the_slack_together():
    lives = [Quota(0.0, SLACK, born=0.0) for _ in range(40)]
    for quota in lives:
        quota.follow({"t": (0.001, 0.001)})
        quota.echoed(0.0, "c", 0.0, 1.0, 0.8 / 40)
    assert sum(quota.spend(0.0, "t") for quota in lives) <= SLACK / 2


def test_an_ingress_without_a_share_lets_nothing_in():
    quota = Quota(0.0)
    quota.follow({"t": (RATE, BURST)})
    assert not any(quota.spend(0.1 * n, "t") for n in range(100))
    assert quota.spend(1.0, "unlimited")


def test_what_is_given_back_late_makes_no_room_in_the_next_window():
    counts = QuotaCounter(0.0)
    counts.configure({"t": (10.0, 10.0)}, {"i": 0.1})
    counts.record_heartbeat(0.1, "i", "x", 0.1)
    assert counts.charge(0.5, "i", "t", 1)[0] == DECIDE_LOCALLY  # no window has begun yet
    counts.record_heartbeat(0.9, "i", "x", 0.9)
    counts.ingresses["i"].in_contact_since = 0.1
    number = counts.charge(1.0, "i", "t", 1)[2]
    for _ in range(20):
        counts.record_heartbeat(1.0, "i", "x", 1.0)
        counts.charge(1.0, "i", "t", 1)
    counts.record_heartbeat(2.0, "i", "x", 2.0)
    counts.ingresses["i"].in_contact_since = 0.1
    verdicts = []
    for _ in range(10):
        counts.refund(2.1, "t", 1, number)
        verdicts.append(counts.charge(2.1, "i", "t", 1)[0])
    assert verdicts.count(0) == 6  # COUNTED of ten, whatever came back from the window before


def test_a_share_that_may_be_spent_elsewhere_is_off_the_count_first():
    assert SHARE_DEDUCTED_S + 0.25 <= LOCAL_QUOTA_FROM_S
    counts = QuotaCounter(0.0)
    counts.configure({"t": (10.0, 10.0)}, {"i": 0.3, "j": 0.3})
    for name in "ij":
        counts.record_heartbeat(1.0, name, "x", 1.0)
    assert counts.countable_part(1.1, 1.05) == 1.0
    counts.record_heartbeat(1.6, "j", "x", 1.6)
    assert counts.countable_part(1.0 + SHARE_DEDUCTED_S, 1.05) == pytest.approx(
        0.4
    )  # j was out of touch for a while, and counts anew
    assert counts.countable_part(1.7, 1.65) == pytest.approx(0.7)
