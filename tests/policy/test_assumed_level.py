"""The level that an ingress assumes for a customer without known history."""

from __future__ import annotations

import pytest

from tests.helpers import PLAN, Ingress
from tests.policy.rig import serve
from thistleusher.core.customer import Customer
from thistleusher.core.settings import PlanSettings

SLOW = PlanSettings("slow", rate=0.001, burst=8.0)  # windows of more than two hours


@pytest.mark.parametrize("moment", range(200))
@pytest.mark.parametrize("plan", [PLAN, SLOW], ids=lambda p: p.name)
def test_a_newcomer_is_limited_by_the_assumed_level_for_two_seconds_of_a_window_at_most(plan, moment):
    length = plan.burst / plan.rate
    g = Ingress(now=moment / 200 * length + 10 * length - Customer(7, plan, 0.0).phase + 1e-6, plans=(plan,))
    promised = g.gw.headroom(g.now, 7, plan.name)
    sent = 0
    while serve(g, g.ask(plan=plan.name)):
        sent += 1
    assert sent == int(promised)  # the reported headroom matches what is admitted
    assert sent >= 6 and (sent == 8 or moment / 200 * length < 2.0)


def test_a_counter_of_its_own_leaves_nothing_to_assume():
    for moment in range(20):
        g = Ingress(now=1000.0 + moment * PLAN.burst / PLAN.rate / 20, own_counter=True)
        assert g.gw.headroom(g.now, 7, "basic") == 8.0
        assert sum(serve(g, g.ask(width=1)) for _ in range(12)) == 8


def test_a_customer_of_one_ingress_is_known_to_it_after_two_windows():
    g = Ingress(now=1000.0)
    g.now += 2.1 * PLAN.burst / PLAN.rate
    assert sum(serve(g, g.ask(width=1)) for _ in range(12)) == 8
    g.now += 100.0
    assert g.gw.headroom(g.now, 7, "basic") == 8.0
    assert sum(serve(g, g.ask(width=1)) for _ in range(12)) == 8


def test_an_old_customer_who_comes_back_is_promised_what_is_served():
    for moment in range(40):
        g = Ingress(now=1000.0)
        serve(g, g.ask())
        g.now += 17.0 + moment / 10
        promised = g.gw.headroom(g.now, 7, "basic")
        sent = 0
        while serve(g, g.ask()):
            sent += 1
        assert sent == int(promised + 1e-9), (moment, promised)
