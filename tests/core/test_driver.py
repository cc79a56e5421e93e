"""The driver on a scripted clock: one final answer, one outstanding attempt, deadlines, faults of the module."""

from __future__ import annotations

import pytest

from tests.embed.forms import Script as Clock
from tests.net.sockets import Script, settings
from thistleusher.core import events
from thistleusher.core.actions import Attempt, CounterAdd, Fail, Refuse, SetTimer
from thistleusher.core.driver import Driver
from thistleusher.core.events import Outcome
from thistleusher.core.ports import AttemptResult, Verdict


class ScriptedAttempt:
    """An attempt whose end the test controls."""

    def __init__(self, on_end, writes):
        self.on_end, self.may_have_run, self.writes, self.cancelled = on_end, False, writes, 0

    def start(self, timeout):
        self.timeout, self.may_have_run = timeout, self.writes

    def expire(self):
        self.on_end(AttemptResult(Outcome.TIMEOUT))

    def cancel(self):
        raise AssertionError("only the decision module may cancel an attempt because its backend does not answer")

    def abandon(self):
        self.cancelled += 1
        self.on_end(AttemptResult(Outcome.CANCELLED if self.may_have_run else Outcome.MOOT))


class Rig:
    def __init__(self, decide, writes=True, stops=False):
        self.clock, self.attempts, self.finals, self.writes = Clock(1000.0), [], [], writes
        self.script = Script(decide)
        self.driver = Driver(settings(cancel_stops_work=stops), self.script, self, self.clock, self.clock.time)

    def prepare(self, in_flight, backend, on_end):
        self.attempts.append(ScriptedAttempt(on_end, self.writes))
        return self.attempts[-1]

    def accept(self, name="r1", cls="read", expires=2.0):
        return self.driver.accept(events.Request(name, cls, "basic", 7, expires, 1.0), self.finals.append)

    def verdicts(self):
        return [f.verdict for f in self.finals]


def on_request(*actions):
    return lambda e: list(actions) if isinstance(e, events.Request) else []


def test_a_second_final_answer_is_dropped_also_while_an_attempt_is_out():
    rig = Rig(on_request(Attempt("r1", "b0"), Refuse("r1", 0.5), Fail("r1"), Refuse("r1")))
    rig.accept()
    assert rig.verdicts() == [Verdict.OVER_QUOTA] and rig.finals[0].retry_in == 0.5
    assert list(rig.driver.in_flight) == ["r1"]  # its attempt is still outstanding
    rig.attempts[0].on_end(AttemptResult(Outcome.OK))
    assert rig.verdicts() == [Verdict.OVER_QUOTA] and not rig.driver.in_flight


def test_a_second_attempt_is_not_started_while_one_is_out():
    rig = Rig(on_request(Attempt("r1", "b0"), Attempt("r1", "b1")))
    rig.accept()
    assert len(rig.attempts) == 1 and [e.outcome for e in rig.script.ends()] == [Outcome.MOOT]


def test_the_deadline_comes_a_little_before_the_clients():
    rig = Rig(on_request(Attempt("r1", "b0")))
    rig.accept(expires=2.0)
    assert rig.attempts[0].timeout == pytest.approx(1.97)
    rig.clock.step(1001.9)
    assert not rig.finals
    rig.clock.step(1002.0)
    assert rig.verdicts() == [Verdict.NO_ROOM] and not rig.driver.in_flight
    assert rig.script.events[-1] == events.ClientGone("r1")


@pytest.mark.parametrize(
    "cls,writes,verdict",
    [
        ("read", True, Verdict.NO_ROOM),
        ("pay", True, Verdict.NO_ROOM),
        ("once", True, Verdict.FAILED),
        ("once", False, Verdict.NO_ROOM),
    ],
)
def test_what_may_have_run_is_refused_only_where_repeats_are_harmless(cls, writes, verdict):
    rig = Rig(on_request(Attempt("r1", "b0")), writes)
    rig.accept(cls=cls)
    rig.clock.step(1003.0)
    assert rig.verdicts() == [verdict]


def test_a_fault_of_the_module_ends_its_request_and_not_the_program():
    def decide(event):
        if isinstance(event, events.Request):
            raise ZeroDivisionError
        return []

    rig = Rig(decide)
    rig.accept()
    assert rig.verdicts() == [Verdict.FAULT] and not rig.driver.in_flight
    assert rig.script.events[-1] == events.ClientGone("r1")


def test_an_id_that_is_held_is_invalid_and_leaves_the_first_alone():
    rig = Rig(lambda e: [])
    rig.accept()
    assert rig.accept() is None and rig.verdicts() == [Verdict.INVALID] and list(rig.driver.in_flight) == ["r1"]


def test_a_client_that_has_gone_is_told_nothing_and_an_unwritten_attempt_is_ended():
    rig = Rig(on_request(Attempt("r1", "b0")), writes=False)
    rig.accept()
    rig.driver.client_gone("r1")
    rig.driver.client_gone("r1")
    assert not rig.finals and rig.attempts[0].cancelled == 1 and not rig.driver.in_flight


@pytest.mark.parametrize("cls, ends", [("read", True), ("pay", False), ("once", False)])
@pytest.mark.parametrize("stops", [True, False])
def test_what_a_backend_works_on_for_nobody_is_ended_where_that_stops_it_harmlessly(cls, ends, stops):
    for leave in (lambda d: d.client_gone("r1"), lambda d: d.submit(events.TimerFired(1))):
        rig = Rig(lambda e: [Attempt("r1", "b0")] if isinstance(e, events.Request) else [Fail("r1")], stops=stops)
        rig.accept(cls=cls)
        leave(rig.driver)
        assert rig.attempts[0].cancelled == (ends and stops) and bool(rig.driver.in_flight) is not (ends and stops)
        if rig.driver.in_flight:
            rig.attempts[0].on_end(AttemptResult(Outcome.OK))
        assert rig.script.ends()[0].done and not rig.driver.in_flight


def test_a_class_that_changes_meanwhile_does_not_change_a_request():
    rig = Rig(on_request(Attempt("r1", "b0")), stops=True)
    rig.accept(cls="once")
    rig.driver.classes["once"] = rig.driver.classes["read"]
    rig.driver.client_gone("r1")
    assert not rig.attempts[0].cancelled


def test_closing_answers_everything_and_stops_the_timers():
    rig = Rig(on_request(SetTimer(5.0, 1)))
    rig.accept("r1")
    rig.accept("r2", "once")
    rig.driver.close()
    assert rig.verdicts() == [Verdict.NO_ROOM] * 2 and not rig.driver.in_flight
    seen = len(rig.script.events)
    rig.clock.step(1100.0)
    assert len(rig.script.events) == seen


def test_without_a_counter_every_call_is_told_not_to_have_been_added():
    rig = Rig(lambda e: [CounterAdd(3, 1.0, 4.0)] if isinstance(e, events.Request) else [])
    rig.accept()
    assert rig.script.events[1] == events.CounterReply(3, Outcome.CONNECT_FAILED, 0.0, 0.0)


def test_true_units_over_the_most_are_left_out():
    for reported, taken in ((4.0, 4.0), (4.1, 0.0)):
        rig = Rig(on_request(Attempt("r1", "b0")))
        rig.accept()
        rig.attempts[0].on_end(AttemptResult(Outcome.OK, "answer", reported))
        assert rig.finals[0].payload == "answer" and rig.script.ends()[0].true_units == taken


def test_nothing_is_sent_any_more_once_a_refusal_is_on_its_way():
    """A request without a written attempt is refused at its deadline, after which no further attempt may start.

    Regression: a simulated run answered 503 at 36.215 s, and the request reached a backend at 36.262 s (REFUSED).
    """

    def decide(e):
        if isinstance(e, events.Request):
            return [Attempt("r1", "b0")]
        return [Attempt("r1", "b1")] if isinstance(e, events.AttemptEnded) and not e.done else []

    rig = Rig(decide, writes=False)
    rig.accept(cls="once")
    rig.writes = True  # a second attempt would be written at once
    rig.clock.step(1003.0)
    assert len(rig.attempts) == 1
    assert rig.verdicts() == [Verdict.NO_ROOM]


def test_what_is_out_and_written_may_have_run():
    rig = Rig(on_request(Attempt("r1", "b0")))
    in_flight = rig.accept(cls="once")
    assert rig.attempts[0].may_have_run and not in_flight.may_refuse()
