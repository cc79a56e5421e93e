"""Expected work of a request relative to the mean of its class, learned from the units and times of answers.

If units do not predict the time of an answer, every request counts as 1. Cost: constant per request.
Method: exponentially weighted simple linear regression (moments with exponential forgetting).
"""

from __future__ import annotations

from thistleusher.core.snapshots import LearnedClass

LEARNING_RATE = 0.02  # weight of one answer after the first 1 / LEARNING_RATE, which are weighted equally
MIN_ANSWERS = 20  # answers before which every request counts as 1
MIN_WORK = 0.25  # lower bound of a request's work
MAX_WORK = 8.0  # upper bound of a request's work


class WorkModel:
    """Linear regression of answer time over units within one class."""

    __slots__ = ("seen", "units", "variance", "time", "covariance")

    def __init__(self) -> None:
        self.seen = 0  # answers
        self.units = 0.0  # weighted mean
        self.time = 0.0  # weighted mean, seconds
        self.variance = 0.0  # weighted variance of units
        self.covariance = 0.0  # weighted covariance of units and time

    def update(self, units: float, elapsed: float) -> None:
        """Update the regression by an answer to a request of `units` that took `elapsed` seconds."""
        self.seen += 1
        weight = max(LEARNING_RATE, 1 / self.seen)
        units_off = units - self.units
        time_off = elapsed - self.time
        self.units += weight * units_off
        self.time += weight * time_off
        self.variance = (1 - weight) * (self.variance + weight * units_off * units_off)
        self.covariance = (1 - weight) * (self.covariance + weight * units_off * time_off)

    def expected(self, units: float) -> float:
        """Return the expected work of a request as a multiple of its class's mean."""
        if self.seen < MIN_ANSWERS or self.variance <= 0 or self.time <= 0:
            return 1.0
        slope = max(0.0, self.covariance / self.variance) / self.time
        return min(MAX_WORK, max(MIN_WORK, 1 + slope * (units - self.units)))

    def to_learned(self, latency: float, base_latency: float) -> LearnedClass:
        """Return the learned state for the next incarnation, with the class's latencies in seconds."""
        return LearnedClass(latency, base_latency, self.seen, self.units, self.time, self.variance, self.covariance)

    def restore(self, learned: LearnedClass) -> None:
        """Restore the learned state of an earlier incarnation."""
        self.seen = learned.seen
        self.units = learned.units
        self.time = learned.time
        self.variance = learned.variance
        self.covariance = learned.covariance
