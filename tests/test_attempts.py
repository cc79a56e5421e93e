"""The rules on final answers, repeats, drains and cold backends; routing and ejection."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.helpers import SAFE, UNSAFE, Ingress, only, some
from thistleusher.core import events
from thistleusher.core.actions import Attempt, CancelAttempt, CounterAdd, Fail, Log, Refuse, SetTimer
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import ClassSettings, Effect, Group, PlanSettings
from thistleusher.policy import fleet as fleet_module
from thistleusher.policy.fleet import EJECT_EVIDENCE

RAN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT]
NOT_RUN = [Outcome.FULL, Outcome.CONNECT_FAILED]


def finals(actions):
    return [a for a in actions if isinstance(a, Refuse | Fail)]


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_failed_never_resent_or_refused(outcome):
    g = Ingress()
    acts = g.end(only(g.ask("once"), Attempt), outcome)
    assert isinstance(finals(acts)[0], Fail) and not some(acts, Attempt)


@pytest.mark.parametrize("outcome", NOT_RUN)
@pytest.mark.parametrize("cls", ["once", "pay", "read", "zoned"])
def test_proof_that_it_never_ran_allows_another_backend(outcome, cls):
    g = Ingress()
    first = only(g.ask(cls), Attempt)
    again = only(g.end(first, outcome), Attempt)
    assert again.backend != first.backend


def test_keyed_is_resent_within_its_window_and_not_after():
    g = Ingress()
    first = only(g.ask("pay"), Attempt)
    g.now += 0.3
    only(g.end(first, Outcome.ERROR), Attempt)
    late = only(g.ask("pay"), Attempt)
    g.now += 1.01
    acts = g.end(late, Outcome.ERROR)
    assert not some(acts, Attempt) and len(finals(acts)) == 1


def test_keyed_stays_in_its_group_and_is_failed_not_refused():
    g = Ingress(backends=4)
    first = only(g.ask("zoned"), Attempt)
    second = only(g.end(first, Outcome.ERROR), Attempt)
    assert int(second.backend[1]) % 2 == int(first.backend[1]) % 2
    acts = g.end(second, Outcome.ERROR, n=1) + g.beat(3)
    assert isinstance(finals(acts)[0], Fail) and not some(acts, Attempt)


def test_one_final_answer_and_nothing_after_it():
    g = Ingress()
    first = only(g.ask("once"), Attempt)
    acts = g.end(first, Outcome.TIMEOUT, elapsed=6.0)
    g.give(events.ClientGone("r1"))
    assert len(finals(acts)) == 1
    assert not finals(g.beat(2.0))


def test_a_short_try_is_not_sent_again_once_its_client_is_gone():
    # A time-out at the client's limit, before the class's aim, was followed by sends to nobody.
    g = Ingress()
    first = only(g.ask(expires=0.6), Attempt)
    g.now += 0.6
    acts = g.end(first, Outcome.TIMEOUT, elapsed=0.6)
    assert not some(acts, Attempt) and len(finals(acts)) == 1


def test_attempts_stop_at_the_limit():
    g = Ingress(backends=9, max_attempts=3)
    acts = g.ask()
    n = 0
    while some(acts, Attempt):
        acts = g.end(only(acts, Attempt), Outcome.CONNECT_FAILED, n=n)
        n += 1
    assert n == 3 and len(finals(acts)) == 1


@pytest.mark.parametrize("phase", [Phase.STOPPING, Phase.DELETED])
def test_nothing_new_to_a_backend_that_drains_or_is_gone(phase):
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.CHANGE, 2, (BackendEntry("b0", phase, zone="z0"),)))
    for k in range(4):
        a = only(g.ask(customer=k), Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_absent_from_a_whole_list_is_gone_and_a_failed_list_changes_nothing():
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, (BackendEntry("b1", Phase.RUNNING),)))
    g.give(events.ListUpdate(ListKind.FAILED, 2))
    assert only(g.ask(), Attempt).backend == "b1"


def test_no_backend_still_gives_the_one_answer_in_time():
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, ()))
    acts = g.ask("once") + g.beat(2.0)
    assert isinstance(finals(acts)[0], Refuse) and len(finals(acts)) == 1


def test_held_requests_behind_a_blocked_one_are_answered_too():
    # The look at what is held once stopped at the first blocked request and lost those behind it.
    g = Ingress(backends=1)
    g.gw.fleet.slots = 1.0
    acts = []
    for k in range(6):
        acts += g.ask(["pay", "read"][k % 2], customer=k)
    acts += g.beat(2.0)
    assert len(some(acts, Attempt)) == 1
    assert len(finals(acts)) == 5


def test_dearest_goes_first_when_a_slot_comes_free():
    g = Ingress(backends=1)
    g.gw.fleet.slots = 1.0
    first = only(g.ask(customer=1), Attempt)
    g.ask("read", customer=2)
    g.ask("pay", customer=3)
    g.gw.fleet.slots = 1.0
    assert some(g.end(first), Attempt)[0].request == "r3"


def test_cold_backend_gets_a_trickle_from_its_start():
    g = Ingress(backends=4)
    g.give(events.ListUpdate(ListKind.CHANGE, 2, (BackendEntry("new", Phase.RUNNING, born=100.0),)))
    got, out = {}, []
    for k in range(200):  # 4 s
        for a in some(g.ask(customer=k), Attempt):
            got[a.backend] = got.get(a.backend, 0) + 1
            out.append(a)
        while len(out) > 20:
            g.end(out.pop(0))
        g.now += 0.02
    assert 0 < got["new"] <= 0.5 * got["b0"]


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


def test_a_jam_from_the_start_is_not_taken_for_the_norm():
    # Latency measured in a jam became the base, and the limit never shrank.
    g = Ingress(backends=4)
    before = g.gw.fleet.slots
    for k in range(120):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=1.8)
    assert g.gw.fleet.base_latency["read"] <= 0.5 and g.gw.fleet.slots < before


def test_overload_recovers_once_answers_are_fast_again():
    # An early gate on latency once refused everything for good, as nothing was sent to unlearn it.
    g = Ingress(backends=4)
    g.gw.fleet.latency["read"] = 30.0
    g.gw.fleet.pressure = 10.0
    for k in range(300):
        for a in some(g.ask(customer=k), Attempt):
            g.end(a, elapsed=0.1)
        g.beat(0.05)
    assert g.gw.fleet.pressure < 2.0
    assert some(g.ask(customer=999), Attempt)


def test_late_answer_of_a_client_that_left_teaches():
    g = Ingress(backends=1)
    a = only(g.ask(), Attempt)
    g.give(events.ClientGone("r1"))
    g.end(a, Outcome.TIMEOUT, elapsed=5.0, done=True)
    assert g.gw.fleet.pressure > 1.0 and g.gw.fleet.backends.outstanding == 0


def test_stray_events_raise_nothing():
    g = Ingress()
    for e in (
        events.TimerFired(99),
        events.ClientGone("nobody"),
        events.PeerMessage(1, b"x"),
        events.AttemptStarted("nobody", 0, "b0", 0.1),
        events.ProbeEnded("b0", Outcome.OK, 0.1),
        events.AttemptEnded("nobody", 0, "nowhere", Outcome.OK, 0.1, True),
    ):
        assert not finals(g.give(e))


def test_same_events_same_actions():
    def play():
        g = Ingress()
        for k in range(50):
            for a in some(g.ask(["read", "pay", "once"][k % 3], customer=k), Attempt):
                g.end(a)
        return g.log

    assert play() == play()


def test_a_few_very_costly_requests_neither_shrink_the_limit_nor_eject():
    # One answer in twenty at thirty times the usual pulled the limit down and ejected half of the fleet.
    g = Ingress(backends=4)
    before, out = g.gw.fleet.slots, []
    for k in range(400):
        out += some(g.ask(customer=k), Attempt)
        while len(out) > 3:
            g.end(out.pop(0), elapsed=6.0 if k % 20 == 0 else 0.2)
    assert g.gw.fleet.slots >= before
    assert not some(g.log, Log)


def test_a_clients_time_out_is_neither_a_fault_nor_a_sign_of_life():
    g = Ingress(backends=2)
    a = only(g.ask("once"), Attempt)
    b = g.gw.fleet.backends[a.backend]
    g.now += 6.0
    g.end(a, Outcome.TIMEOUT, elapsed=6.0)
    assert b.errors == 0.0 and b.last_answered == 100.0


def test_keyed_by_cell_has_nowhere_else_to_go_once_it_may_have_run():
    celled = ClassSettings("celled", Effect.KEYED, 2.0, 6.0, group=Group.CELL, window=1.0)
    g = Ingress(backends=4, classes=(celled,))  # each backend is a cell of its own
    acts = g.end(only(g.ask("celled"), Attempt), Outcome.ERROR) + g.beat(3)
    assert isinstance(finals(acts)[0], Fail) and not some(acts, Attempt) and len(finals(acts)) == 1


def test_nothing_breaks_without_a_counter_or_load_reports_or_cancel():
    g = Ingress(counter=False, may_cancel=False)
    for k in range(5):
        acts = g.ask(customer=k)
        assert not some(acts, CounterAdd)
        g.end(only(acts, Attempt))
    stuck = only(g.ask(customer=9), Attempt)
    assert not some(g.beat(5.0), CancelAttempt)
    g.end(stuck, Outcome.TIMEOUT, elapsed=6.0)
    assert g.gw.fleet.backends.outstanding == 0


def test_an_idle_ingress_sets_no_timer():
    # A beat over every backend of hundreds of idle ingresses cost more than the requests.
    g = Ingress()
    assert not some(g.log, SetTimer)
    a = only(g.ask(), Attempt)
    assert some(g.log, SetTimer)
    g.end(a)
    g.beat(0.05)
    assert not some(g.give(events.TimerFired(0)), SetTimer)


def test_a_limit_below_one_slot_rests_between_attempts():
    # One attempt out at each of hundreds of ingresses is many at each backend, and nothing could go below it.
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.pressure, g.gw.fleet.slots = 4.0, 0.5
    g.end(only(g.ask("once"), Attempt), elapsed=1.0)
    assert not some(g.ask("once", customer=8), Attempt)
    assert g.gw.fleet.slots < 0.5 and g.gw.fleet.paused_until > g.now


def test_few_answers_each_say_more():
    g = Ingress(backends=4, instances=40)
    g.gw.fleet.slots = before = 8.0
    for k in range(6):  # 3 s of late answers, two a second
        a = only(g.ask(customer=k), Attempt)
        g.now += 0.5
        g.end(a, elapsed=1.9)
    assert g.gw.fleet.slots < before / 1.5


def test_a_class_turned_away_by_some_is_routed_round_them_and_shrinks_nothing():
    # 'full' for one class at half of the fleet was taken for a full fleet and shrank the limit.
    g = Ingress(backends=4, classes=(SAFE, UNSAFE), max_attempts=4)
    g.gw.fleet.slots = before = 6.0
    tries = []
    for k in range(30):
        acts, n = g.ask("once", customer=k), 0
        while sent := some(acts, Attempt):
            out = Outcome.FULL if sent[0].backend in ("b0", "b1") else Outcome.OK
            acts, n = g.end(sent[0], out, n=n), n + 1
        tries.append(n)
    assert sum(tries[-10:]) <= 12 and g.gw.fleet.slots >= before


def test_full_is_not_sent_on_while_answers_are_late():
    # In a jam each 'full' went on to the next full backend, five attempts a request, and the jam stayed.
    g = Ingress(backends=4)
    g.gw.fleet.pressure = 4.0
    acts = g.end(only(g.ask(), Attempt), Outcome.FULL)
    assert not some(acts, Attempt) and len(finals(acts)) == 1


def test_requests_turned_away_do_not_raise_what_a_cold_backend_may_take():
    # Attempts answered 'full' counted as work that warm backends take, and a cold one was pushed over.
    g = Ingress(backends=4)
    for k in range(20):
        acts, n = g.ask(customer=k), 0
        while sent := some(acts, Attempt):
            acts, n = g.end(sent[0], Outcome.FULL, n=n), n + 1
    assert g.gw.fleet.rate == 0.0


def test_a_first_fast_answer_makes_no_backend_silent():
    # The first answer set the usual latency; one of 5 ms ejected whoever took longer than 40 ms.
    g = Ingress(backends=4)
    g.end(only(g.ask(), Attempt), elapsed=0.005)
    only(g.ask(customer=8), Attempt)
    g.beat(0.5)
    assert not some(g.log, Log)


def test_many_ingresses_together_fill_the_budget_of_a_cold_backend():
    # A store filled at one ingress's tiny rate never came to one: a fleet renewed by a deploy stood unused.
    first = 0
    for seed in range(200):
        g = Ingress(backends=4, seed=seed)
        g.gw.fleet.rate, g.gw.fleet.rate_at = 0.01, g.now
        g.give(
            events.ListUpdate(
                ListKind.CHANGE, 2, tuple(BackendEntry(f"b{i}", Phase.RUNNING, born=g.now) for i in range(4))
            )
        )
        g.now += 5.0
        first += bool(some(g.ask(), Attempt))
    # 4 backends x 0.01 a second x 2.5 x 0.5 x mean ramp 0.6 x 5 s (judged at the ramp's present height)
    assert 15 <= first <= 70


def test_a_backend_that_is_gone_is_forgotten_once_nothing_is_out_there():
    i = Ingress(backends=2)
    a = only(i.ask(), Attempt)
    other = "b1" if a.backend == "b0" else "b0"
    gone = tuple(BackendEntry(b, Phase.DELETED) for b in ("b0", "b1", "never-seen"))
    i.give(events.ListUpdate(ListKind.CHANGE, 2, gone))
    assert set(i.gw.fleet.backends) == {a.backend} and other not in i.gw.fleet.backends
    i.end(a)
    assert i.gw.fleet.backends.outstanding == 0
    i.give(events.ListUpdate(ListKind.CHANGE, 3))
    assert not i.gw.fleet.backends
    i.give(events.ListUpdate(ListKind.WHOLE, 3, (BackendEntry("b9", Phase.RUNNING),)))
    assert set(i.gw.fleet.backends) == {"b9"}


@pytest.mark.parametrize(
    "entries",
    [
        (),
        (BackendEntry("b0", Phase.RUNNING, born=105.0, zone="z0"),),
        (BackendEntry("b0", Phase.STOPPING, zone="z0"),),
    ],
)
def test_attempts_out_are_counted_down_whatever_becomes_of_their_backend(entries):
    """A count that stays up for ever would use up the limit on attempts out."""
    g = Ingress(backends=1)
    attempt = only(g.ask(), Attempt)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, entries))
    g.give(events.ListUpdate(ListKind.WHOLE, 3, ()))
    assert g.gw.fleet.backends.outstanding == 1
    g.end(attempt, Outcome.RESET)
    assert g.gw.fleet.backends.outstanding == 0


def ejections(g, why):
    return [a.text for a in g.log if isinstance(a, Log) and why in a.text]


def play(g, faulty, share, rounds):
    """Requests one after another; a backend of `faulty` fails the first attempts of its rounds of ten."""
    turns = {}
    for _ in range(rounds):
        todo = some(g.ask("read"), Attempt)
        n = 0
        while todo:
            a = todo.pop()
            turns[a.backend] = turn = turns.get(a.backend, 0) + 1
            bad = a.backend in faulty and (7 * turn) % 10 < 10 * share  # spread, not in a row
            todo += some(g.end(a, Outcome.RESET if bad else Outcome.OK, n=n), Attempt)
            n += 1
        g.now += 0.02


ROOMY = (PlanSettings("basic", rate=1e6, burst=1e6),)


def test_faults_that_all_backends_have_alike_eject_none():
    g = Ingress(backends=8, plans=ROOMY)
    play(g, {f"b{i}" for i in range(8)}, 0.2, 600)
    assert len(ejections(g, "failing")) <= 2  # before the fleet's share is known


def test_evidence_adds_up_though_no_two_faults_come_in_a_row():
    fleet = Ingress(backends=8, plans=ROOMY).gw.fleet
    one = fleet.backends["b3"]
    for n in range(6):
        fleet.weigh(one, n % 2 == 0)
    assert one.fault_evidence >= EJECT_EVIDENCE
    for _ in range(20):
        fleet.weigh(one, False)
    assert one.fault_evidence == 0.0


def test_one_that_failed_is_ejected_sooner_after_its_trial():
    g = Ingress(backends=4, plans=ROOMY)
    bad = g.gw.fleet.backends["b0"]
    bad.trial = True
    g.gw.fleet.weigh(bad, False)
    while (a := only(g.ask("read"), Attempt)).backend != "b0":
        pass
    g.end(a)  # the trial
    assert not bad.trial and 0 < bad.fault_evidence < EJECT_EVIDENCE
    while (a := only(g.ask("read"), Attempt)).backend != "b0":
        g.end(a)
    g.end(a, Outcome.ERROR)
    assert ejections(g, "failing")


def test_what_hangs_at_a_silent_backend_takes_no_room_from_others():
    """An unsafe request cannot be moved: it is out there until its time is up."""
    g = Ingress(backends=4, plans=ROOMY)
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
    g = Ingress(backends=1, plans=ROOMY)
    for _ in range(40):
        g.end(only(g.ask("once"), Attempt))
    g.gw.fleet.usable_count = 4  # others there, so that one may be ejected
    first, second = (only(g.ask("once"), Attempt) for _ in range(2))
    g.beat(3.0)
    assert ejections(g, "silent") and g.gw.fleet.backends.load == 0.0
    g.end(first)
    assert g.gw.fleet.backends.load == pytest.approx(1.0) and g.gw.fleet.backends.outstanding == 1
    g.end(second)
    assert g.gw.fleet.backends.load == 0.0


def test_of_many_backends_a_few_are_looked_at_and_those_that_may_not_be_sent_to_are_never_taken(monkeypatch):
    g = Ingress(backends=200, plans=(PlanSettings("basic", rate=1e6, burst=1e6),))
    fleet = g.gw.fleet
    fleet.slots = 1e6
    resting = {f"b{n}" for n in range(150)}
    for name in resting:
        fleet.backends[name].ejected_until = g.now + 100.0
    looked = []
    monkeypatch.setattr(
        fleet, "least", lambda now, f, among, least=fleet.least: (looked.append(len(among)), least(now, f, among))[1]
    )
    sent = Counter(only(g.ask(), Attempt).backend for _ in range(500))
    assert not resting & set(sent) and len(sent) == 50 and max(sent.values()) <= 14  # 10 each
    assert sum(looked) / 500 < 2 * fleet_module.DRAWN and max(looked) in (fleet_module.DRAWN, 200)
    for name in set(fleet.backends) - {"b7"}:
        fleet.backends[name].ejected_until = g.now + 100.0
    fleet.backends["b7"].ejected_until = 0.0
    assert only(g.ask(), Attempt).backend == "b7"  # however few are left


def test_in_a_small_fleet_the_choice_is_a_look_at_each():
    g = Ingress(backends=fleet_module.SCAN)
    g.gw.fleet.rng.sample = None  # nothing is drawn
    assert only(g.ask(), Attempt)
