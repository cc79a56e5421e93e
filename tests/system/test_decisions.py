"""What the proxy decides, event by event: charged first, near first, further tries by variant, route and budget."""

import random

import pytest

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_timing import ALLOWED, LOCAL_QUOTA_FROM_S, OVER_LIMIT, VERDICT_WAIT_S
from thistleusher.common.record_reader import read_record
from thistleusher.configuration.index import RouteMatch
from thistleusher.configuration.records import Configuration
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome
from thistleusher.proxy.budgets import Colds, Tries
from thistleusher.proxy.decisions import Asked, Charge, Counted, Decisions
from thistleusher.proxy.directory import addresses
from thistleusher.proxy.placement import Place, homes_of

CONFIG = read_record(
    Configuration,
    {
        "version": "00000001",
        "routes": {
            "pure": {
                "hostname": "h",
                "path_prefix": "/p/",
                "variant": "pure",
                "deadline_ms": 3000,
                "target_ms": 800,
                "target": "s",
                "tries": 2,
            },
            "effect": {
                "hostname": "h",
                "path_prefix": "/e/",
                "variant": "effectful",
                "deadline_ms": 3000,
                "target_ms": 800,
                "target": "s",
                "tries": 2,
            },
            "homed": {
                "hostname": "h",
                "path_prefix": "/h/",
                "variant": "pure",
                "deadline_ms": 3000,
                "target_ms": 800,
                "target": "s",
                "tries": 2,
                "regions_allowed": ["far"],
            },
        },
        "services": {"s": {"warmup_s": 3.0, "cold_per_s": 12.0, "max_conns": 100}},
        "tenants": {"t": {"rate_per_s": 10, "burst": 10}, "free": {}, "nowhere": {"regions_allowed": ["near"]}},
    },
)


class Rig:
    """Decisions with a clock, and backends near and far."""

    def __init__(self, near=3, far=2):
        self.now = 100.0
        self.d = Decisions("me", "z1", "near", Bounds(retry_slack=58), random.Random(1), self.now)
        self.d.ingresses = ["me"]
        self.d.configured(self.now, CONFIG)
        self.places = {}
        for k in range(near):
            self.place(f"n{k}", "z1", "near")
        for k in range(far):
            self.place(f"f{k}", "z9", "far")
        self.d.listed(self.now, self.places)
        self.d.quota.echoed(self.now, "c", self.now - 0.1, 5.0, 0.1)
        self.count = 0

    def place(self, name, zone, region, **more):
        self.places[name] = Place(name, "s", ("127.0.0.1", 1), zone, region, 6, False, **more)

    def do(self, event, after=0.0):
        self.now += after
        return self.d.handle(self.now, event)

    def ask(self, route="pure", tenant="free"):
        self.count += 1
        name = f"r{self.count}"
        self.d.expect(name, Asked(RouteMatch(route, CONFIG.routes[route]), tenant))
        return name, self.do(events.Request(name, route, "all", 0, 2.9, 1.0))

    def end(self, name, acts, outcome, done=False):
        sent = attempt(acts)
        return self.do(events.AttemptEnded(name, 0, sent.backend, outcome, 0.1, done), 0.1)


def attempt(acts):
    return next((a for a in acts if isinstance(a, actions.Attempt)), None)


def kinds(acts):
    return [type(a) for a in acts if not isinstance(a, actions.SetTimer | actions.Log)]


def test_a_request_is_charged_before_it_is_sent():
    rig = Rig()
    name, acts = rig.ask(tenant="t")
    assert [a for a in acts if not isinstance(a, actions.SetTimer)] == [Charge(name, "t", 1)]
    assert kinds(rig.do(Counted(name, ALLOWED, 0.5, 3))) == [actions.Attempt]


def test_one_that_no_region_may_serve_is_refused_at_once_and_not_charged():
    rig = Rig()
    assert kinds(rig.ask("homed", tenant="nowhere")[1]) == [actions.Refuse]


def test_of_two_that_are_as_good_the_one_of_this_zone_is_taken_and_a_busier_one_is_not():
    rig = Rig(near=1, far=0)
    rig.place("z2a", "z2", "near")
    rig.place("z2b", "z2", "near")
    rig.d.listed(rig.now, rig.places)
    first, second = (attempt(rig.ask()[1]).backend for _ in range(2))
    assert first == "n0" and second != "n0"


def test_over_the_allowance_it_is_refused_at_once_and_the_charge_given_back():
    rig = Rig()
    rig.d.quota.born, rig.d.quota.slack = rig.now, 0.0  # nothing of its own is left
    name, _ = rig.ask(tenant="t")
    back, refused = [a for a in rig.do(Counted(name, OVER_LIMIT, 0.5, 3)) if not isinstance(a, actions.SetTimer)]
    assert back == Charge(name, "t", -1, 3)
    assert isinstance(refused, actions.Refuse) and 0.5 <= refused.retry_in <= 1.0


def test_no_verdict_never_opens_and_a_late_one_changes_nothing():
    rig = Rig()
    rig.d.quota.born, rig.d.quota.slack = rig.now, 0.0  # a standing share that has had no time to fill
    name, _ = rig.ask(tenant="t")
    assert kinds(rig.do(events.TimerFired(1), VERDICT_WAIT_S + 0.01)) == []  # no answer, no share: it waits
    acts = rig.do(events.TimerFired(1), LOCAL_QUOTA_FROM_S)
    assert kinds(acts) == [Charge, actions.Refuse] and acts[1].retry_in == 0.0  # and is refused, not let in
    assert kinds(rig.do(Counted(name, ALLOWED, 0.5))) == []


def test_without_a_verdict_the_standing_share_decides():
    rig = Rig()
    rig.now += 10.0
    rig.d.quota.echoed(rig.now, "c", rig.now - 0.1, 5.0, 0.5)
    name, _ = rig.ask(tenant="t")
    acts = rig.do(events.TimerFired(1), VERDICT_WAIT_S + 0.01)
    assert kinds(acts) == [Charge, actions.Attempt] and acts[0] == Charge(name, "t", -1)  # it needs its charge no more
    assert kinds(rig.do(Counted(name, OVER_LIMIT, 0.5))) == []


@pytest.mark.parametrize(
    "route, outcome, then",
    [
        ("pure", Outcome.CONNECT_FAILED, actions.Attempt),  # before anything was sent
        ("effect", Outcome.CONNECT_FAILED, actions.Attempt),
        ("pure", Outcome.RESET, actions.Attempt),  # after its last byte
        ("effect", Outcome.RESET, actions.Fail),
        ("pure", Outcome.FULL, actions.Attempt),  # proof that it has not run
        ("effect", Outcome.FULL, actions.Attempt),
        ("pure", Outcome.ERROR, actions.Attempt),
        ("effect", Outcome.ERROR, actions.Fail),
        ("pure", Outcome.TIMEOUT, actions.Attempt),
        ("effect", Outcome.TIMEOUT, actions.Fail),
    ],
)
def test_what_follows_an_attempt_goes_by_variant(route, outcome, then):
    rig = Rig()
    name, acts = rig.ask(route)
    first = attempt(acts).backend
    acts = rig.end(name, acts, outcome)
    assert then in kinds(acts)
    if then is actions.Attempt:
        assert attempt(acts).backend != first


def test_tries_bound_the_backends_that_one_request_reaches():
    rig = Rig()
    name, acts = rig.ask("effect")
    acts = rig.end(name, acts, Outcome.FULL)
    acts = rig.end(name, acts, Outcome.FULL)
    assert kinds(acts) == [actions.Refuse]  # it surely has not run


def test_near_first_and_home_always():
    rig = Rig()
    assert all(attempt(rig.ask()[1]).backend.startswith("n") for _ in range(20))
    assert all(attempt(rig.ask("homed")[1]).backend.startswith("f") for _ in range(20))
    name, acts = rig.ask("homed", "nowhere")  # route and tenant have no region in common
    assert kinds(acts) == [actions.Refuse]
    assert homes_of((), ()) is None and homes_of(("a", "b"), ("b",)) == {"b"}


def test_an_evacuated_zone_gets_nothing_and_comes_back_cold():
    rig = Rig()
    rig.d.evacuated(rig.now, {"z1"})
    assert all(attempt(rig.ask()[1]).backend.startswith("f") for _ in range(20))
    rig.d.evacuated(rig.now, set())
    sent = [attempt(rig.ask()[1]) for _ in range(200)]
    near = [a for a in sent if a is not None and a.backend.startswith("n")]
    assert 0 < len(near) <= 3 * (12 * 1.5 + 5)  # within a second, by one ingress of one
    rig.d.evacuated(rig.now, {"z1", "z9"})
    _, acts = rig.ask()
    assert attempt(acts) is None


def test_a_draining_backend_and_a_stranger_get_nothing():
    rig = Rig(near=2, far=0)
    rig.places["n0"].draining = True
    rig.d.listed(rig.now, dict(rig.places))
    assert all(attempt(rig.ask()[1]).backend == "n1" for _ in range(10))
    rig.d.stranger("n1")  # a 421 has come from its address
    assert attempt(rig.ask()[1]) is None
    rig.place("n2", "z1", "near")
    rig.d.listed(rig.now, dict(rig.places))
    assert attempt(rig.ask()[1]).backend == "n2"


def test_a_route_that_is_gone_still_ends_its_requests():
    rig = Rig()
    name, acts = rig.ask()
    rig.d.configured(rig.now, CONFIG._replace(routes={}))
    assert actions.Attempt in kinds(rig.end(name, acts, Outcome.RESET))


def test_a_silent_backend_loses_what_may_be_repeated():
    rig = Rig()
    names = {}
    for _ in range(6):
        name, acts = rig.ask()
        names[name] = attempt(acts).backend
    asked = [a for n in range(60) for a in rig.do(events.TimerFired(1), 0.05) if isinstance(a, actions.CancelAttempt)]
    assert {a.request for a in asked} <= names.keys() and asked


def test_a_silent_backend_keeps_its_request_where_no_other_would_take_it():
    rig = Rig(near=1, far=0)
    rig.ask()
    acts = [a for n in range(60) for a in rig.do(events.TimerFired(1), 0.05)]
    assert not any(isinstance(a, actions.CancelAttempt) for a in acts)


def test_all_proxies_together_stay_within_the_budget_of_further_tries():
    """Half of a service has crashed: nine proxies see nothing but failures and would try each request again."""
    rng = random.Random(3)
    proxies = [Tries(0.2, 58.0, 10.0) for _ in range(9)]
    requests, again, now = [], [], 0.0
    while now < 60.0:
        now += rng.expovariate(200.0)
        proxy = rng.choice(proxies)
        proxy.came(now)
        requests.append(now)
        if rng.random() < 0.5 and proxy.may(now, 9):
            proxy.spend(now)
            again.append(now)
    for end in range(10, 60):
        spent = sum(end - 10 < t <= end for t in again)
        assert spent <= 0.2 * sum(end - 10 < t <= end for t in requests) + 58
    assert len(again) > 0.1 * len(requests)


@pytest.mark.parametrize("count", [3, 9, 86])
def test_a_cold_backend_gets_no_more_than_it_bears_from_all_proxies_together(count):
    names = [f"p{k}" for k in range(count)]
    colds = [Colds(name, 1.5, 5.0) for name in names]
    rng, now, sent = random.Random(count), 0.0, []
    while now < 20.0:
        now += 0.001
        proxy = rng.choice(colds)
        if proxy.may(now, "b", 12.0, names):
            proxy.spend(now, "b")
            sent.append(now)
    for n, at in enumerate(sent):
        assert sum(1 for t in sent[n : n + 60] if t < at + 1.0) <= 12 * 1.5 + 5
    assert len(sent) > 20 * 8  # and it is not starved


def test_clients_are_sent_to_ingresses_of_their_region_that_are_up():
    members = {
        n: {"front": f"{n}:1", "region": r, "zone": "z", "up": up}
        for n, r, up in (("a", "k", True), ("b", "k", False), ("c", "l", True), ("d", "k", True))
    }
    assert addresses(members, set(), "k", "z") == ["a:1", "d:1"]
    assert addresses(members, {"a"}, "k", "z") == ["d:1"]
    assert addresses(members, {"a", "d"}, "k", "z") == ["c:1"]  # the region is away
    assert len(addresses({"b": members["b"]}, set(), "k", "z")) == 1  # somewhat old beats none
