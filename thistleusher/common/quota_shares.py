"""Shares of the tenants' rate limits, and how many whole requests of one limit a share may hold in reserve.

The persisted shares lie side by side on the interval from 0 to 1, so each proxy has an interval of its own. If a
tenant's limit allows all proxies together to hold n whole requests, n points are spaced evenly on the interval, and a
proxy may hold as many requests as there are points in its interval. The sum over all proxies is thus at most n for any
number of proxies: 2,800 proxies hold no more than nine do, and most of them hold nothing of a small limit.

Shares are laid out in descending order. A later share is smaller than all earlier ones
(`LATER_SHARE_TO_SMALLEST_RATIO`) and is placed at the end, so a copy of the state without the newest shares has the
others at the same positions.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_timing import (
    ISOLATED_RESERVE_S,
    RESERVE_BURST_S,
    RESERVE_EXCESS_FRACTION,
    RESERVE_SLACK_FRACTION,
    SLOTS_PER_SPAN,
)

SHARE_ITEM = "share:"  # Prefix of the control state's items that hold the shares; the proxy's name follows.
HASH_VALUES = 2**32  # Number of values of CRC-32.


class ShareInterval(NamedTuple):
    """A proxy's half-open interval between 0 and 1; `end` is the `start` of the next one."""

    start: float
    end: float


class ReserveLimits(NamedTuple):
    """The maximum number of whole requests of one tenant that a proxy may hold in reserve.

    `reserve` applies in contact with the counter; it comes from the burst and from the excess that the guarantee
    allows. `isolated` applies out of contact and adds up to `ISOLATED_RESERVE_S` of the share's accrual; the counter
    keeps its deductions for that much longer, so they cover this addition.
    """

    reserve: int
    isolated: int


NO_RESERVE = ReserveLimits(0, 0)


def share_interval(shares: Mapping[str, float], proxy: str) -> ShareInterval | None:
    """Return the interval of a proxy's share among all persisted ones, or None if it has no share."""
    start = 0.0
    for name, share in sorted(shares.items(), key=lambda item: (-item[1], item[0])):
        end = start + share
        if name == proxy:
            return ShareInterval(start, end)
        start = end
    return None


def burst_in_reserve(rate_per_s: float, burst: float, span_s: float) -> float:
    """Return how much of a tenant's burst all proxies together hold in reserve, in requests.

    The part of the burst that is needed to sustain the rate is left out: a count leaves its span one slot late.
    """
    return min(RESERVE_BURST_S * rate_per_s, max(0.0, burst - rate_per_s * span_s / SLOTS_PER_SPAN))


def reserve_limits(
    interval: ShareInterval, tenant: str, rate_per_s: float, burst: float, bounds: Bounds
) -> ReserveLimits:
    """Return how many requests of a tenant's limit a proxy may hold in reserve."""
    excess = bounds.quota_excess * (rate_per_s * bounds.quota_window_s + burst)
    offset = zlib.crc32(tenant.encode()) / HASH_VALUES
    burst_reserve = burst_in_reserve(rate_per_s, burst, bounds.quota_window_s)
    total_reserve = math.floor(
        RESERVE_EXCESS_FRACTION * excess + RESERVE_SLACK_FRACTION * bounds.quota_slack + burst_reserve
    )
    reserve = _points_within(interval, total_reserve, offset)
    isolated_extra = _points_within(interval, math.floor(ISOLATED_RESERVE_S * rate_per_s), (offset + 0.5) % 1.0)
    return ReserveLimits(reserve, reserve + isolated_extra)


def _points_within(interval: ShareInterval, count: int, offset: float) -> int:
    """Return how many of the points (0 + offset) / count, (1 + offset) / count, ... lie in an interval.

    Both ends are rounded by the same expression, so a point on the border of two intervals lies in exactly one of them.
    """
    return math.ceil(interval.end * count - offset) - math.ceil(interval.start * count - offset)
