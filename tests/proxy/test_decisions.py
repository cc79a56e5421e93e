"""The decision module, event by event: charges, backend selection, and retries by variant, route and budget."""

import random

import pytest

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_shares import ShareInterval
from thistleusher.common.quota_timing import ALLOWED, LOCAL_QUOTA_FROM_S, OVER_LIMIT, RESERVE_FILL_S, VERDICT_TIMEOUT_S
from thistleusher.common.record_reader import read_record
from thistleusher.configuration.index import RouteMatch
from thistleusher.configuration.records import Configuration
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.placement import ListedBackend
from thistleusher.proxy.quota import Echo
from thistleusher.proxy.requests import ChargeAnswered, ChargeTenant, RequestContext
from thistleusher.proxy.routing import allowed_regions

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
            "far": {
                "hostname": "h",
                "path_prefix": "/f/",
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
    """A decision module with a manual clock, and backends in this region and in another one."""

    def __init__(self, near=3, far=2):
        self.now = 100.0
        self.decisions = Decisions("me", "z1", "near", Bounds(retry_slack=58), random.Random(1), self.now)
        self.decisions.apply_proxies(["me"])
        self.decisions.apply_configuration(self.now, CONFIG)
        self.backends = {}
        for k in range(near):
            self.add_backend(f"n{k}", "z1", "near")
        for k in range(far):
            self.add_backend(f"f{k}", "z9", "far")
        self.decisions.apply_backends(self.now, self.backends)
        self.decisions.quota.record_echo(self.now, Echo("c", 5.0), self.now - 0.1, 0.1)
        self.count = 0

    def add_backend(self, name, zone, region, **more):
        self.backends[name] = ListedBackend(name, "s", ("127.0.0.1", 1), zone, region, 6, False, **more)

    def do(self, event, after=0.0):
        self.now += after
        return self.decisions.handle(self.now, event)

    def ask(self, route="pure", tenant="free"):
        self.count += 1
        name = f"r{self.count}"
        self.decisions.announce(name, RequestContext(RouteMatch(route, CONFIG.routes[route]), tenant))
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
    assert [a for a in acts if not isinstance(a, actions.SetTimer)] == [ChargeTenant(name, "t", 1)]
    assert kinds(rig.do(ChargeAnswered(name, ALLOWED, 0.5, 3))) == [actions.Attempt]


@pytest.mark.parametrize(
    "outcome, refunded", [(Outcome.MOOT, True), (Outcome.CONNECT_FAILED, True), (Outcome.CANCELLED, False)]
)
def test_a_client_that_leaves_is_charged_for_what_may_have_run_alone(outcome, refunded):
    rig = Rig()
    name, _ = rig.ask(tenant="t")
    sent = rig.do(ChargeAnswered(name, ALLOWED, 0.5, 3))
    budget = rig.decisions.retries.budget_of("s")
    assert not kinds(rig.do(events.ClientGone(name)))  # its attempt is still in flight
    acts = rig.end(name, sent, outcome, done=True)
    assert [a for a in acts if isinstance(a, ChargeTenant)] == [ChargeTenant(name, "t", -1, 3)] * refunded
    assert not rig.decisions.requests and not budget.retries and len(budget.requests) == 1


def test_a_client_that_leaves_before_its_verdict_or_its_place_is_refunded_at_once():
    rig = Rig(near=0, far=0)
    name, _ = rig.ask(tenant="t")
    assert kinds(rig.do(events.ClientGone(name))) == [ChargeTenant]
    assert not kinds(rig.do(ChargeAnswered(name, ALLOWED, 0.5, 3)))
    name, _ = rig.ask(tenant="t")
    assert not kinds(rig.do(ChargeAnswered(name, ALLOWED, 0.5, 3)))  # there is no backend
    assert kinds(rig.do(events.ClientGone(name))) == [ChargeTenant]
    rig.add_backend("n0", "z1", "near")
    rig.decisions.apply_backends(rig.now, rig.backends)
    assert not kinds(rig.do(events.TimerFired(1), 0.05)) and not rig.decisions.requests


def test_a_request_that_no_region_may_serve_is_rejected_at_once_and_not_charged():
    rig = Rig()
    assert kinds(rig.ask("far", tenant="nowhere")[1]) == [actions.Refuse]


def test_of_equally_good_backends_the_one_of_this_zone_is_selected_unless_it_is_busier():
    rig = Rig(near=1, far=0)
    rig.add_backend("z2a", "z2", "near")
    rig.add_backend("z2b", "z2", "near")
    rig.decisions.apply_backends(rig.now, rig.backends)
    first, second = (attempt(rig.ask()[1]).backend for _ in range(2))
    assert first == "n0" and second != "n0"


def test_over_the_limit_a_request_is_rejected_at_once_and_its_charge_refunded():
    rig = Rig()
    rig.decisions.quota.started_at, rig.decisions.quota.slack = rig.now, 0.0  # its own share admits nothing
    name, _ = rig.ask(tenant="t")
    refund, rejection = [
        a for a in rig.do(ChargeAnswered(name, OVER_LIMIT, 0.5, 3)) if not isinstance(a, actions.SetTimer)
    ]
    assert refund == ChargeTenant(name, "t", -1, 3)
    assert isinstance(rejection, actions.Refuse) and 0.5 <= rejection.retry_in <= 1.0


def test_a_missing_verdict_admits_nothing_and_a_late_one_changes_nothing():
    rig = Rig()
    # The proxy has a share, but its bucket has had no time to fill.
    rig.decisions.quota.started_at, rig.decisions.quota.slack = rig.now, 0.0
    name, _ = rig.ask(tenant="t")
    assert kinds(rig.do(events.TimerFired(1), VERDICT_TIMEOUT_S + 0.01)) == []  # no verdict, no share: waits
    acts = rig.do(events.TimerFired(1), LOCAL_QUOTA_FROM_S)
    assert kinds(acts) == [ChargeTenant, actions.Refuse] and acts[1].retry_in == 0.0  # rejected, not admitted
    assert kinds(rig.do(ChargeAnswered(name, ALLOWED, 0.5))) == []


def test_without_a_verdict_the_reserve_decides():
    rig = Rig()
    rig.now += RESERVE_FILL_S
    rig.decisions.quota.interval = ShareInterval(0.0, 0.5)
    rig.decisions.quota.record_echo(rig.now, Echo("c", 5.0), rig.now - 0.1, 0.5)
    name, _ = rig.ask(tenant="t")
    acts = rig.do(events.TimerFired(1), VERDICT_TIMEOUT_S + 0.01)
    assert kinds(acts) == [ChargeTenant, actions.Attempt]
    assert acts[0] == ChargeTenant(name, "t", -1)  # the charge is refunded, as the reserve has admitted the request
    assert kinds(rig.do(ChargeAnswered(name, OVER_LIMIT, 0.5))) == []


@pytest.mark.parametrize(
    "route, outcome, then",
    [
        ("pure", Outcome.CONNECT_FAILED, actions.Attempt),  # before any byte was sent
        ("effect", Outcome.CONNECT_FAILED, actions.Attempt),
        ("pure", Outcome.RESET, actions.Attempt),  # after the last byte of the request
        ("effect", Outcome.RESET, actions.Fail),
        ("pure", Outcome.FULL, actions.Attempt),  # proof that it has not run
        ("effect", Outcome.FULL, actions.Attempt),
        ("pure", Outcome.ERROR, actions.Attempt),
        ("effect", Outcome.ERROR, actions.Fail),
        ("pure", Outcome.TIMEOUT, actions.Attempt),
        ("effect", Outcome.TIMEOUT, actions.Fail),
    ],
)
def test_what_follows_an_attempt_depends_on_the_variant(route, outcome, then):
    rig = Rig()
    name, acts = rig.ask(route)
    first = attempt(acts).backend
    acts = rig.end(name, acts, outcome)
    assert then in kinds(acts)
    if then is actions.Attempt:
        assert attempt(acts).backend != first


def test_the_route_bounds_the_attempts_that_reach_a_backend():
    rig = Rig()
    name, acts = rig.ask("effect")
    acts = rig.end(name, acts, Outcome.FULL)
    acts = rig.end(name, acts, Outcome.FULL)
    assert kinds(acts) == [actions.Refuse]  # it certainly has not run


def test_this_region_comes_first_and_only_allowed_regions_are_selected():
    rig = Rig()
    assert all(attempt(rig.ask()[1]).backend.startswith("n") for _ in range(20))
    assert all(attempt(rig.ask("far")[1]).backend.startswith("f") for _ in range(20))
    name, acts = rig.ask("far", "nowhere")  # route and tenant have no region in common
    assert kinds(acts) == [actions.Refuse]
    assert allowed_regions((), ()) is None and allowed_regions(("a", "b"), ("b",)) == {"b"}


def test_an_evacuated_zone_gets_nothing_and_warms_up_when_restored():
    rig = Rig()
    rig.decisions.apply_evacuations(rig.now, {"z1"})
    assert all(attempt(rig.ask()[1]).backend.startswith("f") for _ in range(20))
    rig.decisions.apply_evacuations(rig.now, set())
    sent = [attempt(rig.ask()[1]) for _ in range(200)]
    near = [a for a in sent if a is not None and a.backend.startswith("n")]
    assert 0 < len(near) <= 3 * (12 * 1.5 + 5)  # slow-start limit for one second, with this proxy as the only one
    rig.decisions.apply_evacuations(rig.now, {"z1", "z9"})
    _, acts = rig.ask()
    assert attempt(acts) is None


def test_a_draining_and_a_misdirected_backend_get_nothing():
    rig = Rig(near=2, far=0)
    rig.backends["n0"].draining = True
    rig.decisions.apply_backends(rig.now, dict(rig.backends))
    assert all(attempt(rig.ask()[1]).backend == "n1" for _ in range(10))
    rig.decisions.mark_misdirected("n1")  # as after an answer with status 421 from its address
    assert attempt(rig.ask()[1]) is None
    rig.add_backend("n2", "z1", "near")
    rig.decisions.apply_backends(rig.now, dict(rig.backends))
    assert attempt(rig.ask()[1]).backend == "n2"


def test_requests_of_a_removed_route_are_finished():
    rig = Rig()
    name, acts = rig.ask()
    rig.decisions.apply_configuration(rig.now, CONFIG._replace(routes={}))
    assert actions.Attempt in kinds(rig.end(name, acts, Outcome.RESET))


def test_repeatable_requests_at_a_silent_backend_are_cancelled():
    rig = Rig()
    names = {}
    for _ in range(6):
        name, acts = rig.ask()
        names[name] = attempt(acts).backend
    asked = [a for n in range(60) for a in rig.do(events.TimerFired(1), 0.05) if isinstance(a, actions.CancelAttempt)]
    assert {a.request for a in asked} <= names.keys() and asked


def test_a_request_at_a_silent_backend_stays_where_no_other_backend_would_take_it():
    rig = Rig(near=1, far=0)
    rig.ask()
    acts = [a for n in range(60) for a in rig.do(events.TimerFired(1), 0.05)]
    assert not any(isinstance(a, actions.CancelAttempt) for a in acts)
