"""Usage replication among ingresses that share a counter."""

from __future__ import annotations

import pytest

from tests.helpers import Ingress, only, some
from tests.policy.rig import PeerSet, serve
from thistleusher.core import events
from thistleusher.core.actions import Attempt, CounterAdd, Refuse, SendToPeer
from thistleusher.core.datagrams import USAGE_ENTRIES_MAX, USAGE_ENTRY, USAGE_MARK
from thistleusher.policy import gateway, usage_replication
from thistleusher.policy.health import DOWN_MISSES


def test_peers_know_of_what_is_admitted_elsewhere_without_a_call():
    s = PeerSet()
    serve(s.nodes[0], s.nodes[0].ask(units=3.0, width=3))
    s.notify()
    assert s.levels() == [pytest.approx(5.0)] * 3
    assert not s.nodes[0].gw.replication.notifier.outbox.pending
    assert max(len(a.payload) for a in some(s.nodes[0].log, SendToPeer)) <= 256


def test_more_than_one_message_holds_is_reported_the_longest_waiting_first():
    s = PeerSet()
    s.nodes[0].gw.replication.notifier.messages_max = 1
    for customer in range(50):
        serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3, customer=customer))
    s.notify()
    assert list(s.nodes[1].gw.replication.customers) == list(range(USAGE_ENTRIES_MAX))
    s.notify()
    assert list(s.nodes[1].gw.replication.customers) == list(range(50))


def test_what_a_total_and_a_peer_both_report_counts_once():
    s = PeerSet()
    serve(s.nodes[0], s.nodes[0].ask(units=3.0, width=3))
    serve(s.nodes[1], s.nodes[1].ask(units=1.0, width=3))  # the total is 4, and no peer has reported yet
    assert s.nodes[1].gw.replication.customers[7].headroom(s.nodes[1].now) == pytest.approx(4.0)
    s.notify()
    assert s.levels() == [pytest.approx(4.0)] * 3


def test_a_lost_message_is_made_up_for_by_the_next():
    s = PeerSet()
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.notify()
    serve(s.nodes[0], s.nodes[0].ask(units=2.0, width=3))
    s.notify(lost=0)
    assert s.levels() == [pytest.approx(x) for x in (5.0, 7.0, 7.0)]
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.notify()
    assert s.levels() == [pytest.approx(4.0)] * 3


def test_a_peer_that_starts_anew_begins_at_nothing():
    s = PeerSet()
    serve(s.nodes[0], s.nodes[0].ask(units=4.0, width=3))
    s.notify()
    s.nodes[0].gw.replication.customers.clear()
    s.advance(2.0)
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.notify()
    assert s.levels()[1] == pytest.approx(7.0)  # earlier usage is not credited


def test_a_charge_that_was_reversed_is_credited():
    s = PeerSet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3))
        s.notify()
    s.advance(5.0)
    name = only(s.nodes[0].ask(units=1.0, width=3), CounterAdd).name
    s.nodes[0].counts[name] += 7.0  # a charge of another ingress that will be reversed
    s.notify()
    only(s.nodes[1].ask(units=1.0, width=3), Refuse)
    s.nodes[0].counts[name] -= 7.0
    s.advance(usage_replication.EXCESS_MAX_AGE_S + 0.01)
    s.nodes[1].counter = "silent"
    s.notify()
    for n in (0, 2):
        s.nodes[1].give(events.PeerMessage(n, USAGE_MARK))
    s.nodes[1].gw.counters.by_number[0].call_share = 0.0
    only(s.nodes[1].ask(units=1.0, width=3), Attempt)


def test_while_the_counter_is_down_the_quota_holds_over_all_that_notify_one_another():
    """Regression: local shares rejected requests while another ingress left its share unused, or exceeded the quota."""
    s = PeerSet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3, customer=1))
    s.notify()
    for node in s.nodes:
        node.counter = "refusing"
    sent = 0
    for n in range(60):
        node = s.nodes[n % 2]  # the third ingress gets no requests
        sent += serve(node, node.ask(units=1.0, width=3))
        s.notify()
        s.nodes[2].give(events.TimerFired(gateway.NOTIFY_TIMER))
        for other in s.nodes[:2]:
            other.give(events.PeerMessage(2, USAGE_MARK))
        s.advance(0.1)
    assert 8 + 2 * 6 - 2 <= sent <= 8 + 2 * 6


def test_out_of_touch_with_a_peer_the_share_stands_in():
    s = PeerSet()
    s.advance(usage_replication.CONTACT_TIMEOUT_S + 0.1)
    node = s.nodes[0]
    node.counter = "refusing"
    for _ in range(DOWN_MISSES):
        node.ask(customer=1)
    assert sum(serve(node, node.ask(units=1.0, width=3)) for _ in range(8)) < 8


def test_while_totals_come_a_peer_that_restarts_does_not_bring_shares_back():
    s = PeerSet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3, customer=1))
    s.notify()
    s.advance(5.0)
    node = s.nodes[0]
    node.gw.counters.by_number[0].call_share = 0.0
    assert sum(serve(node, node.ask(units=1.0, width=3)) for _ in range(9)) == 8


def test_an_ingress_that_has_only_started_takes_a_peers_level_for_its_own():
    """Regression: without history it assumed almost full buckets and admitted what others had just rejected."""
    s = PeerSet()
    serve(s.nodes[0], s.nodes[0].ask(units=8.0, width=3))
    s.notify()
    s.nodes[2] = Ingress(instances=3, me=2, peers=True, peer_in_per_s=100.0, now=s.nodes[0].now)
    s.advance(1.0)
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.notify()
    assert s.levels()[2] == pytest.approx(1.0, abs=0.1)


def test_what_was_charged_and_never_sent_on_is_given_back():
    g = Ingress(backends=0)
    only(g.ask(units=3.0), CounterAdd)
    g.beat(3.0)
    only(g.log, Refuse)
    assert g.gw.replication.customers[7].pending == pytest.approx(-3.0)


@pytest.mark.parametrize("payload", [b"", USAGE_MARK, USAGE_MARK + bytes(7), USAGE_MARK + b"\xff" * 9, b"\x01" * 250])
def test_what_a_peer_cannot_mean_changes_nothing(payload):
    g = Ingress(peers=True, instances=3, peer_in_per_s=100.0)
    serve(g, g.ask(units=1.0))
    before = g.gw.replication.customers[7].headroom(g.now)
    g.give(events.PeerMessage(1, payload))
    assert g.gw.replication.customers[7].headroom(g.now) == before


def test_the_first_total_of_a_window_does_not_undo_what_a_peer_has_reported():
    g = Ingress(instances=2, peers=True, peer_in_per_s=100.0)
    entry = USAGE_ENTRY.pack((7 << 7).to_bytes(5), 24, 24, 25)  # 6 units admitted, a quarter of the burst is left
    g.give(events.PeerMessage(1, USAGE_MARK + entry))
    c = g.gw.replication.customers[7]
    assert c.headroom(g.now) == pytest.approx(2.0)
    g.counts[c.count_name(g.now)] = 6.0
    assert some(g.ask(), Attempt)  # the total is 7 now
    assert c.headroom(g.now) == pytest.approx(1.0)
    assert some(g.ask(units=2.0), Refuse)
