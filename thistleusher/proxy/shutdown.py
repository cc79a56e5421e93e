"""When a proxy that shuts down closes its listener. Free of I/O; times are seconds on the monotonic clock."""

from __future__ import annotations

from thistleusher.net.shutdown import GracefulShutdown

MAX_OPEN_S = 3.2  # longest time after the announcement for which the listener accepts requests
KILL_RESERVE_S = 0.5  # part of the grace period kept between the last answer and the kill
MIN_DURATION_S = 1.0  # lower bound of the time until the deadline for answers


class ProxyGracefulShutdown(GracefulShutdown):
    """A graceful shutdown within `grace_s`; the listener closes early enough to serve the last requests accepted."""

    def __init__(self, announced_at: float, grace_s: float) -> None:
        super().__init__(announced_at, 0.0)
        self.closes_at = announced_at + min(MAX_OPEN_S, grace_s / 2)
        self.deadline = announced_at + max(MIN_DURATION_S, grace_s - KILL_RESERVE_S)

    def accepts_requests(self, now: float) -> bool:
        """Return whether the listener stays open."""
        return now < self.closes_at and super().accepts_requests(now)
