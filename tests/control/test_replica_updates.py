"""Changes and copies are applied only to the position that they are based on."""

import random

import pytest

from thistleusher.control.interface import Send, StoredState, Write
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import (
    Append,
    Appended,
    Install,
    Installed,
    InstallRejected,
    Position,
    RecordView,
    ViewRecord,
    Vote,
    VoteRequest,
)

VOTERS = {"1": "a", "2": "b", "3": "a"}
POSITION = Position(3, 5, 2)
ITEMS = {"old": (5, "x")}


def node(leader: str, replicas: tuple[str, ...]) -> ControlNode:
    stored = StoredState(3, ViewRecord(3, leader, replicas, VOTERS), POSITION, 0, dict(ITEMS))
    return ControlNode("1", "a", ["1", "2", "3"], stored, 0.0, random.Random(1))


def drive(control: ControlNode, now: float, outputs) -> list:
    """Execute some outputs, with writes that complete at once; return all messages that are sent as a result."""
    sent, waiting = [], list(outputs)
    while waiting:
        out = waiting.pop(0)
        if isinstance(out, Write):
            waiting += control.write_completed(now, out.token, True)
        elif isinstance(out, Send):
            sent.append(out.message)
    return sent


@pytest.mark.parametrize("base", [Position(3, 4, 2), Position(3, 5, 3), Position(2, 5, 2), Position(3, 6, 3)])
def test_a_change_made_after_another_position_is_refused(base):
    control = node("2", ("1",))
    change = Append(3, base, Position(3, base.number + 1, 3), {"new": (base.number + 1, "y")})
    assert drive(control, 1.0, control.receive(1.0, "2", change)) == [InstallRejected(3, POSITION)]
    assert control.position == POSITION and control.state.items == ITEMS
    change = Append(3, POSITION, Position(3, 6, 3), {"new": (6, "y")})
    assert drive(control, 1.0, control.receive(1.0, "2", change)) == [Appended(3, 6)]


@pytest.mark.parametrize("base", [Position(3, 4, 2), Position(3, 5, 1), Position(2, 5, 2)])
def test_what_a_copy_lacks_is_installed_onto_that_copy_only(base):
    control = node("2", ("1",))
    install = Install(4, base, Position(4, 9, 3), 0, {"new": (9, "y")})
    assert drive(control, 1.0, control.receive(1.0, "2", install)) == [InstallRejected(4, POSITION)]
    assert control.position == POSITION and control.state.items == ITEMS
    complete = Install(4, None, Position(4, 9, 3), 0, {"new": (9, "y")})
    assert drive(control, 1.0, control.receive(1.0, "2", complete)) == [Installed(4, Position(4, 9, 3))]
    assert control.state.items == {"new": (9, "y")}


def test_a_copy_that_ends_with_another_change_is_not_the_candidates():
    control = node("1", ("2",))
    asked = [out for out in drive(control, 1.0, control.tick(1.0)) if isinstance(out, VoteRequest)]
    assert asked
    epoch, view = asked[0].epoch, control.view
    control.receive(1.01, "3", Vote(epoch, view, POSITION))
    sent = drive(control, 1.02, control.receive(1.02, "2", Vote(epoch, view, POSITION)))
    [install] = [message for message in sent if isinstance(message, Install)]
    stale = Installed(epoch, Position(epoch, 5, 1))
    assert not any(isinstance(each, RecordView) for each in drive(control, 1.03, control.receive(1.03, "2", stale)))
    right = Installed(epoch, install.position)
    assert any(isinstance(each, RecordView) for each in drive(control, 1.04, control.receive(1.04, "2", right)))
