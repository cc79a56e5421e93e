"""Helpers shared by the tests of the decision module."""

from __future__ import annotations

from tests.helpers import Ingress, some
from thistleusher.core import events
from thistleusher.core.actions import (
    Action,
    Attempt,
    Fail,
    Log,
    Refuse,
    SendToPeer,
)
from thistleusher.core.settings import PlanSettings
from thistleusher.policy import gateway


def serve(g: Ingress, actions: list[Action]) -> bool:
    sent = some(actions, Attempt)
    for a in sent:
        g.end(a)
    return bool(sent)


def ingress_with_full_bucket(**more) -> Ingress:
    """Return an ingress that knows the customer and whose bucket has refilled since the first request."""
    g = Ingress(**more)
    serve(g, g.ask(units=1.0))
    g.now += 5.0
    return g


class PeerSet:
    """Three ingresses that share the counter and notify one another of what they admit."""

    def __init__(self) -> None:
        self.nodes = [Ingress(instances=3, me=n, peers=True, peer_in_per_s=100.0, seed=n) for n in range(3)]
        for node in self.nodes:
            node.counts = self.nodes[0].counts
            # Later customers are known from their first request, as the ingress is older than the retention time.
            node.now += node.gw.replication.customers.retention
        self.notify()

    def notify(self, lost: int = -1) -> None:
        """Fire the notification timer of every ingress, and drop the messages of ingress `lost`."""
        for node in self.nodes:
            sent = some(node.give(events.TimerFired(gateway.NOTIFY_TIMER)), SendToPeer)
            for other in self.nodes:
                for t in sent:
                    if other is not node and node.gw.settings.me != lost:
                        other.give(events.PeerMessage(node.gw.settings.me, t.payload))

    def advance(self, seconds: float) -> None:
        for node in self.nodes:
            node.now += seconds

    def levels(self, customer: int = 7) -> list[float]:
        return [n.gw.replication.customers[customer].headroom(n.now) for n in self.nodes]


def finals(actions):
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def ejections(g, why):
    return [a.text for a in g.log if isinstance(a, Log) and why in a.text]


LARGE_QUOTA = (PlanSettings("basic", rate=1e6, burst=1e6),)
