"""Expected work of requests, learned from units and answer times, and its use in the choice of a backend."""

from __future__ import annotations

import random

import pytest

from tests.helpers import Ingress, only, some
from thistleusher.core import actions, events
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import PlanSettings
from thistleusher.core.work_model import MAX_WORK, MIN_ANSWERS, MIN_WORK, WorkModel


def learned(time_of, units=(1.0, 2.0, 6.0), answers=300, seed=3):
    """Return the model of a class whose answers took `time_of(units)` seconds, with random variation of 50%."""
    rng, work = random.Random(seed), WorkModel()
    for _ in range(answers):
        u = rng.choice(units)
        work.update(u, time_of(u) * rng.uniform(0.5, 1.5))
    return work


def test_work_in_proportion_to_units_is_learned():
    work = learned(lambda u: 0.05 * u)
    assert 3.0 < work.expected(6.0) / work.expected(1.0) < 8.0
    assert work.expected(1.0) < 1 < work.expected(6.0)


def test_units_that_say_nothing_leave_all_requests_alike():
    work = learned(lambda u: 0.1, answers=3000)
    assert work.expected(6.0) == pytest.approx(1.0, abs=0.25) and work.expected(1.0) == pytest.approx(1.0, abs=0.25)


def test_longer_answers_to_smaller_requests_do_not_turn_the_order():
    assert learned(lambda u: 1 / u).expected(6.0) == 1.0


def test_nothing_is_concluded_from_a_few_answers_or_from_one_size():
    work = learned(lambda u: 0.05 * u, answers=MIN_ANSWERS - 1)
    assert work.expected(6.0) == 1.0
    assert learned(lambda u: 0.1, units=(2.0,)).expected(6.0) == 1.0


def test_it_stays_within_bounds_and_follows_a_change():
    work = learned(lambda u: 0.001 if u < 6 else 1.0)
    assert work.expected(1e9) == MAX_WORK and work.expected(0.0) >= MIN_WORK
    for _ in range(400):
        work.update(1.0, 0.1)
        work.update(6.0, 0.1)
    assert work.expected(6.0) == pytest.approx(1.0, abs=0.05)


def trained(backends=2, **more):
    """Return an ingress that has seen answers whose time is proportional to units."""
    g = Ingress(backends=backends, plans=(PlanSettings("basic", rate=1e6, burst=1e6),), **more)
    for n in range(4 * MIN_ANSWERS):
        units = 1.0 + 5 * (n % 2)
        g.end(only(g.ask("read", units=units), actions.Attempt), elapsed=0.05 * units)
    return g


def test_a_backend_with_one_large_request_is_passed_over_for_one_with_two_small_ones():
    g = trained()
    large = only(g.ask("read", units=6.0), actions.Attempt)
    small = [only(g.ask("read", units=1.0), actions.Attempt) for _ in range(3)]
    assert all(a.backend != large.backend for a in small)


def test_a_large_request_does_not_make_its_backend_count_as_silent():
    g = trained()
    large = only(g.ask("read", units=6.0), actions.Attempt)
    g.beat(8 * 0.05 * 3.5 - 0.2)  # longer than eight answers to a small request take
    assert not [a for a in g.log if isinstance(a, actions.Log) and "silent" in a.text]
    g.beat(4.0)
    assert [a for a in g.log if isinstance(a, actions.Log) and f"{large.backend}: silent" in a.text]


def test_work_out_goes_back_to_nothing_whatever_the_ends():
    g = trained(backends=3)
    outs = [only(g.ask("once", units=1.0 + n % 6), actions.Attempt) for n in range(5)]
    for a, outcome in zip(outs, Outcome, strict=False):
        for again in some(g.end(a, outcome, done=outcome is not Outcome.FULL), actions.Attempt):
            g.end(again, n=1)
    assert g.gw.fleet.backends.outstanding == 0 and g.gw.fleet.backends.load == 0.0
    assert all(b.work == 0.0 and not b.outstanding for b in g.gw.fleet.backends.values())


@pytest.mark.parametrize("units,at_once", [(1.0, 2), (6.0, 1)])
def test_a_cold_backend_is_spared_by_work_and_not_by_requests(units, at_once):
    """Slow-start tokens are in units of mean work: one large request uses them up, two small ones do not."""
    g = trained(backends=3, start_capacity=0.2, cold_time=1e6)
    g.give(
        events.ListUpdate(
            ListKind.CHANGE,
            2,
            (
                BackendEntry("b2", Phase.RUNNING, born=g.now, zone="z0", cell=2),
                *(BackendEntry(name, Phase.STOPPING) for name in ("b0", "b1")),
            ),
        )
    )
    g.gw.fleet.backends["b2"].tokens = 1.5
    sent = [a for _ in range(2) for a in some(g.ask("read", units=units), actions.Attempt)]
    assert [a.backend for a in sent] == ["b2"] * at_once
