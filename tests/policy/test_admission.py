"""Admission by the counter's totals, and by local state while the counter fails."""

from __future__ import annotations

import pytest

from tests.helpers import CEILED, PLAN, Ingress, only, some
from tests.policy.rig import ingress_with_full_bucket, serve
from thistleusher.core import events
from thistleusher.core.actions import Attempt, CounterAdd, Log, Refuse
from thistleusher.core.events import Outcome
from thistleusher.core.settings import PlanSettings
from thistleusher.policy.health import DOWN_MISSES


def test_one_add_of_the_units_then_sent():
    g = Ingress()
    acts = g.ask(units=3.0)
    assert only(acts, CounterAdd).amount == 3.0
    only(acts, Attempt)


def test_at_the_allowance_admitted_over_it_refused_and_added_back():
    g = ingress_with_full_bucket()
    first = g.ask(units=8.0)
    name = only(first, CounterAdd).name
    only(first, Attempt)
    g.gw.counters.by_number[0].calls_per_request = 0.0  # prevents a rejection without a call
    acts = g.ask(units=1.0)
    assert [a.amount for a in some(acts, CounterAdd)] == [1.0, -1.0]
    only(acts, Refuse)
    assert not some(acts, Attempt)
    assert g.counts[name] == 8.0


def test_usage_by_another_ingress_counts():
    g = Ingress()
    name = only(g.ask(units=1.0), CounterAdd).name
    g.counts[name] += 7.0
    only(g.ask(units=1.0), Refuse)


def test_sure_refusal_needs_no_call_but_most_requests_ask():
    g = ingress_with_full_bucket()
    serve(g, g.ask(units=8.0))
    calls = sum(len(some(g.ask(units=4.0), CounterAdd)) > 0 for _ in range(100))
    assert 30 <= calls < 100  # each request that calls makes two calls: the charge and its reversal


def test_refill_carries_over_window_edges_without_a_second_burst():
    g = Ingress()
    sent = 0
    for _ in range(400):  # 20 s (five windows) of constant load above the quota
        sent += serve(g, g.ask(units=1.0))
        g.now += 0.05
    assert PLAN.burst + 20 * PLAN.rate * 0.9 <= sent <= PLAN.burst + 20 * PLAN.rate + 1


def test_true_units_are_reconciled_with_the_next_call():
    g = Ingress()
    g.end(only(g.ask(units=1.0), Attempt), true=3.0)
    assert only(g.ask(units=1.0), CounterAdd).amount == pytest.approx(3.0)


def test_windows_of_customers_turn_at_different_times():
    g = Ingress()
    for k in range(20):
        g.ask(customer=k)
    phases = {round(c.phase, 6) for c in g.gw.replication.customers.values()}
    assert len(phases) == 20


def test_counter_back_empty_gives_no_second_burst():
    g = ingress_with_full_bucket()
    serve(g, g.ask(units=4.0))
    serve(g, g.ask(units=4.0))
    g.counts.clear()
    g.gw.counters.by_number[0].calls_per_request = 0.0
    only(g.ask(units=2.0), Refuse)


@pytest.mark.parametrize("fault", ["refusing", "timeout"])
def test_counter_faults_admit_by_local_share_and_report_later(fault):
    g = Ingress()
    g.counter = fault
    for k in range(300):  # other customers' calls detect the fault first
        serve(g, g.ask(customer=100 + k))
    sent = sum(serve(g, g.ask(units=1.0, width=2)) for _ in range(30))
    assert 1 <= sent <= PLAN.burst  # at least one request, at most one burst
    assert some(g.log, Log)
    g.counter = "up"
    for _ in range(40):  # one request in five still calls the counter
        g.now += 0.1
        serve(g, g.ask(units=1.0))
    assert g.gw.counters.by_number[0].misses == 0
    if fault == "refusing":  # nothing was added, so the usage is reported now
        assert sum(g.counts.values()) >= sent


def test_pending_usage_is_counted_once_while_the_counter_is_down():
    # Regression: a failed call added its charge to the pending usage although the local decision had added it already,
    # so customers within their quota were rejected.
    g = Ingress()
    g.counter = "refusing"
    for k in range(60):
        serve(g, g.ask(customer=100 + k))
    g.gw.counters.by_number[0].call_share = 1.0  # the next request calls
    before = g.gw.counters.by_number[0].misses
    serve(g, g.ask(units=1.0))
    assert g.gw.counters.by_number[0].misses > before
    assert g.gw.replication.customers[7].pending == pytest.approx(1.0)


def test_silent_counter_holds_a_request_only_until_its_call_ends():
    g = Ingress()
    g.counter = "silent"
    call = only(g.ask(), CounterAdd)
    assert not some(g.log, Attempt)
    g.counter = "up"
    only(g.give(events.CounterReply(call.name, Outcome.TIMEOUT, 0.08, 0.0)), Attempt)


def test_a_hurried_request_does_not_wait_for_the_counter():
    g = Ingress()
    g.counter = "silent"
    g.gw.fleet.latency["read"] = g.gw.fleet.base_latency["read"] = 0.02
    only(g.ask(expires=0.1), Attempt)


def test_ceiling_holds_in_an_outage_even_if_every_peer_admits_all_it_may():
    seconds, width, sent = 20.0, 3, 0.0
    for _ in range(width):
        g = Ingress()
        g.counter = "refusing"
        t = 0.0
        while t < seconds:
            sent += serve(g, g.ask(units=1.0, plan="plus", width=width))
            g.now += 0.02
            t += 0.02
    assert sent <= CEILED.ceiling_burst + CEILED.ceiling_rate * seconds
    assert sent >= 0.4 * CEILED.rate * seconds


def test_ceiling_leaves_room_for_peers_while_the_counter_answers_some():
    # Regression: timed-out calls to an overloaded counter counted as added, so admissions exceeded the ceiling.
    g = Ingress()
    g.counter = "timeout"
    acts = g.ask(units=1.0, plan="plus", width=2)
    assert some(acts, Attempt)
    assert g.gw.replication.customers[7].pending == pytest.approx(1.0)  # reported again, as it may not have been added
    # The ceiling is 1.6 times the quota. Each of two ingresses may use 0.3 of the bucket while totals also admit,
    # and 0.8 of it while the counter is down.
    for alone, units in ((False, 6.0), (True, 16.0)):
        g.gw.counters.by_number[0].misses = DOWN_MISSES if alone else 0
        for more, kind in ((0.1, Refuse), (-0.1, Attempt)):
            g.now += 100.0  # the bucket is full again
            g.gw.replication.customers[7].pending, g.gw.replication.customers[7].local_share = 0.0, 1.0
            g.gw.counters.by_number[0].call_share = 0.0
            only(g.ask(units=units + more, plan="plus", width=2), kind)


def test_a_restart_in_an_outage_does_not_hand_the_ceiling_out_twice():
    g = Ingress()
    g.counter = "refusing"
    sent = sum(serve(g, g.ask(units=1.0, plan="plus", width=2)) for _ in range(40))
    assert sent <= (CEILED.ceiling_burst - CEILED.burst) / 2 + 1


def test_stray_counter_reply_changes_nothing():
    g = Ingress()
    assert g.give(events.CounterReply(12345, Outcome.OK, 0.001, 4.0)) == []


def test_count_answered_after_the_client_left():
    g = Ingress()
    g.counter = "silent"
    call = only(g.ask(), CounterAdd)
    g.give(events.ClientGone("r1"))
    acts = g.give(events.CounterReply(call.name, Outcome.OK, 0.001, 1.0))
    assert not some(acts, Attempt) and not some(acts, Refuse)


def test_without_history_most_of_a_burst_is_carried_over_but_not_all():
    # Regression: with half a burst assumed, customers rarely seen at an ingress were rejected under low load; with a
    # whole burst assumed, quota was exceeded at window edges.
    g = Ingress()
    g.gw.counters.by_number[0].calls_per_request = 0.0
    sent = sum(serve(g, g.ask(units=1.0)) for _ in range(20))
    into = (g.now + g.gw.replication.customers[7].phase) % g.gw.replication.customers[7].window_length
    assert 0.5 * PLAN.burst < sent <= min(PLAN.burst, 0.8 * PLAN.burst + PLAN.rate * into)


def test_what_no_slot_can_serve_in_time_is_not_charged():
    # Regression: requests that were rejected for lack of a slot had been charged, which used up the quota, and peers
    # were notified of that usage.
    g = Ingress(backends=1)
    g.gw.fleet.slots, g.gw.fleet.latency["read"] = 1.0, 5.0
    g.ask(customer=1)
    acts = g.ask(customer=2)
    only(acts, Refuse)
    assert not some(acts, CounterAdd)


def test_a_plan_without_a_rate_is_never_refused_by_chance():
    # Regression: with a burst of 0 every share counted as below one request, so requests were admitted by probability,
    # which each admission lowered.
    g = Ingress(plans=(PlanSettings("open", rate=0.0, burst=0.0),))
    assert sum(serve(g, g.ask(plan="open", width=3)) for _ in range(100)) == 100


def test_an_unreadable_total_was_added_and_is_not_reported_again():
    """Reporting the units again after an unreadable reply would charge the customer twice for one request."""
    g = Ingress()
    g.counter = "silent"
    name = only(g.ask(units=3.0), CounterAdd).name
    only(g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0)), Attempt)
    assert only(g.ask(units=1.0), CounterAdd).amount == 1.0
    only(g.give(events.CounterReply(name, Outcome.OK, 0.001, 4.0)), Attempt)
    only(g.ask(units=4.0), CounterAdd)
    only(g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0)), Attempt)
    g.gw.counters.by_number[0].calls_per_request = 0.0  # prevents a rejection without a call
    only(g.ask(units=2.0), CounterAdd)
    acts = g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0))  # 10 of 8 units: rejected and reversed
    only(acts, Refuse)
    assert only(acts, CounterAdd).amount == -2.0 and g.gw.counters.by_number[0].misses == 0
