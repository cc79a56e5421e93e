"""Grants of singleton roles: they are on disk before the answer, and a new voter makes none."""

import random

from thistleusher.control.interface import SendToClient, StoredState, Write
from thistleusher.control.leases import GRANT_DURATION_S, LeaseGrantor, LeaseHolder
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.transport.messages import (
    Heartbeat,
    LeaseGranted,
    LeaseRejected,
    LeaseRequest,
    Position,
    RecordView,
    Status,
    ViewRecord,
)

VOTERS = {"1": "a", "2": "b", "3": "a"}
VIEW = ViewRecord(3, "2", ("3",), VOTERS)
REQUEST = LeaseRequest("d", "x/1", 9 << 20, 1.0)


def service(stored: StoredState) -> ControlService:
    node = ControlNode("1", "a", ["1", "2", "3"], stored, 0.0, random.Random(1))
    return ControlService(node, LeaseGrantor(0.0))


def complete_writes(control: ControlService, now: float, outputs, ok: bool = True) -> list:
    """Complete the writes among some outputs, and return the outputs that follow."""
    return [out for each in outputs if isinstance(each, Write) for out in control.write_completed(now, each.token, ok)]


def sent_to_clients(outputs) -> list:
    return [out.message for out in outputs if isinstance(out, SendToClient)]


def in_contact(control: ControlService, now: float, view: ViewRecord) -> None:
    complete_writes(control, now, control.receive(now, view.leader, Heartbeat(view, now, True)))


def test_a_grant_is_answered_only_once_it_is_on_disk():
    control = service(StoredState(3, VIEW, Position(2, 1, 1)))
    in_contact(control, 5.0, VIEW)
    asked = control.receive(5.1, "x", REQUEST)
    assert sent_to_clients(asked) == [] and any(isinstance(out, Write) for out in asked)
    assert complete_writes(control, 5.2, asked, ok=False) == []
    control = service(StoredState(3, VIEW, Position(2, 1, 1)))
    in_contact(control, 5.0, VIEW)
    asked = control.receive(5.1, "x", REQUEST)
    assert [type(message) for message in sent_to_clients(complete_writes(control, 5.2, asked))] == [LeaseGranted]


def test_a_new_voter_grants_nothing_for_a_leases_time():
    before = ViewRecord(3, "2", ("3",), {"2": "b", "3": "a", "4": "a"})
    control = service(StoredState(0, None, Position(-1, 0, 0)))
    for other in ("2", "3"):
        control.receive(4.0, other, Status(before, 3, True))
    control.tick(4.5)
    view = ViewRecord(4, "2", ("3",), VOTERS)
    complete_writes(control, 5.0, control.receive(5.0, "2", RecordView(view)))
    in_contact(control, 5.0, view)
    assert control.node.in_contact(5.05)
    assert [type(message) for message in sent_to_clients(control.receive(5.1, "x", REQUEST))] == [LeaseRejected]
    late = 5.1 + GRANT_DURATION_S
    in_contact(control, late, view)
    assert any(isinstance(out, Write) for out in control.receive(late, "x", REQUEST))


def test_a_grant_of_an_earlier_term_counts_for_nothing():
    holder = LeaseHolder("d", "x/1", 0.0, random.Random(1))
    holder.set_grantors(VOTERS)
    holder.tick(0.0, lambda ip, message: None)
    for voter in VOTERS:
        holder.receive(voter, LeaseGranted("d", holder.term - 1, 0.0))
    assert not holder.holds_lease(0.1)
    for voter in VOTERS:
        holder.receive(voter, LeaseGranted("d", holder.term, 0.0))
    assert holder.holds_lease(0.1)
