"""Final answers, retries and the queue of attempts."""

from __future__ import annotations

import pytest

from tests.helpers import Ingress, only, some
from tests.policy.rig import finals
from thistleusher.core import events
from thistleusher.core.actions import Attempt, CancelAttempt, CounterAdd, Fail, Refuse, SetTimer
from thistleusher.core.events import ListKind, Outcome
from thistleusher.core.settings import ClassSettings, Effect, Group

RAN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT]


NOT_RUN = [Outcome.FULL, Outcome.CONNECT_FAILED]


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_failed_never_retried_or_refused(outcome):
    g = Ingress()
    acts = g.end(only(g.ask("once"), Attempt), outcome)
    assert isinstance(finals(acts)[0], Fail) and not some(acts, Attempt)


@pytest.mark.parametrize("outcome", NOT_RUN)
@pytest.mark.parametrize("cls", ["once", "pay", "read", "zoned"])
def test_an_outcome_that_shows_it_never_ran_allows_another_backend(outcome, cls):
    g = Ingress()
    first = only(g.ask(cls), Attempt)
    again = only(g.end(first, outcome), Attempt)
    assert again.backend != first.backend


def test_keyed_is_retried_within_its_window_and_not_after():
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


def test_a_short_attempt_is_not_retried_once_its_client_is_gone():
    # Regression: if a client timed out before its class's latency target, attempts were started after it had gone.
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


def test_no_backend_still_gives_the_one_answer_in_time():
    g = Ingress(backends=2)
    g.give(events.ListUpdate(ListKind.WHOLE, 2, ()))
    acts = g.ask("once") + g.beat(2.0)
    assert isinstance(finals(acts)[0], Refuse) and len(finals(acts)) == 1


def test_queued_requests_behind_a_blocked_one_are_answered_too():
    # Regression: a pass over the queue stopped at the first blocked request and lost the requests behind it.
    g = Ingress(backends=1)
    g.gw.fleet.slots = 1.0
    acts = []
    for k in range(6):
        acts += g.ask(["pay", "read"][k % 2], customer=k)
    acts += g.beat(2.0)
    assert len(some(acts, Attempt)) == 1
    assert len(finals(acts)) == 5


def test_the_highest_value_goes_first_when_a_slot_comes_free():
    g = Ingress(backends=1)
    g.gw.fleet.slots = 1.0
    first = only(g.ask(customer=1), Attempt)
    g.ask("read", customer=2)
    g.ask("pay", customer=3)
    g.gw.fleet.slots = 1.0
    assert some(g.end(first), Attempt)[0].request == "r3"


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


def test_keyed_by_cell_has_nowhere_else_to_go_once_it_may_have_run():
    celled = ClassSettings("celled", Effect.KEYED, 2.0, 6.0, group=Group.CELL, window=1.0)
    g = Ingress(backends=4, classes=(celled,))  # each backend is its own cell
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
    # Regression: a periodic timer over all backends at hundreds of idle ingresses cost more than the requests.
    g = Ingress()
    assert not some(g.log, SetTimer)
    a = only(g.ask(), Attempt)
    assert some(g.log, SetTimer)
    g.end(a)
    g.beat(0.05)
    assert not some(g.give(events.TimerFired(0)), SetTimer)
