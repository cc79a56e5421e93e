"""A new counter learns from proxies what was admitted before its start, and assumes the worst until it has done so."""

import pytest

from thistleusher.common.quota_timing import ALLOWED
from thistleusher.registry.quota_counter import QuotaCounter

RATE, BURST, SPAN_S = 100.0, 100.0, 5.0
STARTED_AT = 1000.0
SHARES = {"p1": 0.4, "p2": 0.4}


def new_counter():
    counter = QuotaCounter(STARTED_AT, SPAN_S)
    counter.configure({"t": (RATE, BURST)}, SHARES)
    return counter


def heartbeats(counter, now, names=("p1", "p2")):
    """Let proxies receive and confirm an echo of the counter, so that nothing is deducted for them."""
    for name in names:
        counter.shares.record_heartbeat(now, name, f"{name}@0.000", None)
        counter.shares.record_heartbeat(now + 0.05, name, f"{name}@0.000", now)


def admitted_at_once(counter, now):
    return sum(counter.charge(now, "t", 1).verdict == ALLOWED for _ in range(1000))


def test_without_reports_nothing_but_the_rate_is_granted_for_a_span():
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    assert admitted_at_once(counter, STARTED_AT + 0.2) <= 0.2 * RATE


@pytest.mark.parametrize("before,least", [(0, 85), (300, 85), (500, 35), (600, 0)])
def test_what_is_left_of_the_span_and_the_burst_is_granted_once_all_have_reported(before, least):
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    for name in SHARES:
        assert counter.record_admissions(
            STARTED_AT + 0.1, name, f"{name}@0.000", 10.0, {"t": [(1.0, before // 4), (2.0, before // 4)]}
        )
    granted = admitted_at_once(counter, STARTED_AT + 0.2)
    assert least <= granted <= min(BURST, RATE * SPAN_S + BURST - before)


@pytest.mark.parametrize("reporting", [["p1"], ["p2"], []])
def test_one_proxy_that_has_not_reported_keeps_the_worst_assumed(reporting):
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    for name in reporting:
        counter.record_admissions(STARTED_AT + 0.1, name, f"{name}@0.000", 10.0, {})
    assert admitted_at_once(counter, STARTED_AT + 0.2) <= 0.2 * RATE


def test_the_report_of_a_listed_proxy_without_a_share_is_awaited_too():
    counter = new_counter()
    counter.shares.expect_reports(["p3"])
    heartbeats(counter, STARTED_AT, ("p1", "p2", "p3"))
    for name in SHARES:
        counter.record_admissions(STARTED_AT + 0.1, name, f"{name}@0.000", 10.0, {})
    assert admitted_at_once(counter, STARTED_AT + 0.2) <= 0.2 * RATE
    counter.record_admissions(STARTED_AT + 0.2, "p3", "p3@0.000", 10.0, {})
    assert admitted_at_once(counter, STARTED_AT + 0.3) > 50


def test_a_new_proxy_does_not_know_what_its_predecessor_admitted():
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    counter.record_admissions(STARTED_AT + 0.1, "p1", "p1@0.000", 10.0, {})
    counter.record_admissions(STARTED_AT + 0.1, "p2", "p2@0.000", 2.0, {})  # Covers 1.9 s before the counter's start.
    assert admitted_at_once(counter, STARTED_AT + 0.2) <= 2.1 * RATE


def test_a_proxy_started_after_the_counter_does_not_undo_its_predecessors_report():
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    for name in SHARES:
        counter.record_admissions(STARTED_AT + 0.1, name, f"{name}@0.000", 10.0, {})
    counter.shares.record_heartbeat(STARTED_AT + 0.2, "p1", "p1@1000.150", None, 0.05)
    assert counter.record_admissions(STARTED_AT + 0.2, "p1", "p1@1000.150", 0.05, {})
    assert admitted_at_once(counter, STARTED_AT + 0.3) > 50


def test_a_report_counts_once_and_one_of_a_former_incarnation_never():
    counter = new_counter()
    heartbeats(counter, STARTED_AT)
    entries = {"t": [(1.0, 200)], "unlimited": [(1.0, 5)]}
    for _ in range(3):
        assert counter.record_admissions(STARTED_AT + 0.1, "p1", "p1@0.000", 10.0, entries)
    assert counter.windows["t"].in_span.total == 200
    counter.shares.record_heartbeat(STARTED_AT + 0.2, "p2", "p2@999.000", None)
    assert not counter.record_admissions(STARTED_AT + 0.2, "p2", "p2@0.000", 10.0, entries)
    assert not counter.record_admissions(STARTED_AT + 0.2, "unknown", "x@0.000", 10.0, entries)
    assert counter.windows["t"].in_span.total == 200
