"""How much work a request is, as against the mean of its class: learned from answers by the units told.

Where told units say nothing of the time that an answer takes, every request counts as 1. Cost: constant a request.
Source: exponentially weighted simple linear regression (moments with forgetting).
"""

from __future__ import annotations

LEARN = 0.02      # weight of one answer, once there are more than 1 / LEARN
FIRST = 20        # answers before which all requests count alike
LEAST, MOST = 0.25, 8.0  # of a class's mean that a request counts at least, at most


class WorkOfClass:
    """The line of answer time over told units within one class."""

    __slots__ = ("seen", "units", "spread", "time", "both")

    def __init__(self) -> None:
        self.seen = 0
        self.units, self.time = 0.0, 0.0  # weighted means
        self.spread, self.both = 0.0, 0.0  # variance of units, covariance of units and time

    def learn(self, units: float, elapsed: float) -> None:
        """An answer to a request of so many told units took so many seconds."""
        self.seen += 1
        w = max(LEARN, 1 / self.seen)
        du, dt = units - self.units, elapsed - self.time
        self.units += w * du
        self.time += w * dt
        self.spread = (1 - w) * (self.spread + w * du * du)
        self.both = (1 - w) * (self.both + w * du * dt)

    def of(self, units: float) -> float:
        """Expected work of a request as a multiple of the mean of its class."""
        if self.seen < FIRST or self.spread <= 0 or self.time <= 0:
            return 1.0
        slope = max(0.0, self.both / self.spread) / self.time
        return min(MOST, max(LEAST, 1 + slope * (units - self.units)))
