"""Demands: what an ingress asks of its peers where its headroom is short.

Bounded: one message at a time is sent to all peers, or in a large fleet one to each of a few peers of the sets, with an
interval between that keeps demands and their answers within half of what an ingress takes in.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from itertools import islice

from thistleusher.quota import messages
from thistleusher.quota.allowance import Allowance
from thistleusher.quota.messages import BALANCE_REQUEST_MARK, DEMAND_MARK, MAX_FIELD, MAX_TRANSFER_ROWS
from thistleusher.quota.terms import GRAINS_PER_UNIT, AllowanceKey
from thistleusher.quota.transfers import transfer_row

DEMAND_INTERVAL_S = 0.05  # between two demands of one allowance, and between two messages
PEERS_ASKED = 4  # of a set that are asked at once in a large fleet
PREFETCH_FRACTION = 1 / 4  # of the headroom at most, below which more is asked for ahead


class DemandQueue:
    """Allowances whose headroom is short; the longest waiting is sent first."""

    def __init__(self, me: int, interval: float, interval_per_peer: float | None) -> None:
        """Start empty.

        interval: seconds at least between two messages; each brings two answers a peer at most
        interval_per_peer: of a large fleet, in which demands go to peers of the set only, seconds for each peer asked
        """
        self.me = me
        self.interval = interval
        self.interval_per_peer = interval_per_peer
        self.pending: dict[AllowanceKey, float] = {}  # units wanted of each peer
        self._last_sent_at = -math.inf

    def check(self, now: float, key: AllowanceKey, allowance: Allowance, units: float) -> None:
        """Ask peers for what is missing to `units`, also ahead of the next request."""
        ahead = min(allowance.terms.prefetch_below, allowance.max_headroom() * PREFETCH_FRACTION)
        short = units + ahead - allowance.headroom
        if short <= 0 or len(allowance.members) <= 1 or allowance.is_wide():
            return
        if now - allowance.last_demand_at >= DEMAND_INTERVAL_S:
            allowance.last_demand_at = now
            # Of each peer twice its part: some have less.
            self.pending[key] = min(short, 2 * short / self._count_asked(allowance))

    def _count_asked(self, allowance: Allowance) -> int:
        """Return how many peers of the set are asked at once: in a large fleet a few, others the next time."""
        others = len(allowance.members) - 1
        if self.interval_per_peer is None or allowance.unreconciled:
            return others
        return min(others, PEERS_ASKED)

    def _next_asked(self, allowance: Allowance) -> list[int]:
        """Return the peers of the set whose turn it is, and move on by as many."""
        others = [peer for peer in allowance.members if peer != self.me]
        count = self._count_asked(allowance)
        allowance.last_asked = (allowance.last_asked + count) % max(1, len(others))
        return [others[(allowance.last_asked + n) % len(others)] for n in range(count)]

    def due_messages(
        self, now: float, allowances: Mapping[AllowanceKey, Allowance], incarnation: int
    ) -> list[tuple[int | None, bytes]]:
        """Return the messages that are due, to whom (None: to all peers); each demand goes once, the rest waits.

        Peers with whom this ingress is not reconciled yet are asked for their balances as well. A message holds demands
        of one kind only: that of the longest waiting.
        """
        if not self.pending or now - self._last_sent_at < self.interval:
            return []
        self._last_sent_at = now
        unreconciled = _is_unreconciled(allowances, next(iter(self.pending)))
        rows: dict[int | None, list[bytes]] = {}
        count = 0
        for key in list(islice(self.pending, 4 * MAX_TRANSFER_ROWS)):
            if count >= MAX_TRANSFER_ROWS or _is_unreconciled(allowances, key) != unreconciled:
                continue
            units, allowance = self.pending.pop(key), allowances.get(key)
            if allowance is None:
                continue
            grains = max(0, min(MAX_FIELD, int(units * GRAINS_PER_UNIT) + 1))
            row = transfer_row(key, allowance, 0, grains)
            count += 1
            for peer in (None,) if self.interval_per_peer is None else self._next_asked(allowance):
                rows.setdefault(peer, []).append(row)
        if self.interval_per_peer is not None:
            self.interval = max(DEMAND_INTERVAL_S, self.interval_per_peer * len(rows))
        mark = BALANCE_REQUEST_MARK if unreconciled else DEMAND_MARK
        return [
            (peer, message)
            for peer, peer_rows in rows.items()
            for message in messages.encode_rows(mark, incarnation, peer_rows)
        ]


def _is_unreconciled(allowances: Mapping[AllowanceKey, Allowance], key: AllowanceKey) -> bool:
    allowance = allowances.get(key)
    return allowance is not None and bool(allowance.unreconciled)
