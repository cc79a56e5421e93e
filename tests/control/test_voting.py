"""Votes and promises of a single node."""

import random

import msgspec

from simnet.disk import Disk
from tests.control.helpers import VIEW, founded_core, machines_by_role, sent_types, started_node
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import (
    Vote,
    VoteRejected,
    VoteRequest,
)


def test_a_voter_that_has_voted_is_not_a_candidate_at_once():
    core = founded_core()
    _, replica, _ = machines_by_role(core)
    control, now = replica.node, core.time(replica) + 5.0  # the leader's time-out has long passed
    [write] = control.receive(now, control.view.leader, VoteRequest(9, control.view))
    control.write_completed(now, write.token, True)
    assert VoteRequest not in sent_types(control.tick(now + 0.06)) and control.promised == 9
    control.tick(now + 1.0)
    assert control.promised == 10  # it becomes a candidate once the other candidate's attempt has timed out


def test_a_vote_whose_answer_was_lost_is_sent_again_to_its_candidate_only():
    control = started_node("10.0.0.3")
    ask = VoteRequest(2, VIEW)
    [write] = control.receive(1.0, "10.0.0.1", ask)
    assert control.receive(1.01, "10.0.0.1", ask) == []  # not on disk yet: neither a vote nor a rejection
    assert sent_types(control.write_completed(1.02, write.token, True)) == [Vote]
    assert sent_types(control.receive(1.3, "10.0.0.1", ask)) == [Vote]
    assert sent_types(control.receive(1.3, "10.0.0.2", ask)) == [VoteRejected]


def test_one_that_lost_its_vote_moves_no_promise_though_nobody_leads():
    control = started_node("10.0.0.3", msgspec.structs.replace(VIEW, epoch=2, voters={**VIEW.voters, "10.0.0.4": "b"}))
    asked = control.receive(9.0, "10.0.0.9", VoteRequest(7, VIEW))
    assert sent_types(asked) == [VoteRejected] and control.promised == 2


def test_a_voter_that_restarts_after_its_vote_gives_that_epoch_to_nobody_else():
    disk = Disk(random.Random(1))
    disk.promised, disk.view = VIEW.epoch, VIEW
    control = ControlNode("10.0.0.3", "a", ["10.0.0.1"], disk.stored(), 0.0, random.Random(1))
    [write] = control.receive(1.0, "10.0.0.1", VoteRequest(2, VIEW))
    disk.begin(1.0, write.records)
    disk.end()
    assert sent_types(control.write_completed(1.01, write.token, True)) == [Vote]
    later = ControlNode("10.0.0.3", "a", ["10.0.0.1"], disk.stored(), 2.0, random.Random(1))
    assert sent_types(later.receive(3.0, "10.0.0.2", VoteRequest(2, VIEW))) == [VoteRejected]
