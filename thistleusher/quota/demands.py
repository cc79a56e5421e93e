"""Demands: requests to peers for headroom and share when an ingress runs short of headroom.

Bounded: one message at a time goes to all peers or, in a large deployment, one to each of a few peers of the ingress
set. The interval between messages keeps demands and their answers within half of the messages that an ingress accepts.
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

DEMAND_INTERVAL_S = 0.05  # minimum interval between demands for one allowance, and between messages of demands
MAX_PEERS_PER_DEMAND = 4  # maximum number of peers that get one demand in a large deployment
PREFETCH_FRACTION = 1 / 4  # demand in advance when headroom falls below this fraction of its maximum


class DemandQueue:
    """Allowances that are short of headroom; the demand of the longest-waiting allowance is sent first."""

    def __init__(self, me: int, interval: float, interval_per_peer: float | None) -> None:
        """Create an empty queue.

        interval: minimum seconds between two messages; each message causes at most two answers per peer
        interval_per_peer: in a large deployment, where demands go only to peers of the ingress set, the seconds to wait
            per peer asked; None in a small one
        """
        self.me = me
        self.interval = interval
        self.interval_per_peer = interval_per_peer
        self.pending: dict[AllowanceKey, float] = {}  # units to demand from each peer
        self._last_sent_at = -math.inf

    def add_if_short(self, now: float, key: AllowanceKey, allowance: Allowance, units: float) -> None:
        """Queue a demand if headroom is short of `units` plus the amount that is requested in advance."""
        prefetch = min(allowance.terms.prefetch_below, allowance.max_headroom() * PREFETCH_FRACTION)
        shortfall = units + prefetch - allowance.headroom
        if shortfall <= 0 or len(allowance.members) <= 1 or allowance.even_share_below_unit():
            return
        if now - allowance.last_demand_at >= DEMAND_INTERVAL_S:
            allowance.last_demand_at = now
            # Demand twice an even split of the shortfall from each peer, as some peers have less.
            self.pending[key] = min(shortfall, 2 * shortfall / self._peers_per_demand(allowance))

    def _peers_per_demand(self, allowance: Allowance) -> int:
        """Return how many peers of the ingress set get one demand: all, or a few at a time in a large deployment."""
        others = len(allowance.members) - 1
        if self.interval_per_peer is None or allowance.unreconciled:
            return others
        return min(others, MAX_PEERS_PER_DEMAND)

    def _next_peers(self, allowance: Allowance) -> list[int]:
        """Return the next peers of the ingress set in rotation, and advance the rotation by their number."""
        others = [peer for peer in allowance.members if peer != self.me]
        count = self._peers_per_demand(allowance)
        allowance.last_asked = (allowance.last_asked + count) % max(1, len(others))
        return [others[(allowance.last_asked + n) % len(others)] for n in range(count)]

    def due_messages(
        self, now: float, allowances: Mapping[AllowanceKey, Allowance], incarnation: int
    ) -> list[tuple[int | None, bytes]]:
        """Return the messages that are due as (peer, message), with peer None for all; each demand is sent once.

        Demands for an unreconciled allowance are sent as balance requests. All messages of one call are of one kind,
        that of the demand that has waited longest; other demands stay queued.
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
            for peer in (None,) if self.interval_per_peer is None else self._next_peers(allowance):
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
