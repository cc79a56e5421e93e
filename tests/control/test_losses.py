"""Losses of processes, power and disks: no acknowledged change is lost."""

import pytest

from tests.control.helpers import (
    finish_after,
    founded_core,
    machines_by_role,
    put_configuration,
    run_for,
    wait_until,
    wait_until_acknowledged,
)


@pytest.mark.parametrize("how", ["kill", "power", "wipe"])
@pytest.mark.parametrize("after", [0.0, 0.001, 0.004])
def test_the_leader_fails_right_after_an_acknowledgement(how, after):
    core = founded_core()
    wait_until_acknowledged(core, put_configuration(core, [core.leader().address]))
    run_for(core, after)
    core.end(core.leader(), power=how != "kill", wipe=how == "wipe", restart_s=2.0)
    run_for(core, 1.8)
    core.operators.read()
    finish_after(core)


@pytest.mark.parametrize("role", [0, 1, 2])
def test_one_disk_is_lost_while_all_others_lose_power(role):
    core = founded_core()
    wait_until_acknowledged(core, put_configuration(core))
    wiped = machines_by_role(core)[role]
    for machine in core.machines.values():
        core.end(machine, power=True, wipe=machine is wiped, restart_s=0.5 + core.rng.random())
    core.operators.read()
    finish_after(core)


def test_a_wiped_machine_votes_for_nothing_until_the_others_have_sent_their_status():
    core = founded_core()
    _, replica, witness = machines_by_role(core)
    core.end(replica)  # not restarted before the end of the test
    core.end(witness, wipe=True, restart_s=0.5)
    run_for(core, 4.0)
    assert witness.node.state_lost and core.lease_holder() is None  # one voter is no majority
    core.start(replica)
    core.extend_fault_period(core.clock.now)
    finish_after(core)


@pytest.mark.parametrize("order", [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)])
def test_all_are_killed_and_come_back_in_any_order(order):
    core = founded_core()
    roles = machines_by_role(core)
    for at, number in enumerate(order):
        core.end(roles[number], restart_s=0.2 + 0.3 * at)
    core.operators.read()
    finish_after(core)


def test_a_zone_with_two_of_three_machines_loses_power():
    core = founded_core()
    for machine in [m for m in core.machines.values() if m.zone == "a"]:
        core.end(machine, power=True, restart_s=3.0)
    put_configuration(core)
    run_for(core, 2.5)
    assert core.history.acknowledged == 1  # a change on one disk only is not acknowledged
    finish_after(core)
    assert core.history.acknowledged >= 2


def test_a_replica_that_is_lost_is_replaced_and_changes_go_on():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    core.end(replica, power=True, restart_s=30.0)
    run_for(core, 2.0)
    wait_until_acknowledged(core, put_configuration(core, [first.address]), timeout_s=1.0)
    assert core.leader().node.view.replicas == (witness.address,)
    finish_after(core)


def test_five_keep_each_change_on_three_disks_and_bear_the_loss_of_two():
    core = founded_core(5)
    number = put_configuration(core)
    wait_until_acknowledged(core, number)
    holders = [core.machines[a] for a in core.leader().node.view.replica_set]
    assert len(holders) == 3 and len({m.zone for m in holders}) > 1
    assert all(m.disk.item("config")["v"] == number for m in holders)
    # Two of the three copy holders lose their disks, and all machines lose power.
    for machine in core.machines.values():
        core.end(machine, power=True, wipe=machine in holders[:2], restart_s=0.5 + core.rng.random())
    core.operators.read()
    finish_after(core)


def test_a_machine_that_lost_its_state_asks_also_those_that_no_seed_names():
    core = founded_core(5)
    assert "10.0.0.5" not in core.seeds
    core.end(core.machines["10.0.0.3"], wipe=True, power=True, restart_s=0.5)
    run_for(core, 2.0)
    assert not core.machines["10.0.0.3"].node.state_lost
    finish_after(core)


def test_a_voter_that_starts_after_a_vote_request_is_asked_at_once():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    for machine in core.machines.values():
        core.end(machine, restart_s=60.0)
    core.start(first)
    run_for(core, 0.2)  # the machine has requested votes while no other machine was running
    core.start(witness)
    core.start(replica)
    assert wait_until(core, lambda: core.lease_holder() is not None) < 0.1
    core.fault_free_since = core.clock.now
    finish_after(core)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("restart_s", [0.05, 0.3])
def test_a_replica_whose_disk_was_lost_has_its_copy_again_though_no_change_comes(machines, restart_s):
    core = founded_core(machines)
    first, replica, _ = machines_by_role(core)
    core.end(replica, power=True, wipe=True, restart_s=restart_s)
    run_for(core, 3.0)
    holders = [core.machines[a] for a in core.leader().node.view.replica_set]
    assert len(holders) == core.tolerance + 1 and all(m.disk.item("config")["v"] == 1 for m in holders)
    core.end(first, power=True, wipe=True, restart_s=1.0)
    core.operators.read()
    finish_after(core)


def test_a_replica_whose_disk_refused_a_change_has_its_copy_again_though_no_change_comes():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    core.end(witness, restart_s=20.0)
    replica.disk.full_until = core.clock.now + 0.5
    put_configuration(core, [first.address])
    run_for(core, 4.0)
    assert replica.disk.item("config")["v"] == 2
    core.extend_fault_period(core.clock.now)
    finish_after(core)
