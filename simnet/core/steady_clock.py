"""Monotonic clocks of simulated machines, with drift."""

from __future__ import annotations

import random

ORIGIN_SPREAD_S = 1e5  # range of the readings at virtual time 0
MAX_DRIFT = 0.01  # maximum relative error of the rate of a clock


class SteadyClock:
    """A monotonic clock with a random origin and a random, constant rate close to 1."""

    def __init__(self, rng: random.Random) -> None:
        self._offset = rng.random() * ORIGIN_SPREAD_S
        self._rate = 1.0 + MAX_DRIFT * (2 * rng.random() - 1)

    def time(self, now: float) -> float:
        """Return the reading at the virtual time `now`."""
        return self._offset + now * self._rate
