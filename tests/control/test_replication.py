"""Replication of changes and copies: catch-up, cost, and the contents of the disks."""

import random

import pytest

from tests.control.helpers import (
    finish_after,
    founded_core,
    machines_by_role,
    put_configuration,
    run_for,
    sent_types,
    started_node,
    wait_until,
    wait_until_acknowledged,
)
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import StoredState
from thistleusher.transport.messages import (
    Append,
    Install,
    InstallRejected,
    Position,
)


def test_what_waits_behind_a_write_that_failed_is_not_written():
    durable = DurableState(Context("1", "a", (), 0.0, random.Random(1), 1), StoredState())
    ended = []
    durable.state_copy.apply(Position(1, 1, 1), {"config": (1, 1)})
    durable.write_state_copy({"config": (1, 1)}, False, lambda ok: ended.append(("first", ok)))
    durable.state_copy.enter_epoch(2)
    durable.write_state_copy(None, False, lambda ok: ended.append(("second", ok)))
    durable.write_completed(1, False)
    assert ended == [("first", False), ("second", False)]
    assert [out.token for out in durable._context.flush()] == [1]


def test_a_replica_takes_changes_of_its_leader_after_their_base_only():
    control = started_node("10.0.0.2")
    position = control.position
    items = {"config": (1, {"v": 1, "z": ""})}
    other = Position(position.epoch, position.number, position.change_epoch + 1)
    assert control.receive(1.0, "10.0.0.1", Append(2, position, Position(2, 1, 2), items)) == []
    assert control.receive(1.0, "10.0.0.3", Append(1, position, Position(1, 1, 1), items)) == []
    assert sent_types(control.receive(1.0, "10.0.0.1", Append(1, other, Position(1, 1, 1), items))) == [InstallRejected]
    assert control.position == position


def test_changes_are_not_installed_on_a_copy_that_lacks_what_they_go_on_from():
    control = started_node("10.0.0.2")
    changes = Install(1, Position(1, 5, 1), Position(1, 6, 1), 0, {"config": (6, {"v": 6, "z": ""})})
    assert sent_types(control.receive(1.0, "10.0.0.1", changes)) == [InstallRejected]
    assert control.position.number == 0 and control.state.value("config") is None


def test_a_member_that_was_away_for_a_thousand_changes_catches_up_while_they_go_on():
    core = founded_core()
    _, replica, _ = machines_by_role(core)
    core.end(replica, restart_s=25.0)
    for _ in range(1000):
        put_configuration(core, [core.leader().address] if core.leader() else None)
        run_for(core, 0.02)
        if core.clock.now > core.fault_free_since and replica.node is None:
            core.start(replica)
    wait_until(core, lambda: replica.node is not None, timeout_s=30.0)
    others = [m for m in core.machines.values() if m not in (replica, core.leader())]
    core.end(others[0], restart_s=60.0)  # so that the returned machine must hold the second copy
    begin = core.clock.now
    while core.clock.now < begin + 3.0:
        put_configuration(core)
        run_for(core, 0.02)
    assert core.history.acknowledged > core.version - 60
    assert replica.disk.item("config")["v"] > core.version - 60
    core.start(others[0])
    core.fault_free_since = core.clock.now
    finish_after(core)


def test_a_change_costs_its_own_size_and_not_that_of_the_state():
    core = founded_core()
    for number in range(200):
        core.operators.evacuate(f"{number}" + "x" * 1000, True)
        run_for(core, 0.02)
    run_for(core, 2.0)
    assert sum(map(len, core.leader().disk.items.values())) < sum(map(len, core.leader().disk.items)) + 10_000
    state = sum(len(name) + len(data) for name, data in core.leader().disk.items.items())
    assert state > 200_000
    sent, written = core.links.sent_bytes, sum(m.disk.written_bytes for m in core.machines.values())
    begin = core.clock.now
    for _ in range(100):
        wait_until_acknowledged(core, put_configuration(core), timeout_s=2.0)
    idle = 4000 * (core.clock.now - begin)  # heartbeats
    assert core.links.sent_bytes - sent < 100 * 1000 + idle
    assert sum(m.disk.written_bytes for m in core.machines.values()) - written < 100 * 1000
    finish_after(core)


@pytest.mark.parametrize("after", [0.0, 0.002, 0.004, 0.006, 0.01, 0.02, 0.04])
def test_power_is_lost_between_a_snapshot_and_the_changes_after_it(after):
    for seed in range(4):
        core = founded_core(seed=seed)
        first, replica, witness = machines_by_role(core)
        core.end(replica, power=True, restart_s=60.0)
        wait_until(core, lambda w=witness, c=core: c.leader() and w.address in c.leader().node.view.replicas)
        for _ in range(3):
            put_configuration(core, [first.address])
        run_for(core, after)
        for machine in (first, witness):
            core.end(machine, power=True, restart_s=0.2 + 0.2 * core.rng.random())
        core.operators.read()
        core.start(replica)
        core.fault_free_since = core.clock.now
        finish_after(core)


def test_a_change_that_one_replica_alone_has_is_taken_from_it_by_the_next_copy():
    core = founded_core(5)
    first = core.leader()
    one, other = (core.machines[a] for a in first.node.view.replicas)
    core.links.partition(first.address, other.address, 1.0, both=False)
    core.operators.evacuate("q", True)
    wait_until(core, lambda: one.disk.item("evac:q") is not None)
    core.operators._evacuations[-1].done = True  # the operator does not repeat the order
    core.end(first, power=True, restart_s=30.0)
    one.frozen_until = core.clock.now + 2.0
    wait_until(core, lambda: core.lease_holder() is other)  # the new leader has never received the change
    core.operators.evacuate("r", True)  # this change gets the same number
    wait_until(core, lambda: core.history.evacuated.get("r") is True)
    run_for(core, 2.0)
    for replica in other.node.view.replicas:
        core.end(core.machines[replica], power=True, restart_s=8.0)
    wait_until(core, lambda: core.lease_holder() is other and one.address in other.node.view.replicas)
    assert one.disk.items == other.disk.items
    finish_after(core)


def test_items_on_disk_stay_few_over_ten_thousand_changes():
    core = founded_core()
    first = core.leader()
    for _ in range(10_000):
        put_configuration(core, [first.address])
        run_for(core, 0.012)
    assert core.history.acknowledged > 9_000
    assert all(len(m.disk.items) < 10 for m in core.machines.values())
    finish_after(core)
