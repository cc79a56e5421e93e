"""Tests of singleton-role leases on the simulated core."""

import random

import pytest

from tests.control.helpers import finish_after, founded_core, machines_by_role, run_for, wait_until
from thistleusher.control.interface import Write
from thistleusher.control.leases import LeaseHolder
from thistleusher.transport.messages import (
    LeaseGranted,
    LeaseRejected,
    LeaseRequest,
)

REQUEST = LeaseRequest("work", "f9/1", 1 << 40, 0.0)


@pytest.mark.parametrize("direction", ["both", "out"])
def test_a_voter_without_contact_grants_no_singleton_role(direction):
    core = founded_core()
    _, _, witness = machines_by_role(core)
    assert witness.service.receive(core.time(witness), "f9", REQUEST) != []
    for other in core.machines.values():
        core.links.partition(witness.address, other.address, 5.0, both=direction == "both")
    core.extend_fault_period(core.clock.now + 5.0)
    run_for(core, 2.5)
    assert witness.service.receive(core.time(witness), "f9", REQUEST) == []
    finish_after(core)


def test_a_grant_is_answered_once_it_is_on_disk():
    core = founded_core()
    _, _, witness = machines_by_role(core)
    now = core.time(witness)
    [write] = witness.service.receive(now, "f9", REQUEST)
    assert isinstance(write, Write) and write.records.leases["work"] == ("f9", REQUEST.term)
    [answer] = witness.service.write_completed(now, write.token, True)
    assert answer.message == LeaseGranted("work", REQUEST.term, REQUEST.sent)


def test_a_new_voter_grants_nothing_for_as_long_as_an_earlier_grant_may_last():
    core = founded_core()
    core.remove(machines_by_role(core)[2])
    new = core.add()
    wait_until(core, lambda: new.node.is_voter and new.node.in_contact(core.time(new)))
    [answer] = new.service.receive(core.time(new), "f9", REQUEST)
    assert isinstance(answer.message, LeaseRejected)
    run_for(core, 1.1)
    [write] = new.service.receive(core.time(new), "f9", REQUEST)
    assert isinstance(write, Write)


def test_a_grant_of_an_earlier_term_does_not_count():
    holder = LeaseHolder("work", "f9/1", 0.0, random.Random(1))
    holder.set_grantors(["1", "2", "3"])
    holder.tick(0.0, lambda address, message: None)
    for grantor in "123":
        holder.receive(grantor, LeaseGranted("work", holder.term - 1, 0.0))
    assert not holder.holds_lease(0.1)
