"""Eviction of idle customers and expired windows."""

from __future__ import annotations

from tests.helpers import Ingress
from thistleusher.core import events


def test_windows_that_peers_announce_are_forgotten():
    g = Ingress(peers=True)
    for k in range(100):
        g.now += 1.0
        g.give(events.PeerMessage(1, k.to_bytes(5)))
    g.give(events.PeerMessage(1, b""))
    assert len(g.gw.replication.exhausted) < 70


def test_customers_long_unheard_of_are_forgotten():
    """Many customers send only one request, so the table must not grow with uptime."""
    i = Ingress()
    for customer in range(4):
        i.ask(customer=customer)
    i.now += i.gw.replication.customers.retention + 1
    i.ask(customer=3)
    i.ask(customer=9)
    assert list(i.gw.replication.customers) == [3, 9]
    for customer in range(10, 20):  # no customer is evicted while its requests continue
        i.now += i.gw.replication.customers.retention / 4
        for known in (3, 9, customer):
            i.ask(customer=known)
    assert {3, 9, 19} <= set(i.gw.replication.customers) and 10 not in i.gw.replication.customers
    i.counter = "silent"
    i.ask(customer=30)
    i.now += 2 * i.gw.replication.customers.retention
    i.ask(customer=31)
    assert set(i.gw.replication.customers) == {30, 31}  # an outstanding call keeps its customer


def test_exhausted_windows_are_forgotten_though_some_are_announced_again():
    i = Ingress(peers=True)
    for n in range(1000):
        i.now += i.gw.replication.customers.retention / 10
        i.give(events.PeerMessage(1, b"again"))
        i.give(events.PeerMessage(1, b"w%d" % n))
    assert len(i.gw.replication.exhausted) <= 13
