"""Learners, exchanges of voters, and processes that stop."""

import random

import pytest

from tests.control.helpers import acknowledged, by_role, calm, end, node, put, run_for, voters, wait
from thistleusher.control.interface import StoredState
from thistleusher.control.node import ControlNode


def test_new_seeds_are_added_to_those_that_were_known():
    control = node("10.0.0.1")
    control.add_seeds(["10.0.9.9"])
    assert {"10.0.0.2", "10.0.0.3", "10.0.9.9"} <= set(control.known_peers())


def test_seeds_are_kept_by_one_that_has_heard_of_nobody():
    control = ControlNode("10.0.9.1", "a", ["10.0.0.1", "10.0.0.2"], False, StoredState(), 0.0, random.Random(1))
    control.add_seeds(["10.0.9.9"])
    assert control.known_peers() == ["10.0.0.1", "10.0.0.2", "10.0.9.9"]


def test_a_spare_stays_a_learner_until_a_voter_is_gone_and_takes_its_place():
    core = calm()
    new = core.add()
    run_for(core, 5.0)
    assert voters(core) == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}
    core.remove(core.machines["10.0.0.3"])
    run_for(core, 4.0)
    assert voters(core) == {"10.0.0.1", "10.0.0.2", new.address}
    end(core)


def test_a_voter_that_is_silent_with_nobody_to_take_its_place_keeps_its_vote():
    core = calm()
    _, _, witness = by_role(core)
    core.end(witness, back_s=40.0)
    run_for(core, 38.0)
    assert witness.address in voters(core)
    end(core)


def test_a_learner_gets_no_vote_before_it_has_the_copy():
    core = calm()
    _, _, witness = by_role(core)
    core.remove(witness)
    new = core.add(witness.zone)
    new.disk.stalled_until = core.clock.now + 6.0
    core.disturb(core.clock.now + 6.0)
    run_for(core, 5.5)
    assert new.address not in voters(core)
    run_for(core, 2.0)
    assert new.address in voters(core)
    end(core)


@pytest.mark.parametrize("role", [0, 1, 2])
@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("gap", [0.0, 0.2])
def test_two_machines_are_exchanged_one_right_after_the_other(machines, role, gap):
    core = calm(machines)
    gone = by_role(core)[role]
    core.remove(gone)
    run_for(core, 2.0)
    core.add(gone.zone)
    number = put(core)
    run_for(core, core.catch_up_s + gap)
    assert gone.address not in voters(core)
    core.remove(core.leader())
    core.change_seeds()
    run_for(core, 1.0)
    core.add()
    core.disturb(core.clock.now)
    acknowledged(core, number, most=0.1)
    acknowledged(core, put(core), most=6.0)
    run_for(core, core.catch_up_s + gap)
    core.end(core.leader(), power=True, wipe=True, back_s=1.0)
    core.operators.read()
    end(core)


@pytest.mark.parametrize("loss", ["kill", "wipe", "gone"])
@pytest.mark.parametrize("machines", [3, 5])
def test_a_loss_right_after_an_exchange(machines, loss):
    core = calm(machines)
    core.remove(by_role(core)[1])
    run_for(core, 1.0)
    core.add()
    run_for(core, core.catch_up_s)
    acknowledged(core, put(core), most=2.0)
    lost = core.leader()
    if loss == "gone":
        core.remove(lost)
        core.disturb(core.clock.now + 3.0)
        core.clock.later(3.0, core.add)
    else:
        core.end(lost, power=True, wipe=loss == "wipe", back_s=3.0)
    core.operators.read()
    acknowledged(core, put(core), most=8.0)
    end(core)


@pytest.mark.parametrize("role", [0, 1, 2])
@pytest.mark.parametrize("machines", [3, 5])
def test_a_member_that_is_stopped_hands_over_its_vote_and_its_copy_first(machines, role):
    core = calm(machines)
    old = by_role(core)[role]
    new = core.add(old.zone)
    run_for(core, 1.0)
    core.terminate(old, back_s=None)
    old.gone = True
    core.change_seeds()
    number = put(core)
    took = wait(core, lambda: old.node is None, most=6.5)
    assert took < 5.5 and old.address not in voters(core) and new.address in voters(core)
    assert voters(core) <= {m.address for m in core.running()}
    core.disturb(core.clock.now)
    acknowledged(core, number, most=4.0)
    holders = [core.machines[a] for a in core.leader().node.view.replica_set]
    assert len(holders) == core.tolerance + 1 and all(m.node is not None for m in holders)
    core.end(core.leader(), power=True, wipe=True, back_s=1.0)
    core.operators.read()
    end(core)


def test_every_machine_and_every_seed_is_exchanged_and_nothing_is_lost():
    core = calm()
    for name in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
        core.add()
        run_for(core, 4.0)
        core.remove(core.machines[name])
        core.change_seeds()
        run_for(core, 4.0)
        core.operators.read()
        run_for(core, 1.0)
    assert all(a.startswith("10.0.1.") for a in (*voters(core), *core.seeds))
    assert core.operators.last_read.value("config")["v"] == 1
    end(core)


@pytest.mark.parametrize("seed", range(6))
def test_votes_change_in_the_middle_of_a_change(seed):
    core = calm(seed=seed)
    core.add()
    run_for(core, 1.0 + 0.1 * seed)
    core.remove(core.machines["10.0.0.1"])
    for _ in range(60):
        put(core, [m.address for m in core.running()])
        run_for(core, 0.04)
    core.end(core.leader() or core.running()[0], power=True, back_s=1.0)
    end(core)


@pytest.mark.parametrize("seed", range(4))
def test_a_member_that_was_taken_out_and_returns_has_no_vote_and_moves_no_epoch(seed):
    core = calm(seed=seed)
    old = by_role(core)[seed % 3]
    core.remove(old)
    core.add()
    run_for(core, 5.0)
    assert old.address not in voters(core)
    epoch = core.leader().node.view.epoch
    old.gone = False
    core.start(old)
    run_for(core, 5.0)
    assert core.leader().node.view.epoch == epoch and old.address not in voters(core)
    end(core)


def test_a_member_that_stood_for_long_and_lost_its_vote_may_have_one_again():
    core = calm()
    first = core.leader()
    spare = core.add(first.zone)
    for other in core.machines.values():
        if other is not first:
            core.links.partition(first.address, other.address, 12.0)
    core.disturb(core.clock.now + 12.0)
    run_for(core, 12.0)
    for _ in range(40):
        put(core, ["10.0.0.2"])
        run_for(core, 0.05)
    assert voters(core) == {"10.0.0.2", "10.0.0.3", spare.address}
    assert first.node.promised > core.leader().node.view.epoch  # it stood again and again
    core.remove(core.machines["10.0.0.3"])
    core.change_seeds()
    run_for(core, 4.0)
    assert voters(core) == {"10.0.0.2", first.address, spare.address}
    end(core)


def test_holders_stand_in_their_turn_when_a_leader_steps_down():
    for seed in range(6):
        core = calm(5, seed=seed)
        core.terminate(core.leader())
        core.disturb(core.clock.now + 1.0)
        assert wait(core, lambda c=core: c.lease_holder() not in (None, c.machines["10.0.0.1"])) < 0.15


def test_a_voter_that_is_stopped_stays_to_vote_where_nobody_leads():
    core = calm()
    first, replica, witness = by_role(core)
    core.end(first, power=True, back_s=20.0)
    wait(core, lambda: not witness.node._role.guards_leader())  # the replica is about to stand
    core.terminate(witness, back_s=20.0)
    wait(core, lambda: core.lease_holder() is replica, most=2.0)
    core.disturb(core.clock.now + 20.0)
    run_for(core, 22.0)
    end(core)


def test_an_exchange_needs_a_majority_of_the_voters_before_it():
    core = calm()
    first, replica, witness = by_role(core)
    core.links.partition(first.address, replica.address, 12.0)
    core.disturb(core.clock.now + 12.0)
    new = core.add(replica.zone)
    wait(core, lambda: new.disk.position.epoch == 3)  # the witness has voted for the epoch that exchanges the replica
    for machine in (first, new):  # each half has one that holds a copy
        for other in (replica, witness):
            core.links.partition(machine.address, other.address, 8.0)
    wait(core, lambda: core.lease_holder() is witness, most=4.0)  # with the vote of the replica, which has not lost it
    run_for(core, 2.0)  # the rules see whether both lead
    end(core)


def test_a_learner_that_restarts_as_it_gets_a_vote_has_lost_nothing():
    core = calm()
    first, replica, _ = by_role(core)
    core.remove(replica)
    new = core.add(replica.zone)
    wait(core, lambda: new.disk.position.epoch == 3)  # it holds a copy for the epoch that gives it a vote
    assert new.disk.view is not None and new.address not in new.disk.view.voters
    core.end(new, back_s=0.2)
    wait(core, lambda: core.lease_holder() is not None and new.address in voters(core), most=6.0)
    end(core)
