"""Tests of the founding of the system, on simulated machines."""

import pytest

from simnet.core.cluster import Cluster
from tests.control.helpers import finish_after, founded_core, machines_by_role


@pytest.mark.parametrize("machines", [3, 5])
def test_all_founders_are_in_the_first_electorate(machines):
    core = founded_core(machines)
    views = {m.node.view.epoch: m.node.view for m in core.machines.values()}
    assert list(views) == [1] and set(views[1].voters) == set(core.machines)
    first, replica, _ = machines_by_role(core)
    assert first.zone != replica.zone


def test_two_machines_that_both_found_the_system_end_in_one_electorate():
    core = Cluster(3)
    core.links.partition("10.0.0.1", "10.0.0.2", 5.0)
    core.links.partition("10.0.0.1", "10.0.0.3", 5.0)
    core.clock.run(5.0)
    assert core.leader() is None  # the first epoch begins only with all seeds
    finish_after(core)
