"""Partitioned, frozen and slow machines: their answers are safe, and the other machines continue to serve."""

import msgspec
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
from thistleusher.transport.messages import (
    Deposed,
)


@pytest.mark.parametrize("pair", [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2)])
def test_a_cut_in_one_direction_only(pair):
    core = founded_core()
    roles = machines_by_role(core)
    core.links.partition(roles[pair[0]].address, roles[pair[1]].address, 5.0, both=False)
    core.extend_fault_period(core.clock.now + 5.0)
    run_for(core, 2.5)
    # Two of three machines that hear each other are enough.
    wait_until_acknowledged(core, put_configuration(core), timeout_s=3.0)
    finish_after(core)


def test_a_deposed_leader_whose_disk_answers_late_acknowledges_nothing():
    core = founded_core()
    first, _, _ = machines_by_role(core)
    first.disk.stalled_until = core.clock.now + 3.0
    core.extend_fault_period(core.clock.now + 3.0)
    core.version = 3
    core.operators.put(2, "x2", [first.address])
    run_for(core, 2.0)
    assert core.leader() is not first  # its messages still pass, but it has lost the lease
    core.operators.put(3, "c3")
    wait_until_acknowledged(core, 3, timeout_s=3.0)
    finish_after(core)


def test_a_deposed_leader_does_not_answer_reads():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    for other in (replica, witness):
        core.links.partition(first.address, other.address, 4.0)
    core.extend_fault_period(core.clock.now + 4.0)
    run_for(core, 2.0)
    wait_until_acknowledged(core, put_configuration(core, [replica.address, witness.address]), timeout_s=1.0)
    core.operators.read([first.address])  # if it answered, the rule checker would report the old number
    run_for(core, 4.0)
    finish_after(core)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("direction", ["both", "out", "in"])
def test_the_leader_is_cut_off_for_twenty_seconds_and_both_halves_are_asked(machines, direction):
    core = founded_core(machines)
    first = core.leader()
    others = [m for m in core.machines.values() if m is not first]
    for other in others:
        a, b = (other, first) if direction == "in" else (first, other)
        core.links.partition(a.address, b.address, 20.0, both=direction == "both")
    core.extend_fault_period(core.clock.now + 20.0)
    begin = core.clock.now
    for number in range(2, 20):
        core.version = number
        core.operators.put(number, f"x{number}", [first.address])
        core.operators.read([first.address])
        core.operators.put(number, f"y{number}", [m.address for m in others])
        core.operators.evacuate("a", number % 2 == 0)
        run_for(core, 1.0)
        assert core.history.acknowledged >= number - 3  # the machines that hear each other continue to serve
    assert not [at for at, address in core.operators.confirmations if address == first.address and at > begin + 1.0]
    finish_after(core)


@pytest.mark.parametrize("machines", [3, 5])
def test_a_leader_resumes_after_twenty_seconds_with_calls_in_its_sockets(machines):
    core = founded_core(machines)
    first = core.leader()
    first.frozen_until = core.clock.now + 20.0
    core.extend_fault_period(first.frozen_until)
    others = [m.address for m in core.machines.values() if m is not first]
    for number in range(2, 20):
        core.version = number
        core.operators.put(number, f"x{number}", [first.address])
        core.operators.read([first.address])
        core.operators.put(number, f"y{number}", others)
        run_for(core, 1.0)
    assert core.history.acknowledged >= 16
    run_for(core, 3.0)  # the rule checker sees all answers of the resumed leader
    assert core.leader() is not first
    finish_after(core)


def test_the_lease_of_a_new_leader_is_no_longer_than_its_voters_guard_it():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    core.end(first, restart_s=10.0)
    wait_until(core, lambda: witness.disk.position.epoch == 2)  # its acknowledgement is in transit
    replica.disk.stalled_until = core.clock.now + 0.75
    wait_until(core, lambda: replica.node.leadership is not None)
    assert not core.in_contact(replica)
    assert core.lease_holder() is None  # the lease begins only once the voters have answered its heartbeat
    run_for(core, 0.1)
    assert core.lease_holder() is replica
    finish_after(core)


@pytest.mark.parametrize("machines", [3, 5])
def test_a_leader_that_is_cut_off_answers_no_read(machines):
    core = founded_core(machines)
    first = core.leader()
    for other in core.machines.values():
        core.links.partition(first.address, other.address, 3.0)
    core.extend_fault_period(core.clock.now + 3.0)
    for _ in range(40):
        core.operators.read([first.address])  # the rule checker reports an answer without contact
        run_for(core, 0.05)
    finish_after(core)


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_resumes_as_another_is_elected_with_reads_and_answers_in_its_sockets(seed):
    for step in range(12):
        core = founded_core(seed=seed)
        first = core.leader()
        run_for(core, 0.01 * step)
        first.frozen_until = core.clock.now + 0.85 + 0.05 * step
        core.extend_fault_period(first.frozen_until)
        core.operators.read([first.address])
        run_for(core, 0.5)
        core.operators.read([first.address])
        run_for(core, 1.5)  # the rule checker reports two lease holders, and stale answers
        finish_after(core)


def test_a_leader_that_resumes_after_its_lease_confirms_nothing_by_old_answers():
    for step in range(8):
        core = founded_core()
        first = core.leader()
        put_configuration(core, [first.address])
        run_for(core, 0.001)  # the change is in transit to the replica
        first.frozen_until = core.clock.now + 0.72 + 0.01 * step
        core.extend_fault_period(first.frozen_until)
        run_for(core, 1.0)  # the rule checker reports an acknowledgement without contact
        finish_after(core)


def test_a_leader_that_hears_of_a_later_epoch_leads_no_more():
    core = founded_core()
    first, _, witness = machines_by_role(core)
    later = msgspec.structs.replace(first.node.view, epoch=5, leader=witness.address)
    first.service.receive(core.time(first), witness.address, Deposed(1, 5, later))
    assert first.node.leadership is None


def test_what_was_in_force_before_the_lease_was_valid_is_published_once_it_is():
    core = founded_core()
    first, replica, witness = machines_by_role(core)
    put_configuration(core, [first.address])
    wait_until(core, lambda: replica.disk.item("config")["v"] == 2)
    core.end(first, restart_s=10.0)  # before it can publish the change
    assert [c.subscriber.state.value("config")["v"] for c in core.clients.clients.values()] == [1, 1]
    wait_until(core, lambda: witness.disk.position.epoch == 2)
    replica.disk.stalled_until = core.clock.now + 0.75
    wait_until(core, lambda: replica.node.leadership is not None)
    assert core.lease_holder() is None
    run_for(core, 0.3)
    assert [c.subscriber.state.value("config")["v"] for c in core.clients.clients.values()] == [2, 2]
    finish_after(core)


def test_a_change_is_repeated_at_another_machine_while_the_first_hangs():
    core = founded_core()
    first, replica, _ = machines_by_role(core)
    first.frozen_until = core.clock.now + 2.5
    core.extend_fault_period(first.frozen_until)
    core.version = 2
    core.operators.put(2, "c2", [first.address])
    core.operators.put(2, "c2", [replica.address])
    wait_until_acknowledged(core, 2, timeout_s=2.2)
    finish_after(core)


def test_a_full_disk_costs_the_leadership_and_not_the_promise():
    core = founded_core()
    first, _, _ = machines_by_role(core)
    first.disk.full_until = core.clock.now + 4.0
    core.extend_fault_period(first.disk.full_until)
    number = put_configuration(core)
    run_for(core, 4.0)
    assert core.history.acknowledged == number and core.leader() is not first
    finish_after(core)
