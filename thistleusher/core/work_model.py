"""How much work a request is against the mean of its class, learned from the units and times of answers.

Where units say nothing of the time of an answer, every request counts as 1. Cost: constant a request.
Source: exponentially weighted simple linear regression (moments with forgetting).
"""

from __future__ import annotations

from thistleusher.core.snapshots import LearnedClass

LEARNING_RATE = 0.02  # weight of one answer, once there are more than 1 / LEARNING_RATE
MIN_ANSWERS = 20  # before which all requests count alike
MIN_WORK = 0.25  # least that a request counts
MAX_WORK = 8.0  # most that a request counts


class WorkModel:
    """The regression line of answer time over units within one class."""

    __slots__ = ("seen", "units", "variance", "time", "covariance")

    def __init__(self) -> None:
        self.seen = 0
        self.units = 0.0  # weighted mean
        self.time = 0.0  # weighted mean, seconds
        self.variance = 0.0  # of units
        self.covariance = 0.0  # of units and time

    def learn(self, units: float, elapsed: float) -> None:
        """Take in an answer to a request of so many units that took so many seconds."""
        self.seen += 1
        weight = max(LEARNING_RATE, 1 / self.seen)
        units_off = units - self.units
        time_off = elapsed - self.time
        self.units += weight * units_off
        self.time += weight * time_off
        self.variance = (1 - weight) * (self.variance + weight * units_off * units_off)
        self.covariance = (1 - weight) * (self.covariance + weight * units_off * time_off)

    def expected(self, units: float) -> float:
        """Return the expected work of a request as a multiple of the mean of its class."""
        if self.seen < MIN_ANSWERS or self.variance <= 0 or self.time <= 0:
            return 1.0
        slope = max(0.0, self.covariance / self.variance) / self.time
        return min(MAX_WORK, max(MIN_WORK, 1 + slope * (units - self.units)))

    def to_learned(self, latency: float, base_latency: float) -> LearnedClass:
        """Return what the next incarnation can go on from, with the class's latencies in seconds."""
        return LearnedClass(latency, base_latency, self.seen, self.units, self.time, self.variance, self.covariance)

    def restore(self, learned: LearnedClass) -> None:
        """Go on from what an earlier incarnation had learned."""
        self.seen = learned.seen
        self.units = learned.units
        self.time = learned.time
        self.variance = learned.variance
        self.covariance = learned.covariance
