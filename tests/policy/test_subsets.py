"""Each ingress's subset of many backends: evenly spread, larger for busier ingresses, without ejected backends."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from tests.helpers import PLAN, SAFE, Ingress, some
from thistleusher.core import actions, events
from thistleusher.core.events import BackendEntry, ListKind, Phase
from thistleusher.core.settings import Settings
from thistleusher.policy.fleet import FULL_SCAN_MAX, SUBSET_MIN, Fleet


def subset_of(me: int, instances: int = 200, backends: int = 100, rate: float = 0.0) -> Fleet:
    settings = Settings(classes=(SAFE,), plans=(PLAN,), instances=instances, me=me)
    fleet = Fleet(settings, random.Random(me), [], 100.0)
    fleet.apply_list_update(
        100.0,
        events.ListUpdate(
            ListKind.WHOLE,
            1,
            tuple(BackendEntry(f"b{n}", Phase.RUNNING) for n in random.Random(me).sample(range(backends), backends)),
        ),
    )
    fleet.rate = rate
    fleet.recompute_subset(100.0)
    return fleet


def names(fleet: Fleet) -> list[str]:
    return [b.entry.backend for b in fleet.subset]


@pytest.mark.parametrize("instances,backends", [(200, 100), (200, 200), (60, 60), (24, 30)])
def test_subsets_lie_evenly_over_the_backends_in_whatever_order_the_list_comes(instances, backends):
    met = Counter(name for me in range(instances) for name in names(subset_of(me, instances, backends)))
    assert len(met) == backends and max(met.values()) <= 1.2 * min(met.values()) + 1


def test_a_busier_ingress_has_a_larger_subset_and_a_single_one_has_all():
    assert len(subset_of(3).subset) == SUBSET_MIN
    assert len(subset_of(3, rate=0.2).subset) == 60  # 20 attempts per second
    assert len(subset_of(0, instances=1).subset) == 100 == len(subset_of(3, rate=9.0).subset)


def test_an_ejected_backend_is_replaced_in_the_subset_and_returns_for_its_trial():
    fleet = subset_of(3)
    before = names(fleet)
    fleet.backends[before[0]].ejected_until = 103.0
    fleet.recompute_subset(100.0)
    assert before[0] not in names(fleet) and len(fleet.subset) == SUBSET_MIN and set(before[1:]) < set(names(fleet))
    fleet.recompute_subset(103.0)
    assert names(fleet) == before


def test_an_ingress_uses_its_subset_and_goes_beyond_it_where_no_backend_there_may_be_sent_to():
    g = Ingress(backends=100, instances=200, me=7, peers=False)
    sent: set[str] = set()
    for n in range(60):
        for a in some(g.ask(customer=n), actions.Attempt):
            sent.add(a.backend)
            g.end(a, elapsed=0.32)  # the typical latency
        g.now += 0.01
    own = set(names(g.gw.fleet))
    assert sent <= own and len(sent) > SUBSET_MIN / 2
    for name in own:
        g.gw.fleet.backends[name].ejected_until = g.now + 9.0
    [a] = some(g.ask(customer=99), actions.Attempt)
    assert a.backend not in own


def test_a_new_list_changes_a_subset_by_few():
    fleet = subset_of(3)
    before = set(names(fleet))
    fleet.apply_list_update(101.0, events.ListUpdate(ListKind.CHANGE, 2, (BackendEntry("new", Phase.RUNNING),)))
    fleet.recompute_subset(101.0)
    assert len(before - set(names(fleet))) <= 2


def test_the_sum_of_all_cold_budgets_does_not_grow_by_subsets():
    whole, near = subset_of(3, backends=FULL_SCAN_MAX), subset_of(3, rate=0.05)
    assert whole.subset_factor() == 1.0
    members = 200 * len(near.subset) / 100  # mean number of ingresses whose subset contains a given backend
    assert members * near.subset_factor() == pytest.approx(200.0)
