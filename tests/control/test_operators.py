"""Operators' orders on the simulated core in the presence of faults."""

from tests.control.helpers import finish_after, founded_core, put_configuration, run_for, wait_until_acknowledged


def test_an_evacuation_is_begun_and_ended_by_two_operators_across_a_take_over():
    core = founded_core()
    core.operators.evacuate("b", True)
    core.end(core.leader(), restart_s=3.0)
    run_for(core, 2.0)
    core.operators.evacuate("b", False)
    run_for(core, 2.0)
    assert core.history.evacuated == {"b": False}
    core.operators.read()
    finish_after(core)
    assert not core.operators.last_read.value("evac:b")["on"]


def test_of_two_contents_under_one_number_only_one_is_ever_in_force():
    for seed in range(12):
        core = founded_core(seed=seed)
        core.version = 2
        core.operators.put(2, "x")
        core.operators.put(2, "y")
        run_for(core, 0.002 * seed)
        core.end(core.leader() or core.machines["10.0.0.1"], restart_s=1.0)
        run_for(core, 3.0)
        finish_after(core)


def test_an_order_whose_acknowledgements_are_lost_is_sent_again_and_never_refused():
    for seed in range(8):
        core = founded_core(seed=seed)
        core.operators.acks_lost_until = core.clock.now + 3.0
        put_configuration(core)
        put_configuration(core)
        run_for(core, 0.3)
        core.end(core.leader(), restart_s=1.0)
        wait_until_acknowledged(core, core.version, timeout_s=8.0)
        finish_after(core)
