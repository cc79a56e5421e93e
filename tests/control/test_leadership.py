"""Hand-over by a leader that stops, and the return of a voter that has promised a higher epoch."""

from tests.control.helpers import finish_after, founded_core, machines_by_role, run_for


def test_a_leader_that_ends_in_order_hands_over_within_half_a_second():
    core = founded_core()
    first = core.leader()
    core.terminate(first)
    core.extend_fault_period(core.clock.now + 1.0)
    run_for(core, 0.5)
    assert core.lease_holder() not in (None, first)
    finish_after(core)


def test_a_voter_that_has_promised_more_votes_again():
    core = founded_core()
    first, replica, _ = machines_by_role(core)
    # The replica becomes a candidate, but the witness still hears the leader and guards it.
    core.links.partition(first.address, replica.address, 3.0)
    core.extend_fault_period(core.clock.now + 3.0)
    run_for(core, 8.0)
    view = core.leader().node.view
    assert {m.node.promised for m in core.machines.values()} == {view.epoch}
    finish_after(core)
