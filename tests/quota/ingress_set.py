"""Test model: ingresses that share an allowance, the network between them, and the bucket that they must not exceed."""

from __future__ import annotations

import os
from typing import Any

from hypothesis import strategies as st

from thistleusher.quota.escrow import EscrowTable
from thistleusher.quota.messages import HEADER_BYTES
from thistleusher.quota.terms import WHOLE_SHARE, Terms, epoch_length

SEED = os.environ.get("SOAK_SEED")  # set it for new examples in longer runs; CI always uses the same examples
EXAMPLES = int(os.environ.get("LEDGER_EXAMPLES", "1200"))  # for a longer run: LEDGER_EXAMPLES=20000 python -m pytest
PLUS = Terms(10.0, 30.0)
BASIC = Terms(2.0, 8.0, min_burst=4.0)
START = 1000.0
INCARNATION = bytes(HEADER_BYTES - 1)


class ExactBucket:
    """Reference model: a single bucket with the allowance; fails if more is admitted than it would admit."""

    def __init__(self, terms: Terms, width: int) -> None:
        self.rate, self.most = terms.rate, terms.burst + width * terms.min_burst
        self.level, self.at, self.worst = 0.0, START, 0.0

    def add_units(self, now: float, units: float) -> None:
        self.level = max(0.0, self.level - self.rate * (now - self.at)) + units
        self.at = now
        self.worst = max(self.worst, self.level)
        assert self.level <= self.most + 1e-6, f"{self.level} units, {self.most} allowed"


class IngressSet:
    """Ingresses and a network between them that can lose, delay and duplicate messages."""

    def __init__(self, terms: Terms, count: int = 3, started_at: float = 0.0) -> None:
        self.terms, self.count, self.now = terms, count, START
        self.nodes = [EscrowTable(count, n, started_at, (terms,)) for n in range(count)]
        self.bucket = ExactBucket(terms, count)
        self.wire: list[tuple[int, int, bytes]] = []
        self.served = self.asked = 0

    def restart(self, node: int) -> None:
        """Replace an ingress by a new incarnation without state; messages sent by the old one stay in transit."""
        self.nodes[node] = EscrowTable(self.count, node, self.now, (self.terms,))
        self.send_handshakes(node)

    def send_handshakes(self, node: int) -> None:
        self.wire += [(node, peer, m) for peer, m in self.nodes[node].handshakes(self.now)]

    def ask(self, node: int, units: float, width: int = 0, first: int = 0) -> bool:
        self.asked += 1
        admitted = self.nodes[node].admit(self.now, 0, 7, first, width or self.count, units, 0.0)
        if admitted:
            self.served += 1
            self.bucket.add_units(self.now, units)
        for _, message in self.nodes[node].demands(self.now):  # demands go to all peers
            self.wire += [(node, other, message) for other in range(self.count) if other != node]
        return admitted

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, target, message = self.wire[index] if keep else self.wire.pop(index)
        self.wire += [(target, sender, a) for a in self.nodes[target].receive(self.now, sender, message)]
        self.check()

    def check(self) -> None:
        """Check that the shares in effect add up to at most the whole if all ingresses are in the same epoch."""
        own = [a for node in self.nodes for a in node.allowances.values()]
        if {a.epoch for a in own} == {int(self.now // epoch_length(self.terms))}:
            assert sum(a.share for a in own) <= WHOLE_SHARE, [
                (a.me, a.share, a.given_totals, a.received_totals, a.unreconciled) for a in own
            ]

    def settle(self) -> None:
        while self.wire:
            self.deliver(0)

    def step(self, kind: str, *args: Any) -> None:
        """Execute one step drawn from `STEP`."""
        if kind == "wait":
            self.now += args[0]
        elif kind == "ask":
            for _ in range(args[2]):
                self.ask(args[0], args[1])
        elif kind == "settle":
            self.settle()
        elif kind == "restart":
            self.restart(args[0])
        elif self.wire:
            index = args[0] % len(self.wire)
            if kind == "lose":
                self.wire.pop(index)
            else:
                self.deliver(index, keep=kind == "copy")


STEP = st.one_of(
    st.tuples(st.just("wait"), st.floats(0.0, 8.0)),
    st.tuples(st.just("wait"), st.floats(0.0, 0.2)),
    st.tuples(st.just("ask"), st.integers(0, 2), st.floats(0.1, 4.0), st.integers(1, 20)),
    st.tuples(st.just("deliver"), st.integers(0, 50)),
    st.tuples(st.just("copy"), st.integers(0, 50)),
    st.tuples(st.just("lose"), st.integers(0, 50)),
    st.tuples(st.just("settle")),
    st.tuples(st.just("restart"), st.integers(0, 2)),
)
