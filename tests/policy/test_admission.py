"""Admission by the counter, and what replaces it while it fails."""

from __future__ import annotations

import pytest

from tests.helpers import CEILED, PLAN, Ingress, only, some
from tests.policy.rig import full, serve
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
    g = full()
    first = g.ask(units=8.0)
    name = only(first, CounterAdd).name
    only(first, Attempt)
    g.gw.counters.by_number[0].calls_per_request = 0.0  # no refusal without a call
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
    g = full()
    serve(g, g.ask(units=8.0))
    calls = sum(len(some(g.ask(units=4.0), CounterAdd)) > 0 for _ in range(100))
    assert 30 <= calls < 100  # two calls for each that asks: add and add back


def test_refill_carries_over_window_edges_without_a_second_burst():
    g = Ingress()
    sent = 0
    for _ in range(400):  # 20 s of steady excess over five windows
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
    g = full()
    serve(g, g.ask(units=4.0))
    serve(g, g.ask(units=4.0))
    g.counts.clear()
    g.gw.counters.by_number[0].calls_per_request = 0.0
    only(g.ask(units=2.0), Refuse)


@pytest.mark.parametrize("trouble", ["refusing", "timeout"])
def test_counter_faults_admit_by_local_share_and_report_later(trouble):
    g = Ingress()
    g.counter = trouble
    for k in range(300):  # others find the trouble first
        serve(g, g.ask(customer=100 + k))
    sent = sum(serve(g, g.ask(units=1.0, width=2)) for _ in range(30))
    assert 1 <= sent <= PLAN.burst  # its share of one burst, never stalled, never all
    assert some(g.log, Log)
    g.counter = "up"
    for _ in range(40):  # one request in five still calls
        g.now += 0.1
        serve(g, g.ask(units=1.0))
    assert g.gw.counters.by_number[0].misses == 0
    if trouble == "refusing":  # nothing was added, so it is reported now
        assert sum(g.counts.values()) >= sent


def test_pending_usage_is_counted_once_while_the_counter_is_down():
    # Refused calls once put their charge back on top of the local one, and starved calm customers.
    g = Ingress()
    g.counter = "refusing"
    for k in range(60):
        serve(g, g.ask(customer=100 + k))
    g.gw.counters.by_number[0].call_share = 1.0  # this one calls
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
    # Timed-out adds on a crowded counter were taken as counted and leaked past the ceiling.
    g = Ingress()
    g.counter = "timeout"
    acts = g.ask(units=1.0, plan="plus", width=2)
    assert some(acts, Attempt)
    assert g.gw.replication.customers[7].pending == pytest.approx(1.0)  # reported again, as it may not have counted
    # Between the quota and the ceiling each of two may use 0.3 of what the store holds, alone 0.8 of it.
    for alone, units in ((False, 6.0), (True, 16.0)):
        g.gw.counters.by_number[0].misses = DOWN_MISSES if alone else 0
        for more, kind in ((0.1, Refuse), (-0.1, Attempt)):
            g.now += 100.0  # full again
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
    # Half a burst refused customers seldom seen at an ingress on quiet days; a whole one gave edges away.
    g = Ingress()
    g.gw.counters.by_number[0].calls_per_request = 0.0
    sent = sum(serve(g, g.ask(units=1.0)) for _ in range(20))
    into = (g.now + g.gw.replication.customers[7].phase) % g.gw.replication.customers[7].window_length
    assert 0.5 * PLAN.burst < sent <= min(PLAN.burst, 0.8 * PLAN.burst + PLAN.rate * into)


def test_what_no_slot_can_serve_in_time_is_not_charged():
    # Charges of requests then refused for want of a slot used the quota up, and peers were notified of it.
    g = Ingress(backends=1)
    g.gw.fleet.slots, g.gw.fleet.latency["read"] = 1.0, 5.0
    g.ask(customer=1)
    acts = g.ask(customer=2)
    only(acts, Refuse)
    assert not some(acts, CounterAdd)


def test_a_plan_without_a_rate_is_never_refused_by_chance():
    # Its burst of nothing made every share look under one request, and each one admitted lowered the chance.
    g = Ingress(plans=(PlanSettings("open", rate=0.0, burst=0.0),))
    assert sum(serve(g, g.ask(plan="open", width=3)) for _ in range(100)) == 100


def test_an_unreadable_total_was_added_and_is_not_reported_again():
    """Reported again, a spoilt reply would charge the customer twice for one request."""
    g = Ingress()
    g.counter = "silent"
    name = only(g.ask(units=3.0), CounterAdd).name
    only(g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0)), Attempt)
    assert only(g.ask(units=1.0), CounterAdd).amount == 1.0
    only(g.give(events.CounterReply(name, Outcome.OK, 0.001, 4.0)), Attempt)
    only(g.ask(units=4.0), CounterAdd)
    only(g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0)), Attempt)
    g.gw.counters.by_number[0].calls_per_request = 0.0  # no refusal without a call
    only(g.ask(units=2.0), CounterAdd)
    acts = g.give(events.CounterReply(name, Outcome.ERROR, 0.001, 0.0))  # 10 of 8: refused and added back
    only(acts, Refuse)
    assert only(acts, CounterAdd).amount == -2.0 and g.gw.counters.by_number[0].misses == 0
