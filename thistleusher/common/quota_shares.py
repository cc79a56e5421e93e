"""Shares of all tenants' rate limits, and how many whole requests of one limit a share may hold unspent.

The persisted shares lie side by side on the interval from 0 to 1, so each ingress has an interval of its own. A tenant
whose limit allows all ingresses together to hold n whole requests has n points on it, evenly spaced; an ingress holds
as many as lie in its interval. So the sum over all ingresses is n at most, whatever their number: 2,800 ingresses hold
no more than nine do, and of a small limit most of them hold nothing.

Shares are laid out from the largest on. A later share is smaller than all before it (`LATER_SHARE_OF_SMALLEST`) and
goes to the end, so a copy of the state that lacks the newest shares has the others at the same places.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_timing import (
    CARRIED_S,
    RESERVE_OF_BURST_S,
    RESERVE_OF_EXCESS,
    RESERVE_OF_SLACK,
    SLOTS_PER_SPAN,
)

SHARE_ITEM = "share:"  # prefix of the shares, which are items of the control state, by ingress
HASH_VALUES = 2**32


class ShareInterval(NamedTuple):
    """An ingress's part of the interval from 0 to 1: from `start` up to `end`, which is the next one's start."""

    start: float
    end: float


class Holding(NamedTuple):
    """The whole requests of one tenant that an ingress may hold unspent.

    `reserve`: while in contact with the counter, out of the burst and of what the guarantee allows beyond the limit.
    `isolated`: out of contact, where the counter deducts what the share accrues, for `CARRIED_S` longer than it may.
    """

    reserve: int
    isolated: int


NOTHING_HELD = Holding(0, 0)


def share_interval(shares: Mapping[str, float], ingress: str) -> ShareInterval | None:
    """Return the interval of an ingress's share among all persisted ones, None where it has none."""
    start = 0.0
    for name, share in sorted(shares.items(), key=lambda item: (-item[1], item[0])):
        end = start + share
        if name == ingress:
            return ShareInterval(start, end)
        start = end
    return None


def burst_in_reserve(rate_per_s: float, burst: float, span_s: float) -> float:
    """Return how much of a tenant's burst all ingresses together hold in reserve, in requests.

    A burst that the rate needs, as a count leaves its span a slot late, is not touched.
    """
    return min(RESERVE_OF_BURST_S * rate_per_s, max(0.0, burst - rate_per_s * span_s / SLOTS_PER_SPAN))


def holding(interval: ShareInterval, tenant: str, rate_per_s: float, burst: float, bounds: Bounds) -> Holding:
    """Return what an ingress may hold of a tenant's limit."""
    excess = bounds.quota_excess * (rate_per_s * bounds.quota_window_s + burst)
    offset = zlib.crc32(tenant.encode()) / HASH_VALUES
    of_burst = burst_in_reserve(rate_per_s, burst, bounds.quota_window_s)
    in_reserve = math.floor(RESERVE_OF_EXCESS * excess + RESERVE_OF_SLACK * bounds.quota_slack + of_burst)
    reserve = _points_within(interval, in_reserve, offset)
    carried = _points_within(interval, math.floor(CARRIED_S * rate_per_s), (offset + 0.5) % 1.0)
    return Holding(reserve, reserve + carried)


def _points_within(interval: ShareInterval, count: int, offset: float) -> int:
    """Return how many of the points (0 + offset) / count, (1 + offset) / count, ... lie in an interval.

    Both ends are rounded by the same expression, so that a point on the border of two intervals lies in one of them.
    """
    return math.ceil(interval.end * count - offset) - math.ceil(interval.start * count - offset)
