"""The client library's decisions, in scripted time: what is sent again, when, and what is known at the end."""

import json
import random

import pytest

from thistleusher.client.calls import Again, Answered, Budget, Call, How, Refused, Unknown
from thistleusher.client.directory import SHUN_S, Directory

NONE: dict[str, str] = {}


def call(repeatable: bool, deadline: float = 3.0, budget: Budget | None = None) -> Call:
    made = Call(100.0, deadline, repeatable, budget or Budget())
    made.begin()
    return made


@pytest.mark.parametrize("status", [429, 503, 408, 421])
@pytest.mark.parametrize("repeatable", [True, False])
def test_a_promise_lets_any_call_be_sent_again_when_it_was_told_to(status, repeatable):
    assert call(repeatable).answered(100.0, status, {"retry-after": "0.25"}, b"") == Again(0.25)


def test_it_heeds_a_time_for_a_third_of_what_is_left_at_most():
    assert call(True).answered(100.0, 503, {"retry-after": "60"}, b"") == Again(1.0)


@pytest.mark.parametrize(
    "repeatable, before, cut", [(False, Again, Unknown), (True, Again, Again)], ids=["effectful", "pure"]
)
def test_a_request_that_is_cut_before_its_first_byte_and_after(repeatable, before, cut):
    assert isinstance(call(repeatable).failed(100.0, How.UNSENT, "refused"), before)
    assert isinstance(call(repeatable).failed(100.0, How.BROKEN, "reset"), cut)  # in its last byte, or after it
    for status in (502, 504):
        assert isinstance(call(repeatable).answered(100.0, status, NONE, b""), cut)


def test_an_effectful_call_that_may_have_run_never_ends_as_refused():
    made = call(False)
    assert isinstance(made.failed(100.0, How.BROKEN, "reset"), Unknown)
    again = call(True)  # a pure one: broken, then refused to the end
    again.failed(100.0, How.BROKEN, "reset")
    for _ in range(3):
        again.begin()
        end = again.answered(100.5, 503, NONE, b"")
    assert isinstance(end, Unknown)


@pytest.mark.parametrize("status", [200, 204, 400, 401, 404, 413, 500])
def test_any_other_answer_is_the_end(status):
    assert call(True).answered(100.0, status, NONE, b"x") == Answered(status, NONE, b"x", 1)


def test_tries_time_and_the_budget_of_all_calls_end_it():
    made = call(True)
    for _ in range(3):
        assert isinstance(made.answered(100.0, 503, NONE, b""), Again)
        made.begin()
    assert made.answered(100.0, 503, {"retry-after": "0.5"}, b"") == Refused(503, 0.5, 4)
    assert isinstance(call(True).answered(102.99, 503, NONE, b""), Refused)
    budget = Budget(slack=2.0)
    ends = [call(True, budget=budget).answered(100.0, 503, NONE, b"") for _ in range(20)]
    assert sum(isinstance(end, Again) for end in ends) == 2 + int(20 * 0.2) - 1  # two at first, then one in five


@pytest.mark.parametrize("wrong", [0.0, -1.0, float("nan")])
def test_a_deadline_that_is_none_is_an_error(wrong):
    with pytest.raises(ValueError, match="deadline"):
        Call(0.0, wrong, True, Budget())


def directory() -> Directory:
    return Directory(["d1:1", "d2:1"], "shop", "r", "z", 0.0, random.Random(1))


def told(*addresses: str, ttl: object = 2) -> bytes:
    return json.dumps({"addresses": addresses, "ttl_s": ttl}).encode()


def test_an_old_answer_beats_none():
    d = directory()
    assert d.pick(0.0) is None and d.due(0.0)
    assert d.answered(0.0, told("a:1")) and not d.due(1.9) and d.due(2.0)
    d.unanswered(2.0)
    assert d.pick(30.0) == "a:1" and not d.due(2.1) and d.due(2.3)


@pytest.mark.parametrize(
    "lie",
    [
        b"",
        b"[]",
        b'{"addresses": []}',
        told(),
        told("a:1", ttl=0),
        told("a:1", ttl="x"),
        b'{"addresses": 3, "ttl_s": 1}',
    ],
)
def test_a_directory_that_lies_counts_as_silent(lie):
    d = directory()
    d.answered(0.0, told("a:1"))
    assert not d.answered(3.0, lie) and d.pick(3.0) == "a:1"


def test_addresses_that_failed_are_gone_around_for_a_while_and_those_that_left_are_not_picked():
    d = directory()
    d.answered(0.0, told("a:1", "b:1"))
    d.shun(0.0, "a:1")
    assert {d.pick(0.1) for _ in range(30)} == {"b:1"}
    d.shun(0.1, "b:1")
    assert {d.pick(0.2) for _ in range(30)} == {"a:1", "b:1"}  # all have: any
    assert {d.pick(SHUN_S + 0.2) for _ in range(30)} == {"a:1", "b:1"}
    d.answered(5.0, told("c:1"))
    assert {d.pick(5.0) for _ in range(10)} == {"c:1"}


def test_what_was_never_sent_costs_nothing_of_the_budget():
    budget = Budget(slack=0.0)
    assert call(True, budget=budget).failed(100.0, How.UNSENT, "refused") == Again(0.05)
    assert isinstance(call(True, budget=budget).failed(100.0, How.BROKEN, "reset"), Unknown)
