"""When a proxy that shuts down closes its listener. Pure; seconds on the steady clock."""

from __future__ import annotations

from thistleusher.net.shutdown import GracefulShutdown

MAX_OPEN_S = 3.2  # after the shutdown was announced, in which clients may still come
RESERVE_S = 0.5  # kept of the time before the process is killed
MIN_DURATION_S = 1.0


class ProxyGracefulShutdown(GracefulShutdown):
    """A graceful shutdown within `grace_s`: the listener closes early enough for the requests that came last."""

    def __init__(self, announced_at: float, grace_s: float) -> None:
        super().__init__(announced_at, 0.0)
        self.closes_at = announced_at + min(MAX_OPEN_S, grace_s / 2)
        self.deadline = announced_at + max(MIN_DURATION_S, grace_s - RESERVE_S)

    def accepts_requests(self, now: float) -> bool:
        """Return whether the listener stays open."""
        return now < self.closes_at and super().accepts_requests(now)
