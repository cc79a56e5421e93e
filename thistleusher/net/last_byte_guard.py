"""When the last byte of a request is held back until its connection has proved to be open.

A backend runs a request once its last byte has arrived. If the connection closes around the moment at which the whole
request is written, the request may have run, and a class that is unsafe to repeat has then failed for good. So while
connections are seen to close under requests, the last byte follows the rest a moment later, and only if the connection
is still open: a request whose connection breaks before that has certainly not run.

Pure: times are passed in, in seconds on a clock that never goes back.
"""

from __future__ import annotations

HOLD_S = 0.003  # between the rest and the last byte: one round trip and a busy moment
ACTIVE_S = 30.0  # for which requests are guarded after a connection has closed under one, or early while idle
EARLY_SHARE = 0.1  # of the agreed idle time; an idle connection that its backend closes before that counts, too


class LastByteGuard:
    """Decides whether requests are guarded, by how connections have closed lately; one comparison a request."""

    def __init__(self, idle_timeout_s: float) -> None:
        """`idle_timeout_s`: for how long backends keep idle connections, as agreed."""
        self.early_s = EARLY_SHARE * idle_timeout_s
        self.active_until = float("-inf")

    @staticmethod
    def hold_time() -> float:
        """Return the seconds between a guarded request's other bytes and its last one."""
        return HOLD_S

    def connection_broke(self, now: float) -> None:
        """Record that a connection closed under a request."""
        self.active_until = max(self.active_until, now + ACTIVE_S)

    def found_closed(self, now: float, idle_since: float) -> None:
        """Record that the backend had closed a connection that was idle since then."""
        if now - idle_since < self.early_s:
            self.connection_broke(now)

    def is_active(self, now: float) -> bool:
        """Return whether requests are guarded now."""
        return now < self.active_until
