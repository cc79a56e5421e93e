"""The number of backends that a choice compares."""

from __future__ import annotations

from collections import Counter

from tests.helpers import Ingress, only
from thistleusher.core.actions import Attempt
from thistleusher.core.settings import PlanSettings
from thistleusher.policy import fleet as fleet_module


def test_of_many_backends_a_few_are_looked_at_and_those_that_may_not_be_sent_to_are_never_taken(monkeypatch):
    g = Ingress(backends=200, plans=(PlanSettings("basic", rate=1e6, burst=1e6),))
    fleet = g.gw.fleet
    fleet.slots = 1e6
    resting = {f"b{n}" for n in range(150)}
    for name in resting:
        fleet.backends[name].ejected_until = g.now + 100.0
    looked = []
    monkeypatch.setattr(
        fleet,
        "least_loaded",
        lambda now, f, among, least=fleet.least_loaded: (looked.append(len(among)), least(now, f, among))[1],
    )
    sent = Counter(only(g.ask(), Attempt).backend for _ in range(500))
    assert not resting & set(sent) and len(sent) == 50 and max(sent.values()) <= 14  # 10 on average
    assert sum(looked) / 500 < 2 * fleet_module.SAMPLE_SIZE and max(looked) in (fleet_module.SAMPLE_SIZE, 200)
    for name in set(fleet.backends) - {"b7"}:
        fleet.backends[name].ejected_until = g.now + 100.0
    fleet.backends["b7"].ejected_until = 0.0
    assert only(g.ask(), Attempt).backend == "b7"  # the only eligible backend is found


def test_in_a_small_fleet_the_choice_is_a_look_at_each():
    g = Ingress(backends=fleet_module.FULL_SCAN_MAX)
    g.gw.fleet.rng.sample = None  # fails if a sample is drawn
    assert only(g.ask(), Attempt)
