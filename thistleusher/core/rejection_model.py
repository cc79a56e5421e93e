"""How often backends reject a class or plan: at each backend its last verdict, over all backends a moving share.

A backend that rejects more than the others is more expensive to choose, for a while; under overload all reject. Cost:
constant per verdict and per key of a choice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

REJECTION_COST = 4.0  # relative extra cost of a backend that always rejects the class or plan
REJECTION_DECAY_S = 10.0  # time constant with which a backend's last verdict on a class or plan decays
LEARNING_RATE = 0.1  # weight of one verdict in the moving share

Verdicts = dict[str, tuple[float, float]]  # one backend's, by class or plan: (1 rejected or 0 served, time)


class RejectionModel:
    """Moving shares of rejected attempts over all backends, by class and by plan (`key`)."""

    def __init__(self, keys: Iterable[str]) -> None:
        self.shares = dict.fromkeys(keys, 0.0)

    def add(self, key: str) -> None:
        """Add a class or plan."""
        self.shares.setdefault(key, 0.0)

    def record(self, now: float, verdicts: Verdicts, key: str, rejected: bool) -> None:
        """Record a backend's verdict on an attempt."""
        verdicts[key] = (float(rejected), now)
        self.shares[key] += LEARNING_RATE * (float(rejected) - self.shares[key])

    def cost_factor(self, now: float, verdicts: Verdicts, key: str) -> float:
        """Return the factor on the cost of a backend with these verdicts."""
        typical = self.shares[key]
        if key not in verdicts:
            return 1 + REJECTION_COST * typical
        last, at = verdicts[key]
        return 1 + REJECTION_COST * (typical + (last - typical) * math.exp((at - now) / REJECTION_DECAY_S))
