"""How a leader hands over, and how a voter that has promised more votes again."""

from tests.control.helpers import by_role, calm, end, run_for


def test_a_leader_that_ends_in_order_hands_over_within_half_a_second():
    core = calm()
    first = core.leader()
    core.terminate(first)
    core.disturb(core.clock.now + 1.0)
    run_for(core, 0.5)
    assert core.lease_holder() not in (None, first)
    end(core)


def test_a_voter_that_has_promised_more_votes_again():
    core = calm()
    first, replica, _ = by_role(core)
    core.links.partition(
        first.address, replica.address, 3.0
    )  # it asks, and the witness guards the leader that it hears
    core.disturb(core.clock.now + 3.0)
    run_for(core, 8.0)
    view = core.leader().node.view
    assert {m.node.promised for m in core.machines.values()} == {view.epoch}
    end(core)
