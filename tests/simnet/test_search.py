"""Every order of events in a small world, to a small depth; deeper by `python -m simnet --search`."""

import pytest

from simnet.search.search import BEGINNINGS, LEARNER, search
from thistleusher.control.leader import Leading


def test_the_searches_begin_where_they_say():
    worlds = {name: begin() for name, begin in BEGINNINGS.items()}
    assert worlds["calm"].acknowledged == 0 and worlds["calm"].leader()
    assert worlds["acknowledged"].acknowledged == 1 and worlds["acknowledged"].leader()
    assert worlds["taking over"].leader() is None
    assert LEARNER in worlds["exchanging"].nodes and worlds["exchanging"].gone


@pytest.mark.parametrize(
    "beginning, depth, least",
    [("calm", 4, 2000), ("acknowledged", 4, 1000), ("taking over", 4, 500), ("exchanging", 4, 500)],
)
def test_no_order_of_events_breaks_a_rule(beginning, depth, least):
    found = search(depth, beginning=beginning)
    assert found.steps is None, (found.why, found.steps)
    assert found.depth == depth and found.states >= least


def test_the_search_sees_a_change_that_is_answered_before_its_replica_has_it(monkeypatch):
    real = Leading._begin_change

    def hasty(self, leadership, change):
        real(self, leadership, change)
        leadership.pending.there = set(leadership.view.replicas)

    monkeypatch.setattr(Leading, "_begin_change", hasty)
    found = search(4)
    assert found.steps is not None and "LOST" in found.why
