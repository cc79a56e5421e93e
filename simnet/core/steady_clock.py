"""Steady clocks of simulated machines."""

from __future__ import annotations

import random

ORIGIN_SPREAD_S = 1e5
MOST_DRIFT = 0.01  # by which a steady clock runs fast or slow at most


class SteadyClock:
    """A clock with an origin of its own that runs a little fast or slow."""

    def __init__(self, rng: random.Random) -> None:
        self._offset = rng.random() * ORIGIN_SPREAD_S
        self._rate = 1.0 + MOST_DRIFT * (2 * rng.random() - 1)

    def time(self, now: float) -> float:
        """Return what it shows at a virtual time."""
        return self._offset + now * self._rate
