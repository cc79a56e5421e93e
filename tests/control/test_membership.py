"""Learners, replacement of voters, and processes that stop."""

import random

import pytest

from tests.control.helpers import (
    current_voters,
    finish_after,
    founded_core,
    machines_by_role,
    put_configuration,
    run_for,
    started_node,
    wait_until,
    wait_until_acknowledged,
)
from thistleusher.control.interface import StoredState
from thistleusher.control.node import ControlNode


def test_new_seeds_are_added_to_those_that_were_known():
    control = started_node("10.0.0.1")
    control.add_seeds(["10.0.9.9"])
    assert {"10.0.0.2", "10.0.0.3", "10.0.9.9"} <= set(control.known_peers())


def test_seeds_are_kept_by_one_that_has_heard_of_nobody():
    control = ControlNode("10.0.9.1", "a", ["10.0.0.1", "10.0.0.2"], StoredState(), 0.0, random.Random(1))
    control.add_seeds(["10.0.9.9"])
    assert control.known_peers() == ["10.0.0.1", "10.0.0.2", "10.0.9.9"]


def test_a_spare_stays_a_learner_until_a_voter_is_gone_and_takes_its_place():
    core = founded_core()
    new = core.add()
    run_for(core, 5.0)
    assert current_voters(core) == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}
    core.remove(core.machines["10.0.0.3"])
    run_for(core, 4.0)
    assert current_voters(core) == {"10.0.0.1", "10.0.0.2", new.address}
    finish_after(core)


def test_a_voter_that_is_silent_with_nobody_to_take_its_place_keeps_its_vote():
    core = founded_core()
    _, _, witness = machines_by_role(core)
    core.end(witness, restart_s=40.0)
    run_for(core, 38.0)
    assert witness.address in current_voters(core)
    finish_after(core)


def test_a_learner_gets_no_vote_before_it_has_the_copy():
    core = founded_core()
    _, _, witness = machines_by_role(core)
    core.remove(witness)
    new = core.add(witness.zone)
    new.disk.stalled_until = core.clock.now + 6.0
    core.extend_fault_period(core.clock.now + 6.0)
    run_for(core, 5.5)
    assert new.address not in current_voters(core)
    run_for(core, 2.0)
    assert new.address in current_voters(core)
    finish_after(core)


@pytest.mark.parametrize("role", [0, 1, 2])
@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("gap", [0.0, 0.2])
def test_two_machines_are_exchanged_one_right_after_the_other(machines, role, gap):
    core = founded_core(machines)
    gone = machines_by_role(core)[role]
    core.remove(gone)
    run_for(core, 2.0)
    core.add(gone.zone)
    number = put_configuration(core)
    run_for(core, core.catch_up_s + gap)
    assert gone.address not in current_voters(core)
    core.remove(core.leader())
    core.change_seeds()
    run_for(core, 1.0)
    core.add()
    core.extend_fault_period(core.clock.now)
    wait_until_acknowledged(core, number, timeout_s=0.1)
    wait_until_acknowledged(core, put_configuration(core), timeout_s=6.0)
    run_for(core, core.catch_up_s + gap)
    core.end(core.leader(), power=True, wipe=True, restart_s=1.0)
    core.operators.read()
    finish_after(core)


@pytest.mark.parametrize("loss", ["kill", "wipe", "gone"])
@pytest.mark.parametrize("machines", [3, 5])
def test_a_loss_right_after_an_exchange(machines, loss):
    core = founded_core(machines)
    core.remove(machines_by_role(core)[1])
    run_for(core, 1.0)
    core.add()
    run_for(core, core.catch_up_s)
    wait_until_acknowledged(core, put_configuration(core), timeout_s=2.0)
    lost = core.leader()
    if loss == "gone":
        core.remove(lost)
        core.extend_fault_period(core.clock.now + 3.0)
        core.clock.later(3.0, core.add)
    else:
        core.end(lost, power=True, wipe=loss == "wipe", restart_s=3.0)
    core.operators.read()
    wait_until_acknowledged(core, put_configuration(core), timeout_s=8.0)
    finish_after(core)


@pytest.mark.parametrize("role", [0, 1, 2])
@pytest.mark.parametrize("machines", [3, 5])
def test_a_member_that_is_stopped_hands_over_its_vote_and_its_copy_first(machines, role):
    core = founded_core(machines)
    old = machines_by_role(core)[role]
    new = core.add(old.zone)
    run_for(core, 1.0)
    core.terminate(old, restart_s=None)
    old.removed = True
    core.change_seeds()
    number = put_configuration(core)
    took = wait_until(core, lambda: old.node is None, timeout_s=6.5)
    assert took < 5.5 and old.address not in current_voters(core) and new.address in current_voters(core)
    assert current_voters(core) <= {m.address for m in core.running()}
    core.extend_fault_period(core.clock.now)
    wait_until_acknowledged(core, number, timeout_s=4.0)
    holders = [core.machines[a] for a in core.leader().node.view.replica_set]
    assert len(holders) == core.tolerance + 1 and all(m.node is not None for m in holders)
    core.end(core.leader(), power=True, wipe=True, restart_s=1.0)
    core.operators.read()
    finish_after(core)


def test_every_machine_and_every_seed_is_exchanged_and_nothing_is_lost():
    core = founded_core()
    for name in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
        core.add()
        run_for(core, 4.0)
        core.remove(core.machines[name])
        core.change_seeds()
        run_for(core, 4.0)
        core.operators.read()
        run_for(core, 1.0)
    assert all(a.startswith("10.0.1.") for a in (*current_voters(core), *core.seeds))
    assert core.operators.last_read.value("config")["v"] == 1
    finish_after(core)


@pytest.mark.parametrize("seed", range(6))
def test_votes_change_in_the_middle_of_a_change(seed):
    core = founded_core(seed=seed)
    core.add()
    run_for(core, 1.0 + 0.1 * seed)
    core.remove(core.machines["10.0.0.1"])
    for _ in range(60):
        put_configuration(core, [m.address for m in core.running()])
        run_for(core, 0.04)
    core.end(core.leader() or core.running()[0], power=True, restart_s=1.0)
    finish_after(core)


@pytest.mark.parametrize("seed", range(4))
def test_a_member_that_was_taken_out_and_returns_has_no_vote_and_moves_no_epoch(seed):
    core = founded_core(seed=seed)
    old = machines_by_role(core)[seed % 3]
    core.remove(old)
    core.add()
    run_for(core, 5.0)
    assert old.address not in current_voters(core)
    epoch = core.leader().node.view.epoch
    old.removed = False
    core.start(old)
    run_for(core, 5.0)
    assert core.leader().node.view.epoch == epoch and old.address not in current_voters(core)
    finish_after(core)


def test_a_voter_that_was_a_candidate_for_long_and_was_replaced_may_vote_again():
    core = founded_core()
    first = core.leader()
    spare = core.add(first.zone)
    for other in core.machines.values():
        if other is not first:
            core.links.partition(first.address, other.address, 12.0)
    core.extend_fault_period(core.clock.now + 12.0)
    run_for(core, 12.0)
    for _ in range(40):
        put_configuration(core, ["10.0.0.2"])
        run_for(core, 0.05)
    assert current_voters(core) == {"10.0.0.2", "10.0.0.3", spare.address}
    assert first.node.promised > core.leader().node.view.epoch  # it has repeatedly been a candidate
    core.remove(core.machines["10.0.0.3"])
    core.change_seeds()
    run_for(core, 4.0)
    assert current_voters(core) == {"10.0.0.2", first.address, spare.address}
    finish_after(core)


def test_copy_holders_become_candidates_in_turn_when_a_leader_steps_down():
    for seed in range(6):
        core = founded_core(5, seed=seed)
        core.terminate(core.leader())
        core.extend_fault_period(core.clock.now + 1.0)
        assert wait_until(core, lambda c=core: c.lease_holder() not in (None, c.machines["10.0.0.1"])) < 0.15


def test_a_voter_that_is_stopped_stays_to_vote_while_there_is_no_leader():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    core.end(first, power=True, restart_s=20.0)
    wait_until(core, lambda: not witness.node._role.guards_leader())  # the replica is about to become a candidate
    core.terminate(witness, restart_s=20.0)
    wait_until(core, lambda: core.lease_holder() is replica, timeout_s=2.0)
    core.extend_fault_period(core.clock.now + 20.0)
    run_for(core, 22.0)
    finish_after(core)


def test_an_exchange_needs_a_majority_of_the_voters_before_it():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    core.links.partition(first.address, replica.address, 12.0)
    core.extend_fault_period(core.clock.now + 12.0)
    new = core.add(replica.zone)
    # By then the witness has voted for the epoch that replaces the replica.
    wait_until(core, lambda: new.disk.position.epoch == 3)
    for machine in (first, new):  # each half of the partition has a copy holder
        for other in (replica, witness):
            core.links.partition(machine.address, other.address, 8.0)
    # The witness wins with the vote of the replica, which is still a voter.
    wait_until(core, lambda: core.lease_holder() is witness, timeout_s=4.0)
    run_for(core, 2.0)  # the rule checker would report two leaders
    finish_after(core)


def test_a_learner_that_restarts_as_it_gets_a_vote_has_lost_nothing():
    core = founded_core()
    first, replica, _ = machines_by_role(core)
    core.remove(replica)
    new = core.add(replica.zone)
    wait_until(core, lambda: new.disk.position.epoch == 3)  # the copy of the epoch in which it becomes a voter
    assert new.disk.view is not None and new.address not in new.disk.view.voters
    core.end(new, restart_s=0.2)
    wait_until(core, lambda: core.lease_holder() is not None and new.address in current_voters(core), timeout_s=6.0)
    finish_after(core)
