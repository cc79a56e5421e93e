"""Outlier ejection of faulty and silent backends, and their trials."""

from __future__ import annotations

import pytest

from tests.helpers import Ingress, only, some
from tests.policy.rig import LARGE_QUOTA, ejections
from thistleusher.core.actions import Attempt, CancelAttempt, Log
from thistleusher.core.events import Outcome
from thistleusher.policy.fleet import EJECT_EVIDENCE


def play(g, faulty, share, rounds):
    """Run `rounds` sequential requests. Backends in `faulty` fail the fraction `share` of their attempts."""
    turns = {}
    for _ in range(rounds):
        todo = some(g.ask("read"), Attempt)
        n = 0
        while todo:
            a = todo.pop()
            turns[a.backend] = turn = turns.get(a.backend, 0) + 1
            bad = a.backend in faulty and (7 * turn) % 10 < 10 * share  # faults are not consecutive
            todo += some(g.end(a, Outcome.RESET if bad else Outcome.OK, n=n), Attempt)
            n += 1
        g.now += 0.02


def test_fast_failing_backend_does_not_look_idle():
    g = Ingress(backends=4)
    bad, out = 0, []
    for k in range(200):
        acts = g.ask("once", customer=k)
        for a in some(acts, Attempt):
            if a.backend == "b2":
                bad += 1
                g.end(a, Outcome.ERROR, elapsed=0.001)
            else:
                out.append(a)
        while len(out) > 4:
            g.end(out.pop(0))
        g.now += 0.02
    assert 1 <= bad <= 10


def test_silent_backend_is_left_and_what_may_be_repeated_is_moved():
    g = Ingress(backends=3)
    stuck, moved = None, []
    for k in range(60):
        for a in some(g.ask(customer=k), Attempt):
            if stuck is None:
                stuck = a
            elif a.backend != stuck.backend:
                g.end(a)
        moved += some(g.beat(0.1), CancelAttempt)
    assert stuck is not None and stuck.request in {c.request for c in moved}
    assert g.gw.fleet.backends[stuck.backend].trial


def test_a_silent_backend_is_found_also_by_clients_that_do_not_wait_for_it():
    g = Ingress(backends=3)
    for k in range(60):
        for a in some(g.ask(customer=k), Attempt):
            if a.backend == "b1":
                g.beat(1.0)
                g.end(a, Outcome.CANCELLED, done=True)
            else:
                g.end(a, elapsed=0.32)
    assert ejections(g, "silent") and g.gw.fleet.backends["b1"].unanswered == 0.0
    assert not g.gw.fleet.backends["b0"].unanswered


def test_clients_that_never_wait_for_the_usual_latency_say_nothing_against_any_backend():
    g = Ingress(backends=3)
    for k in range(200):
        for a in some(g.ask(customer=k), Attempt):
            g.beat(0.2)
            g.end(a, Outcome.CANCELLED, done=True)
    assert not ejections(g, "silent")


def test_clients_that_leave_say_nothing_against_a_backend_that_answers_others():
    g = Ingress(backends=3)
    for k in range(200):
        for a in some(g.ask(customer=k), Attempt):
            g.beat(0.5)
            g.end(a, Outcome.CANCELLED if k % 3 else Outcome.OK, elapsed=0.3, done=True)
    fleet = g.gw.fleet
    assert not ejections(g, "silent") and fleet.backends.outstanding == 0 and fleet.backends.load == 0.0
    assert all(b.errors == 0 and b.fault_evidence == 0 and b.ratio < 1.1 for b in fleet.backends.values())


def test_unsafe_is_never_the_trial_of_an_ejected_backend():
    g = Ingress(backends=2)
    b = g.gw.fleet.backends["b0"]
    b.trial, b.ejected_until = True, 0.0
    for k in range(5):
        a = only(g.ask("once", customer=k), Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_ejection_keeps_half_of_the_fleet():
    g = Ingress(backends=4)
    for b in g.gw.fleet.backends.values():
        g.gw.fleet.eject(g.now, b, "failing")
    assert sum(g.now < b.ejected_until for b in g.gw.fleet.backends.values()) == 2


def test_an_ejected_backend_comes_back_after_a_good_trial():
    g = Ingress(backends=1)
    b = g.gw.fleet.backends["b0"]
    b.trial, b.ejected_until = True, g.now + 1.0
    g.now += 1.1
    g.end(only(g.ask(), Attempt))
    assert not b.trial


def test_a_clients_time_out_is_neither_a_fault_nor_a_sign_of_life():
    g = Ingress(backends=2)
    a = only(g.ask("once"), Attempt)
    b = g.gw.fleet.backends[a.backend]
    g.now += 6.0
    g.end(a, Outcome.TIMEOUT, elapsed=6.0)
    assert b.errors == 0.0 and b.last_answered == 100.0


def test_a_first_fast_answer_makes_no_backend_silent():
    # Regression: the first answer set the typical latency, so one of 5 ms ejected backends slower than 40 ms.
    g = Ingress(backends=4)
    g.end(only(g.ask(), Attempt), elapsed=0.005)
    only(g.ask(customer=8), Attempt)
    g.beat(0.5)
    assert not some(g.log, Log)


def test_faults_that_all_backends_have_alike_eject_none():
    g = Ingress(backends=8, plans=LARGE_QUOTA)
    play(g, {f"b{i}" for i in range(8)}, 0.2, 600)
    assert len(ejections(g, "failing")) <= 2  # before the typical share of faults is known


def test_evidence_adds_up_though_no_two_faults_come_in_a_row():
    fleet = Ingress(backends=8, plans=LARGE_QUOTA).gw.fleet
    one = fleet.backends["b3"]
    for n in range(6):
        fleet.update_fault_evidence(one, n % 2 == 0)
    assert one.fault_evidence >= EJECT_EVIDENCE
    for _ in range(20):
        fleet.update_fault_evidence(one, False)
    assert one.fault_evidence == 0.0


def test_one_that_failed_is_ejected_sooner_after_its_trial():
    g = Ingress(backends=4, plans=LARGE_QUOTA)
    bad = g.gw.fleet.backends["b0"]
    bad.trial = True
    g.gw.fleet.update_fault_evidence(bad, False)
    while (a := only(g.ask("read"), Attempt)).backend != "b0":
        pass
    g.end(a)  # the trial
    assert not bad.trial and 0 < bad.fault_evidence < EJECT_EVIDENCE
    while (a := only(g.ask("read"), Attempt)).backend != "b0":
        g.end(a)
    g.end(a, Outcome.ERROR)
    assert ejections(g, "failing")


def test_what_hangs_at_a_silent_backend_takes_no_slots_from_others():
    """An unsafe request cannot be moved, so its attempt stays outstanding until its time-out."""
    g = Ingress(backends=4, plans=LARGE_QUOTA)
    for _ in range(40):
        g.end(only(g.ask("once"), Attempt))
    stuck = [only(g.ask("once"), Attempt) for _ in range(6)]
    silent = {a.backend for a in stuck[:1]}
    for a in stuck:
        if a.backend not in silent:
            g.end(a)
    before = g.gw.fleet.backends.load
    g.beat(3.0)
    assert ejections(g, "silent") and before > 0
    assert g.gw.fleet.backends.load == 0.0 and g.gw.fleet.backends.outstanding == sum(
        a.backend in silent for a in stuck
    )
    press = g.gw.fleet.pressure
    for a in stuck:
        if a.backend in silent:
            g.end(a, Outcome.TIMEOUT, elapsed=6.0)
    assert g.gw.fleet.backends.load == 0.0 and g.gw.fleet.backends.outstanding == 0 and g.gw.fleet.pressure == press


def test_what_is_out_counts_again_once_a_silent_backend_answers():
    g = Ingress(backends=1, plans=LARGE_QUOTA)
    for _ in range(40):
        g.end(only(g.ask("once"), Attempt))
    g.gw.fleet.usable_count = 4  # pretend there are more backends, so that one may be ejected
    first, second = (only(g.ask("once"), Attempt) for _ in range(2))
    g.beat(3.0)
    assert ejections(g, "silent") and g.gw.fleet.backends.load == 0.0
    g.end(first)
    assert g.gw.fleet.backends.load == pytest.approx(1.0) and g.gw.fleet.backends.outstanding == 1
    g.end(second)
    assert g.gw.fleet.backends.load == 0.0
