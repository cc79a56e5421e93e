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


class NodeDriver:
    """Drives one node; its writes complete at once."""

    def __init__(self, leader: str, replicas: tuple[str, ...], epoch: int = 3) -> None:
        stored = StoredState(epoch, ViewRecord(epoch, leader, replicas, VOTERS), POSITION, 0, {"old": (5, "x")})
        self.node = ControlNode("1", "a", ["1", "2", "3"], stored, 0.0, random.Random(1))
        self.answers: list = []

    def execute(self, now: float, outputs) -> list:
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

    def deliver(self, now: float, sender: str, message) -> list:
        return self.execute(now, self.node.receive(now, sender, message))

    def install_copy(self, now: float) -> int:
        """Make the node a candidate whose replica has installed the copy; return the epoch."""
        [request, *_] = [m for m in self.execute(now, self.node.tick(now)) if isinstance(m, VoteRequest)]
        self.deliver(now, "3", Vote(request.epoch, self.node.view, POSITION))
        sent = self.deliver(now, "2", Vote(request.epoch, self.node.view, POSITION))
        [install] = [message for message in sent if isinstance(message, Install)]
        self.deliver(now, "2", Installed(request.epoch, install.position))
        return request.epoch

    def become_leader(self, now: float) -> int:
        """Make the node the leader with "2" as its replica; return the epoch."""
        epoch = self.install_copy(now)
        for voter in ("2", "3"):
            self.deliver(now, voter, ViewRecorded(epoch))
        assert self.node.leadership is not None and self.node.view.replicas == ("2",)
        return epoch


def test_nobody_leads_before_its_replicas_have_the_view():
    driver = NodeDriver("1", ("2",))
    epoch = driver.install_copy(1.0)
    driver.deliver(1.0, "3", ViewRecorded(epoch))  # a majority together with the candidate itself
    assert driver.node.leadership is None
    driver.deliver(1.0, "2", ViewRecorded(epoch))
    assert driver.node.leadership is not None


def test_a_change_that_its_replica_has_is_not_acknowledged_after_the_lease():
    driver = NodeDriver("1", ("2",))
    epoch = driver.become_leader(1.0)
    change = Change(1, lambda state: False, lambda state: {"new": "y"}, "a change")
    [append] = [m for m in driver.execute(1.1, driver.node.submit(1.1, change)) if isinstance(m, Append)]
    late = driver.node.leadership.expires_at() + 0.01
    driver.deliver(late, "2", Appended(epoch, append.position.number))
    assert driver.answers == []


def test_a_machine_with_a_copy_of_an_earlier_epoch_is_no_candidate():
    driver = NodeDriver("2", ("1",), epoch=4)  # the view names it as a replica, but its copy is of the previous epoch
    sent = [m for n in range(60) for m in driver.execute(0.1 * n, driver.node.tick(0.1 * n))]
    assert not any(isinstance(message, VoteRequest) for message in sent)


def test_a_voter_that_hears_a_leader_votes_for_no_other():
    driver = NodeDriver("2", ("3",))
    driver.deliver(5.0, "2", Heartbeat(driver.node.view, 5.0, True))
    [refused] = driver.deliver(5.5, "3", VoteRequest(4, driver.node.view))
    assert isinstance(refused, VoteRejected) and driver.node.promised == 3
    assert any(isinstance(m, Vote) for m in driver.deliver(6.0, "3", VoteRequest(4, driver.node.view)))


def test_a_leader_that_hears_of_a_later_view_leads_no_more():
    driver = NodeDriver("1", ("2",))
    epoch = driver.become_leader(1.0)
    driver.deliver(1.2, "3", Deposed(epoch, epoch + 1, ViewRecord(epoch + 1, "2", ("3",), VOTERS)))
    assert driver.node.leadership is None and not driver.node.holds_lease(1.2)


def test_a_replica_takes_changes_of_its_leader_and_epoch_only():
    driver = NodeDriver("2", ("1",))
    for sender, epoch in (("3", 3), ("2", 2), ("2", 4)):
        change = Append(epoch, POSITION, Position(epoch, 6, epoch), {"new": (6, "y")})
        assert driver.deliver(1.0, sender, change) == [] and driver.node.position == POSITION


def voters_after_silence(position: Position | None) -> set[str]:
    """Return the voters after voter "3" has been silent for long, with a learner whose copy is at `position`.

    None: the learner's copy is at the leader's position.
    """
    driver = NodeDriver("1", ("2",))
    driver.become_leader(1.0)
    now, asked = 1.0, []
    while now < 7.0 and not asked:
        now += 0.1
        sent = driver.execute(now, driver.node.tick(now))
        sent += driver.deliver(now, "4", StatusRequest("a", True, position or driver.node.position, 0))
        for heartbeat in [message for message in sent if isinstance(message, Heartbeat)][:1]:
            driver.deliver(now, "2", HeartbeatAck(heartbeat.view.epoch, heartbeat.sent, driver.node.position))
        asked = [message for message in sent if isinstance(message, VoteRequest)]
    if not asked:
        return set(driver.node.view.voters)
    sent = driver.deliver(now, "2", Vote(asked[0].epoch, driver.node.view, driver.node.position))
    [install] = [message for message in sent if isinstance(message, Install)]
    sent = driver.deliver(now, "2", Installed(asked[0].epoch, install.position))
    return set(next(message for message in sent if isinstance(message, RecordView)).view.voters)


def test_a_learner_takes_a_place_only_with_the_whole_state():
    assert voters_after_silence(Position(-1, 0, 0)) == {"1", "2", "3"}
    assert voters_after_silence(None) == {"1", "2", "4"}
