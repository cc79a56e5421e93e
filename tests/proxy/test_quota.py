"""Rate limits over a fleet on a simulated network: counter and shares together stay within the users' rule."""

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
from thistleusher.proxy.quota import Echo, LocalQuota, RateLimit
from thistleusher.registry.quota_counter import QuotaCounter

RATE = BURST = 100.0
SLACK = 20.0


class Ingress:
    """One incarnation of an ingress."""

    def __init__(self, name, now):
        self.name = name
        self.incarnation = f"{name}/{now}"
        self.quota = LocalQuota(now, SLACK)
        self.quota.set_limits({"t": RateLimit(RATE, BURST)})


class OpenRequest:
    """A request at an ingress that has neither been admitted nor rejected."""

    def __init__(self, ingress):
        self.ingress = ingress
        self.is_open = True


class Fleet:
    """One counter at a time, some ingresses, far more requests than the limit; QUOTA checked over every 5 s."""

    def __init__(self, seed, count=6, rate=400.0):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.now = 100.0
        self.shares: dict[str, float] = {}
        self.counter = None
        self.term = 0
        self.partitions: set[tuple[str, str]] = set()  # from, to
        self.admitted: list[float] = []
        self.ingresses = {f"i{n}": Ingress(f"i{n}", self.clock.now) for n in range(count)}
        self.gap = count / rate
        self.replace_counter()
        for name in self.ingresses:
            self.send_heartbeat(name)
            self.request(name)
        self.persist_shares()

    def replace_counter(self):
        self.term += 1
        self.counter = QuotaCounter(self.clock.now)
        self.counter.configure({"t": (RATE, BURST)}, self.shares)

    def persist_shares(self):
        if self.counter is not None:
            self.shares.update(self.counter.missing_shares(self.clock.now))
            self.counter.configure({"t": (RATE, BURST)}, self.shares)
        self.clock.later(0.1, self.persist_shares)

    def deliver(self, sender, receiver, receive):
        """Send a message, which a partition drops at either end."""
        if (sender, receiver) not in self.partitions:
            delay = 0.01 + 0.05 * self.rng.random()
            self.clock.later(delay, lambda: (sender, receiver) not in self.partitions and receive())

    def send_heartbeat(self, name):
        ingress = self.ingresses[name]
        sent_at, echo = self.clock.now, ingress.quota.echo
        self.deliver(name, "c", lambda: self.echo_heartbeat(ingress, sent_at, echo))
        self.clock.later(HEARTBEAT_S, lambda: self.send_heartbeat(name))

    def echo_heartbeat(self, ingress, sent_at, echo):
        counter = self.counter
        if counter is None:
            return
        own_echo = echo[1] if echo is not None and echo[0] == str(self.term) else None
        counter.record_heartbeat(self.clock.now, ingress.name, ingress.incarnation, own_echo)
        share, new_echo = counter.proxies[ingress.name].share, Echo(str(self.term), self.clock.now)
        self.deliver("c", ingress.name, lambda: ingress.quota.record_echo(self.clock.now, new_echo, sent_at, share))

    def request(self, name):
        request = OpenRequest(self.ingresses[name])
        self.deliver(name, "c", lambda: self.charge(request))
        self.clock.later(VERDICT_WAIT_S, lambda: self.decide_without_verdict(request))
        self.clock.later(max(VERDICT_WAIT_S, LOCAL_QUOTA_FROM_S), lambda: self.decide_without_verdict(request))
        self.clock.later(self.rng.expovariate(1 / self.gap), lambda: self.request(name))

    def charge(self, request):
        if self.counter is not None:
            name = request.ingress.name
            answer = self.counter.charge(self.clock.now, name, "t", 1)
            self.deliver("c", name, lambda: self.decide(request, *answer))

    def decide(self, request, verdict, left, window):
        if not self.may_decide(request):
            return
        request.is_open = False
        now, quota = self.clock.now, request.ingress.quota
        if verdict == DECIDE_LOCALLY:
            quota.not_counted_centrally(now, "t", left)
        else:
            quota.counted_centrally("t")
        if verdict not in (DECIDE_LOCALLY, OVER_LIMIT) or quota.spend(now, "t"):
            self.admitted.append(now)
        if verdict == OVER_LIMIT:
            self.deliver(request.ingress.name, "c", lambda: self.refund(window))

    def decide_without_verdict(self, request):
        if self.may_decide(request) and request.ingress.quota.spend(self.clock.now, "t"):
            request.is_open = False
            self.admitted.append(self.clock.now)

    def may_decide(self, request):
        """Return whether it is undecided, and its ingress has not been restarted since."""
        return request.is_open and self.ingresses[request.ingress.name] is request.ingress

    def refund(self, window):
        if self.counter is not None:
            self.counter.refund(self.clock.now, "t", 1, window)

    def restart(self, name):
        self.ingresses[name] = Ingress(name, self.clock.now)

    def worst(self):
        """Return the most that was admitted within any 5 s, over what the rule allows."""
        times, first, most = sorted(self.admitted), 0, 0
        for n, at in enumerate(times):
            while times[first] <= at - 5.0:
                first += 1
            most = max(most, n - first + 1)
        return most / ((RATE * 5 + BURST) * 1.1 + SLACK)


def test_without_faults_about_a_burst_is_admitted_in_each_window():
    fleet = Fleet(1)
    fleet.clock.run(115.0)
    late = [t for t in fleet.admitted if 108 <= t < 114]
    assert 0.9 <= len(late) / (6 * BURST) <= 1.1 and fleet.worst() <= 1.0


@pytest.mark.parametrize("seed", range(12))
def test_the_rule_holds_while_counters_change_and_ingresses_are_partitioned_and_restarted(seed):
    fleet = Fleet(seed)
    rng = random.Random(seed + 100)
    fleet.clock.run(106.0)
    for _ in range(8):
        what = rng.choice(["die", "partition", "partition in", "partition out", "restart", "restart all", "swap"])
        names = rng.sample(sorted(fleet.ingresses), rng.randint(1, 6))
        if what == "die":
            fleet.counter = None
            fleet.clock.run(fleet.clock.now + rng.random() * 3)
            fleet.replace_counter()
        elif what == "swap":
            fleet.replace_counter()
        elif what.startswith("partition"):
            out = {(n, "c") for n in names if what != "partition in"}
            back = {("c", n) for n in names if what != "partition out"}
            fleet.partitions |= out | back
            fleet.clock.run(fleet.clock.now + rng.random() * 6)
            fleet.partitions -= out | back
        else:
            for name in names if what == "restart" else sorted(fleet.ingresses):
                fleet.restart(name)
        fleet.clock.run(fleet.clock.now + rng.random() * 4)
    assert fleet.worst() <= 1.0


def test_without_a_counter_shares_admit_most_of_the_limit_and_never_more():
    fleet = Fleet(3, rate=70.0)
    fleet.clock.run(106.0)
    fleet.counter = None
    before = len(fleet.admitted)
    fleet.clock.run(112.0)
    assert len(fleet.admitted) - before > 0.75 * 70 * 6
    assert fleet.worst() <= 1.0
    fleet.clock.run(130.0)
    late = [t for t in fleet.admitted if t > 124.0]
    assert late == []  # it does not fail open: a share ends


def test_a_new_incarnation_admits_the_first_request_of_a_small_tenant_at_once():
    quota = LocalQuota(10.0, SLACK, started_at=9.5)
    quota.set_limits({"small": RateLimit(4.0, 4.0)})
    quota.record_echo(10.0, Echo("c", 5.0), 9.9, 0.1)
    assert quota.spend(10.0, "small")  # its part of half of the slack
    assert not quota.spend(10.1, "small")  # and no more of that: 0.1 of 0.42 of 4 a second since its start
    quota.not_counted_centrally(10.1, "small", 1.0)
    assert quota.spend(12.0, "small")  # parts of both buckets together make one


def test_incarnations_that_start_at_once_have_half_of_the_slack_together():
    quotas = [LocalQuota(0.0, SLACK, started_at=0.0) for _ in range(40)]
    for quota in quotas:
        quota.set_limits({"t": RateLimit(0.001, 0.001)})
        quota.record_echo(0.0, Echo("c", 1.0), 0.0, 0.8 / 40)
    assert sum(quota.spend(0.0, "t") for quota in quotas) <= SLACK / 2


def test_an_ingress_without_a_share_admits_nothing():
    quota = LocalQuota(0.0)
    quota.set_limits({"t": RateLimit(RATE, BURST)})
    assert not any(quota.spend(0.1 * n, "t") for n in range(100))
    assert quota.spend(1.0, "unlimited")


def test_a_late_refund_adds_nothing_to_the_next_window():
    counts = QuotaCounter(0.0)
    counts.configure({"t": (10.0, 10.0)}, {"i": 0.1})
    counts.record_heartbeat(0.1, "i", "x", 0.1)
    assert counts.charge(0.5, "i", "t", 1)[0] == DECIDE_LOCALLY  # no window has begun yet
    counts.record_heartbeat(0.9, "i", "x", 0.9)
    counts.proxies["i"].in_contact_since = 0.1
    number = counts.charge(1.0, "i", "t", 1)[2]
    for _ in range(20):
        counts.record_heartbeat(1.0, "i", "x", 1.0)
        counts.charge(1.0, "i", "t", 1)
    counts.record_heartbeat(2.0, "i", "x", 2.0)
    counts.proxies["i"].in_contact_since = 0.1
    verdicts = []
    for _ in range(10):
        counts.refund(2.1, "t", 1, number)
        verdicts.append(counts.charge(2.1, "i", "t", 1)[0])
    assert verdicts.count(0) == 6  # COUNTED_PART of ten, whatever was refunded from the window before


def test_a_share_is_deducted_from_the_count_before_it_may_be_spent_locally():
    assert SHARE_DEDUCTED_S + 0.25 <= LOCAL_QUOTA_FROM_S
    counts = QuotaCounter(0.0)
    counts.configure({"t": (10.0, 10.0)}, {"i": 0.3, "j": 0.3})
    for name in "ij":
        counts.record_heartbeat(1.0, name, "x", 1.0)
    assert counts.countable_part(1.1, 1.05) == 1.0
    counts.record_heartbeat(1.6, "j", "x", 1.6)
    # j was out of touch for a while, and counts anew.
    assert counts.countable_part(1.0 + SHARE_DEDUCTED_S, 1.05) == pytest.approx(0.4)
    assert counts.countable_part(1.7, 1.65) == pytest.approx(0.7)
