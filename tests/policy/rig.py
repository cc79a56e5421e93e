"""What several tests of the decision module share."""

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


def full(**more) -> Ingress:
    """An ingress that has seen the customer before, and whose store has filled since."""
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
            # A customer that is met from here on is followed from its first request.
            node.now += node.gw.replication.customers.retention
        self.notify()

    def notify(self, lost: int = -1) -> None:
        """Have the notification timers of all ring; the messages of `lost` are lost."""
        for node in self.nodes:
            sent = some(node.give(events.TimerFired(gateway.NOTIFY_TIMER)), SendToPeer)
            for other in self.nodes:
                for t in sent:
                    if other is not node and node.gw.settings.me != lost:
                        other.give(events.PeerMessage(node.gw.settings.me, t.payload))

    def later(self, seconds: float) -> None:
        for node in self.nodes:
            node.now += seconds

    def levels(self, customer: int = 7) -> list[float]:
        return [n.gw.replication.customers[customer].headroom(n.now) for n in self.nodes]


def finals(actions):
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def ejections(g, why):
    return [a.text for a in g.log if isinstance(a, Log) and why in a.text]


ROOMY = (PlanSettings("basic", rate=1e6, burst=1e6),)
