"""Helpers shared by the tests of gossip."""

from __future__ import annotations

from thistleusher.core import events
from thistleusher.gossip import Gossip


def request(name: str = "r1", first: int = 190, width: int = 120, units: float = 2.0) -> events.Request:
    return events.Request(name, "read", "basic", (1 << 33) - 1, 6.0, units, width, first)


def gossip(me: int = 3, instances: int = 200) -> Gossip:
    return Gossip(instances, me, 100.0, 28, 0.08, 0.0)
