"""The client library's decisions with a scripted clock: retries, their delays, and the result of a call."""

import json
import random

import pytest

from thistleusher.client.calls import Answered, AttemptFailure, Call, Refused, Retry, RetryBudget, Unknown
from thistleusher.client.directory import AVOID_S, RETRY_INTERVAL_S, Directory

NO_HEADERS: dict[str, str] = {}


def call(repeatable: bool, deadline: float = 3.0, budget: RetryBudget | None = None) -> Call:
    made = Call(100.0, deadline, repeatable, budget or RetryBudget())
    made.begin_attempt()
    return made


@pytest.mark.parametrize("status", [429, 503, 408, 421])
@pytest.mark.parametrize("repeatable", [True, False])
def test_after_a_status_that_promises_not_run_any_call_is_retried_after_the_stated_time(status, repeatable):
    assert call(repeatable).answered(100.0, status, {"retry-after": "0.25"}, b"") == Retry(0.25)


def test_retry_after_is_waited_for_a_third_of_the_time_left_at_most():
    assert call(True).answered(100.0, 503, {"retry-after": "60"}, b"") == Retry(1.0)


@pytest.mark.parametrize(
    "repeatable, before, cut", [(False, Retry, Unknown), (True, Retry, Retry)], ids=["effectful", "pure"]
)
def test_a_connection_that_ends_before_the_first_byte_and_after(repeatable, before, cut):
    assert isinstance(call(repeatable).failed(100.0, AttemptFailure.UNSENT, "refused"), before)
    # The connection breaks during or after the last byte of the request.
    assert isinstance(call(repeatable).failed(100.0, AttemptFailure.BROKEN, "reset"), cut)
    for status in (502, 504):
        assert isinstance(call(repeatable).answered(100.0, status, NO_HEADERS, b""), cut)


def test_an_effectful_call_that_may_have_run_never_ends_as_refused():
    made = call(False)
    assert isinstance(made.failed(100.0, AttemptFailure.BROKEN, "reset"), Unknown)
    repeated = call(True)  # a repeatable call: its first attempt breaks, all others are rejected
    repeated.failed(100.0, AttemptFailure.BROKEN, "reset")
    for _ in range(3):
        repeated.begin_attempt()
        end = repeated.answered(100.5, 503, NO_HEADERS, b"")
    assert isinstance(end, Unknown)


@pytest.mark.parametrize("status", [200, 204, 400, 401, 404, 413, 500])
def test_any_other_answer_is_final(status):
    assert call(True).answered(100.0, status, NO_HEADERS, b"x") == Answered(status, NO_HEADERS, b"x", 1)


def test_attempts_time_and_the_budget_of_all_calls_end_it():
    made = call(True)
    for _ in range(3):
        assert isinstance(made.answered(100.0, 503, NO_HEADERS, b""), Retry)
        made.begin_attempt()
    assert made.answered(100.0, 503, {"retry-after": "0.5"}, b"") == Refused(503, 0.5, 4)
    assert isinstance(call(True).answered(102.99, 503, NO_HEADERS, b""), Refused)
    budget = RetryBudget(slack=2.0)
    ends = [call(True, budget=budget).answered(100.0, 503, NO_HEADERS, b"") for _ in range(20)]
    # The full budget pays for two retries; then every fifth call adds one.
    assert sum(isinstance(end, Retry) for end in ends) == 2 + int(20 * 0.2) - 1


@pytest.mark.parametrize("wrong", [0.0, -1.0, float("nan")])
def test_a_deadline_that_is_not_positive_is_an_error(wrong):
    with pytest.raises(ValueError, match="deadline"):
        Call(0.0, wrong, True, RetryBudget())


def directory() -> Directory:
    return Directory(["d1:1", "d2:1"], "shop", "r", "z", 0.0, random.Random(1))


def directory_answer(*addresses: str, ttl: object = 2) -> bytes:
    return json.dumps({"addresses": addresses, "ttl_s": ttl}).encode()


def test_a_stale_answer_beats_none():
    d = directory()
    assert d.pick(0.0) is None and d.is_due(0.0)
    assert d.apply_answer(0.0, directory_answer("a:1")) and not d.is_due(1.9) and d.is_due(2.0)
    d.record_failure(2.0)
    assert d.pick(30.0) == "a:1" and not d.is_due(2.1) and d.is_due(2.3)


@pytest.mark.parametrize(
    "malformed",
    [
        b"",
        b"[]",
        b'{"addresses": []}',
        directory_answer(),
        directory_answer("a:1", ttl=0),
        directory_answer("a:1", ttl="x"),
        b'{"addresses": 3, "ttl_s": 1}',
    ],
)
def test_a_malformed_directory_answer_counts_as_none(malformed):
    d = directory()
    d.apply_answer(0.0, directory_answer("a:1"))
    assert not d.apply_answer(3.0, malformed) and d.pick(3.0) == "a:1"


def test_the_directories_are_asked_anew_once_every_known_address_has_failed():
    """A list with a single address was valid for another 0.86 s when the proxy at that address was killed.

    All four attempts of a call took 0.35 s together and went to that address, although a proxy in another zone was
    available: 12 of 60 reads ended as "Refused(status=0, tries=4)".
    """
    known = directory()
    assert known.apply_answer(0.0, directory_answer("a:1", ttl=5))
    assert not known.is_due(1.0)
    known.avoid(1.0, "a:1")
    assert known.is_due(1.0)
    assert known.apply_answer(1.0, directory_answer("a:1", ttl=5))  # the directory lists no other address yet
    assert not known.is_due(1.1) and known.is_due(1.0 + RETRY_INTERVAL_S)
    known.record_failure(1.3)
    assert not known.is_due(1.4) and known.pick(1.4) == "a:1"
    assert known.apply_answer(1.6, directory_answer("a:1", "b:1", ttl=5))
    assert not known.is_due(1.7) and known.pick(1.7) == "b:1"


def test_failed_addresses_are_avoided_for_a_while_and_removed_ones_are_not_picked():
    d = directory()
    d.apply_answer(0.0, directory_answer("a:1", "b:1"))
    d.avoid(0.0, "a:1")
    assert {d.pick(0.1) for _ in range(30)} == {"b:1"}
    d.avoid(0.1, "b:1")
    assert {d.pick(0.2) for _ in range(30)} == {"a:1", "b:1"}  # all have failed, so all are used
    assert {d.pick(AVOID_S + 0.2) for _ in range(30)} == {"a:1", "b:1"}
    d.apply_answer(5.0, directory_answer("c:1"))
    assert {d.pick(5.0) for _ in range(10)} == {"c:1"}


def test_a_retry_of_what_was_never_sent_costs_no_budget():
    budget = RetryBudget(slack=0.0)
    assert call(True, budget=budget).failed(100.0, AttemptFailure.UNSENT, "refused") == Retry(0.05)
    assert isinstance(call(True, budget=budget).failed(100.0, AttemptFailure.BROKEN, "reset"), Unknown)
