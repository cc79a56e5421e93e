"""Tests of the founding of the system, on simulated machines."""

import pytest

from simnet.core import founding_days
from simnet.core.cluster import Cluster
from simnet.errors import RuleViolationError
from tests.control.helpers import finish_after, founded_core, machines_by_role
from thistleusher.control.joining import Joining

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


@pytest.mark.parametrize("machines", [3, 5])
def test_all_founders_are_in_the_first_electorate(machines):
    core = founded_core(machines)
    views = {m.node.view.epoch: m.node.view for m in core.machines.values()}
    assert list(views) == [1] and set(views[1].voters) == set(core.machines)
    first, replica, _ = machines_by_role(core)
    assert first.zone != replica.zone


def test_two_groups_of_founders_end_in_one_electorate():
    core = Cluster(seed=3)
    core.links.partition("10.0.0.1", "10.0.0.2", 7.0)
    core.links.partition("10.0.0.1", "10.0.0.3", 7.0)
    core.clock.run(6.5)
    first = core.machines["10.0.0.1"].node
    assert first.founding and first.leadership is None  # one seed of three founds nothing
    view = core.leader().node.view
    assert view.epoch >= 1 and view.leader != "10.0.0.1" and set(view.voters) == set(SEEDS)
    finish_after(core)
    assert core.machines["10.0.0.1"].node.view.epoch >= 1


@pytest.mark.parametrize("address", SEEDS)
@pytest.mark.parametrize("at", [0.05, 0.15, 0.3, 0.6, 1.0, 1.15, 1.2, 1.201, 1.203, 1.205, 1.21, 1.22, 1.25, 2.0])
@pytest.mark.parametrize("signal", ["SIGKILL", "SIGTERM"])
def test_a_founder_that_starts_again_does_not_stop_the_founding(address, at, signal):
    core = Cluster(seed=3)
    machine = core.machines[address]
    end = core.end if signal == "SIGKILL" else core.terminate
    core.clock.at(at, lambda: end(machine, restart_s=1.0))
    core.clock.run(at + 1.0 + 7.0)
    assert core.leader() is not None
    finish_after(core)


def test_a_founder_that_is_killed_between_its_promise_and_the_record_of_the_view_does_not_stop_the_founding():
    core = Cluster(seed=3)
    machines = core.machines.values()
    while not any(machine.disk.promised for machine in machines):
        core.clock.run(core.clock.now + 0.0001)
    assert all(machine.disk.view is None for machine in machines)
    for machine in machines:
        core.end(machine, restart_s=0.5)
    core.clock.run(core.clock.now + 8.0)
    assert core.leader() is not None
    finish_after(core)


@pytest.mark.parametrize("restart_s", [0.3, 60.0])
def test_a_founder_whose_disk_is_lost_is_not_counted_as_a_founder(restart_s):
    core = Cluster(seed=3)
    core.clock.run(0.5)
    for address in SEEDS[:2]:
        core.end(core.machines[address], power=True, wipe=True, restart_s=restart_s)
    core.clock.run(15.0)
    assert core.leader() is None and core.machines["10.0.0.3"].node.view.epoch == 0


def test_machines_that_were_not_heard_at_the_founding_become_voters_with_their_zones():
    core = Cluster(1, machines=5)
    core.rules.may_grow = True
    for address in ("10.0.0.3", "10.0.0.4", "10.0.0.5"):
        core.end(core.machines[address], restart_s=4.0)
    core.clock.run(3.9)
    assert set(core.leader().node.view.voters) == set(SEEDS)
    finish_after(core, 12.0)
    assert core.leader().node.view.voters == {name: machine.zone for name, machine in core.machines.items()}


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_drawn_foundings_break_no_rule(first):
    for seed in range(first, first + 10):
        founding_days.run(seed)


def test_the_checker_sees_founders_that_wait_for_all_seeds(monkeypatch):
    """If a candidate needs every seed, a killed founder keeps the system from being founded, and the days show it."""
    monkeypatch.setattr(Joining, "founding", property(lambda self: False))
    with pytest.raises(RuleViolationError):
        for seed in range(10):
            founding_days.run(seed)
