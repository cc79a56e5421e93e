"""Customers whose requests are spread over so many ingresses that an even share is below one unit."""

from __future__ import annotations

from tests.helpers import PLAN, Ingress, only, some
from tests.policy.rig import serve
from thistleusher.core import events
from thistleusher.core.actions import CounterAdd, Refuse, SendToPeer
from thistleusher.core.customer import Customer
from thistleusher.policy.health import CALL_INTERVAL_S


def test_wide_customer_gets_one_burst_a_window_without_history():
    # Regression: each ingress assumed an almost full bucket at first sight, so every window exceeded the quota.
    peers = [Ingress(instances=60) for _ in range(60)]
    shared: dict[int, float] = {}
    sent = 0.0
    for step in range(240):  # 24 s, six windows, four times the quota
        g = peers[step % 60]
        g.now, g.counts, g.gw.counters.by_number[0].call_share = 100.0 + step * 0.1, shared, 1.0
        sent += serve(g, g.ask(units=1.0, width=60))
    assert 5 * PLAN.burst <= sent <= 7 * PLAN.burst


def test_whatever_the_share_of_calls_a_request_calls_once_a_second():
    g = Ingress(instances=300)
    health = g.gw.counters.by_number[0]
    health.call_share = 0.0
    assert some(g.ask(width=300), CounterAdd)
    health.call_share = 0.0
    assert not some(g.ask(width=300), CounterAdd)
    g.now += CALL_INTERVAL_S
    assert some(g.ask(width=300), CounterAdd)


def test_share_under_one_request_admits_whole_ones_by_chance():
    # Regression: a share below one request rejected every request while the counter was overloaded.
    g = Ingress(instances=300)
    health = g.gw.counters.by_number[0]
    health.call_share, health.last_called = 0.0, g.now  # the call interval has not passed
    sent = sum(serve(g, g.ask(customer=k, width=300)) for k in range(100))
    assert sent == 100  # an unknown customer is probably within its quota
    sent = 0
    for k in range(1000, 1200):
        g.gw.replication.customers[k] = Customer(k, PLAN, g.now)
        g.gw.replication.customers[k].admitted_share = 0.3
        sent += serve(g, g.ask(customer=k, width=300))
    assert 30 <= sent <= 90  # customers with recent rejections keep their admission probability


def test_charge_stands_for_requests_that_do_not_call():
    g = Ingress(instances=300)
    amounts = set()
    for k in range(40):
        g.gw.counters.by_number[0].call_share = 0.5
        amounts |= {a.amount for a in some(g.ask(customer=k, width=300), CounterAdd)}
    assert amounts == {2.0}


def test_an_exhausted_window_is_announced_to_peers_who_refuse_without_a_call():
    g = Ingress(instances=300, peers=True)
    g.gw.counters.by_number[0].call_share = 1.0
    name = only(g.ask(units=1.0, width=300), CounterAdd).name
    g.counts[name] = 20.0
    announced = only(g.ask(units=1.0, width=300), SendToPeer)
    assert announced.peer is None and len(announced.payload) == 5
    other = Ingress(instances=300, peers=True)
    other.gw.counters.by_number[0].call_share = 0.9
    other.give(events.PeerMessage(3, announced.payload))
    acts = other.ask(units=1.0, width=300)
    only(acts, Refuse)
    assert not some(acts, CounterAdd)
    other.now += 8 * PLAN.burst / PLAN.rate  # a later window
    assert not some(other.ask(units=1.0, width=300), Refuse)


def test_a_customer_without_history_that_returns_soon_is_admitted_less():
    # Regression: in a counter outage every customer without history was admitted without limit.
    g = Ingress(instances=300)
    g.counter = "silent"
    g.gw.counters.by_number[0].call_share = 0.0
    assert sum(serve(g, g.ask(width=300)) for _ in range(100)) <= 20
