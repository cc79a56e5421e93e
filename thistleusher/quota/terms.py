"""Terms of an allowance, and the epoch length and guaranteed share that follow from them."""

from __future__ import annotations

from typing import NamedTuple

WHOLE_SHARE = 1 << 12  # integer that represents a share of 1; shares are integer fractions of it
GRAINS_PER_UNIT = 64  # headroom is transferred in grains, i.e. in 64ths of a unit
GUARANTEED_FRACTION = 0.5  # fraction of its even share that an ingress never gives away
MIN_EPOCH_S = 0.5

AllowanceKey = tuple[int, int]  # number of the plan in the settings, customer


class Terms(NamedTuple):
    """A customer's allowance, shared by the ingresses of its ingress set.

    rate, burst: units a second, and units at once
    min_burst: units that one ingress may admit at once, however small its share
    simultaneous_start_burst: units that an ingress set may admit at once if its ingresses start together and know of no
        earlier incarnations
    strict: whether the allowance has priority over availability; if not, an ingress that starts gets its even share
        immediately, and its share of `simultaneous_start_burst` unless a peer knew an earlier incarnation of it
    prefetch_below: headroom below which more is demanded from peers before it is needed
    """

    rate: float
    burst: float
    min_burst: float = 0.0
    simultaneous_start_burst: float = 0.0
    strict: bool = True
    prefetch_below: float = 0.0


def epoch_length(terms: Terms) -> float:
    """Return the length of an epoch in seconds: twice the time in which the whole burst refills.

    At the start of an epoch shares are reset to even; within it, transfers move them to where the traffic is.
    """
    return max(MIN_EPOCH_S, 2 * terms.burst / terms.rate)


def guaranteed_share(width: int) -> int:
    """Return the part of the even share in a set of `width` ingresses that none of them ever gives away."""
    return max(1, int(GUARANTEED_FRACTION * (WHOLE_SHARE // width)))
