"""When an ingress that is told to end closes its door.

It may be killed a while after it was told, and not sooner: a planned end lasts at least as long as the longest answer
may take. Who is in front may learn late that it ends and goes on dealing requests to it, and whoever finds the door
closed is refused. So it stays open for as long as somebody comes, and closes in time for everything to be answered.

Pure: times are handed in, in seconds on a clock that never goes back.
"""

from __future__ import annotations

QUIET_S = 0.3  # without a request, after which nobody comes any more; looks at /healthz are none
LONGEST_S = 3.0  # that requests are given at a planned end, however long their class allows
MORE_S = 0.7  # beyond that, before an ingress is killed
LAST_S = 0.35  # kept of it: for last words and for a busy moment
SHORT_S = 0.05  # under which a request cannot be served any more


class GracefulShutdown:
    """One planned end, from the moment at which it was told."""

    def __init__(self, told: float, longest: float) -> None:
        """`longest`: seconds that a request may take by its class."""
        self.end = told + min(longest, LONGEST_S) + MORE_S - LAST_S
        self.last = told

    def came(self, now: float) -> None:
        """A request has come."""
        self.last = now

    def open(self, now: float) -> bool:
        """Whether the door stays open."""
        return now < self.end - SHORT_S and now - self.last < QUIET_S

    def left(self, now: float) -> float:
        """Seconds in which a request that comes now must be answered; 0 where it cannot be served any more."""
        left = self.end - now
        return left if left > SHORT_S else 0.0
