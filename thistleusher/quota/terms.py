"""Terms of an allowance, and what follows from them: the epoch's length and the share that is never given away."""

from __future__ import annotations

from typing import NamedTuple

WHOLE_SHARE = 1 << 12  # a share is counted in parts of this
GRAINS_PER_UNIT = 64  # headroom is transferred in grains
GUARANTEED_FRACTION = 0.5  # of its even share, that an ingress never gives away
MIN_EPOCH_S = 0.5

AllowanceKey = tuple[int, int]  # number of the plan in the settings, customer


class Terms(NamedTuple):
    """An allowance of a customer, shared by the ingresses of its set.

    rate, burst: units a second, and units at once
    min_burst: the least that one ingress may let in at once, however small its share
    joint_start_burst: units that a set may let in at once whose ingresses start together and know of nothing before
    strict: never exceeded for the sake of service; else whoever starts has its share at once, and its part of
        `joint_start_burst` unless a peer has known an earlier incarnation of it
    prefetch_below: headroom below which peers are asked for more before it is needed
    """

    rate: float
    burst: float
    min_burst: float = 0.0
    joint_start_burst: float = 0.0
    strict: bool = True
    prefetch_below: float = 0.0


def epoch_length(terms: Terms) -> float:
    """Return the seconds of an epoch: that in which the whole burst fills, twice over.

    At its start shares are even again, and within it they find their places again.
    """
    return max(MIN_EPOCH_S, 2 * terms.burst / terms.rate)


def guaranteed_share(width: int) -> int:
    """Return the part of the even share in a set of `width` ingresses that none of them gives away."""
    return max(1, int(GUARANTEED_FRACTION * (WHOLE_SHARE // width)))
