"""All orders of events in a small world, up to a small depth; `python -m simnet --search` searches deeper."""

import pytest

from simnet.search.explorer import search
from simnet.search.starting_points import STARTING_POINTS
from simnet.search.world import LEARNER
from thistleusher.control.replication import Replication


def test_the_searches_begin_where_they_say():
    worlds = {name: start() for name, start in STARTING_POINTS.items()}
    assert worlds["calm"].acknowledged == 0 and worlds["calm"].lease_holder()
    assert worlds["acknowledged"].acknowledged == 1 and worlds["acknowledged"].lease_holder()
    assert worlds["taking over"].lease_holder() is None
    assert LEARNER in worlds["exchanging"].nodes and worlds["exchanging"].removed


@pytest.mark.parametrize(
    "beginning, depth, least",
    [("calm", 4, 2000), ("acknowledged", 4, 1000), ("taking over", 4, 500), ("exchanging", 4, 500)],
)
def test_no_order_of_events_breaks_a_rule(beginning, depth, least):
    result = search(depth, beginning=beginning)
    assert result.steps is None, (result.violation, result.steps)
    assert result.depth == depth and result.states >= least


def test_the_search_sees_a_change_that_is_answered_before_its_replica_has_it(monkeypatch):
    """If a leader counts a change as replicated before a replica has it, the search finds a violation of LOST."""
    real = Replication.begin_change

    def begin_change_as_replicated(self, leadership, change):
        real(self, leadership, change)
        leadership.pending.on_replicas = set(leadership.view.replicas)

    monkeypatch.setattr(Replication, "begin_change", begin_change_as_replicated)
    result = search(4)
    assert result.steps is not None and "LOST" in result.violation
