"""Single safety checks of the control node. Most are backed by further checks, so simulated runs do not show them."""

import random

from thistleusher.control.interface import Answer, Change, Send, StoredState, Write
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import (
    Append,
    Appended,
    Deposed,
    Heartbeat,
    HeartbeatAck,
    Install,
    Installed,
    Position,
    RecordView,
    StatusRequest,
    ViewRecord,
    ViewRecorded,
    Vote,
    VoteRejected,
    VoteRequest,
)

VOTERS = {"1": "a", "2": "b", "3": "a"}
POSITION = Position(3, 5, 2)


class Driven:
    """Drives one node; its writes complete at once."""

    def __init__(self, leader: str, replicas: tuple[str, ...], epoch: int = 3) -> None:
        stored = StoredState(epoch, ViewRecord(epoch, leader, replicas, VOTERS), POSITION, 0, {"old": (5, "x")})
        self.node = ControlNode("1", "a", ["1", "2", "3"], False, stored, 0.0, random.Random(1))
        self.answers: list = []

    def take(self, now: float, outputs) -> list:
        """Execute some outputs, and return all messages that are sent as a result."""
        sent, waiting = [], list(outputs)
        while waiting:
            out = waiting.pop(0)
            if isinstance(out, Write):
                waiting += self.node.write_completed(now, out.token, True)
            elif isinstance(out, Send):
                sent.append(out.message)
            elif isinstance(out, Answer):
                self.answers.append(out.answer)
        return sent

    def hear(self, now: float, sender: str, message) -> list:
        return self.take(now, self.node.receive(now, sender, message))

    def installed(self, now: float) -> int:
        """Make the node a candidate whose replica has installed the copy; return the epoch."""
        [request, *_] = [m for m in self.take(now, self.node.tick(now)) if isinstance(m, VoteRequest)]
        self.hear(now, "3", Vote(request.epoch, self.node.view, POSITION))
        sent = self.hear(now, "2", Vote(request.epoch, self.node.view, POSITION))
        [install] = [message for message in sent if isinstance(message, Install)]
        self.hear(now, "2", Installed(request.epoch, install.position))
        return request.epoch

    def lead(self, now: float) -> int:
        """Make the node the leader with "2" as its replica; return the epoch."""
        epoch = self.installed(now)
        for voter in ("2", "3"):
            self.hear(now, voter, ViewRecorded(epoch))
        assert self.node.leadership is not None and self.node.view.replicas == ("2",)
        return epoch


def test_nobody_leads_before_its_replicas_have_the_view():
    driven = Driven("1", ("2",))
    epoch = driven.installed(1.0)
    driven.hear(1.0, "3", ViewRecorded(epoch))  # a majority together with the candidate itself
    assert driven.node.leadership is None
    driven.hear(1.0, "2", ViewRecorded(epoch))
    assert driven.node.leadership is not None


def test_a_change_that_its_replica_has_is_not_acknowledged_after_the_lease():
    driven = Driven("1", ("2",))
    epoch = driven.lead(1.0)
    change = Change(1, lambda state: False, lambda state: {"new": "y"}, "a change")
    [append] = [m for m in driven.take(1.1, driven.node.submit(1.1, change)) if isinstance(m, Append)]
    late = driven.node.leadership.expires_at() + 0.01
    driven.hear(late, "2", Appended(epoch, append.position.number))
    assert driven.answers == []


def test_one_whose_copy_is_of_an_earlier_epoch_does_not_stand():
    driven = Driven("2", ("1",), epoch=4)  # the view names it as a replica, but its copy is of the previous epoch
    sent = [m for n in range(60) for m in driven.take(0.1 * n, driven.node.tick(0.1 * n))]
    assert not any(isinstance(message, VoteRequest) for message in sent)


def test_a_voter_that_hears_a_leader_helps_no_other():
    driven = Driven("2", ("3",))
    driven.hear(5.0, "2", Heartbeat(driven.node.view, 5.0, True))
    [refused] = driven.hear(5.5, "3", VoteRequest(4, driven.node.view))
    assert isinstance(refused, VoteRejected) and driven.node.promised == 3
    assert any(isinstance(m, Vote) for m in driven.hear(6.0, "3", VoteRequest(4, driven.node.view)))


def test_a_leader_that_hears_of_a_later_view_leads_no_more():
    driven = Driven("1", ("2",))
    epoch = driven.lead(1.0)
    driven.hear(1.2, "3", Deposed(epoch, epoch + 1, ViewRecord(epoch + 1, "2", ("3",), VOTERS)))
    assert driven.node.leadership is None and not driven.node.holds_lease(1.2)


def test_a_replica_takes_changes_of_its_leader_and_epoch_only():
    driven = Driven("2", ("1",))
    for sender, epoch in (("3", 3), ("2", 2), ("2", 4)):
        change = Append(epoch, POSITION, Position(epoch, 6, epoch), {"new": (6, "y")})
        assert driven.hear(1.0, sender, change) == [] and driven.node.position == POSITION


def voters_in_time(position: Position | None) -> set[str]:
    """Return the voters after voter "3" has been silent for long, with a learner whose copy is at `position`.

    None: the learner's copy is at the leader's position.
    """
    driven = Driven("1", ("2",))
    driven.lead(1.0)
    now, asked = 1.0, []
    while now < 7.0 and not asked:
        now += 0.1
        sent = driven.take(now, driven.node.tick(now))
        sent += driven.hear(now, "4", StatusRequest("a", True, position or driven.node.position, 0))
        for beat in [message for message in sent if isinstance(message, Heartbeat)][:1]:
            driven.hear(now, "2", HeartbeatAck(beat.view.epoch, beat.sent, driven.node.position))
        asked = [message for message in sent if isinstance(message, VoteRequest)]
    if not asked:
        return set(driven.node.view.voters)
    sent = driven.hear(now, "2", Vote(asked[0].epoch, driven.node.view, driven.node.position))
    [install] = [message for message in sent if isinstance(message, Install)]
    sent = driven.hear(now, "2", Installed(asked[0].epoch, install.position))
    return set(next(message for message in sent if isinstance(message, RecordView)).view.voters)


def test_a_learner_takes_a_place_only_with_the_whole_state():
    assert voters_in_time(Position(-1, 0, 0)) == {"1", "2", "3"}
    assert voters_in_time(None) == {"1", "2", "4"}
