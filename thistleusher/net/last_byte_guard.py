"""Decides when the last byte of a request is delayed until its connection has proved to be open.

A backend runs a request once its last byte has arrived. If the connection closes at about the time the whole request is
written, the request may have run, so a request of a non-idempotent class has failed for good. So if connections have
recently closed during requests, the last byte is written `HOLD_S` after the rest, and only if the connection is still
open: a request whose connection breaks before that has certainly not run.

No input or output: times are passed in, in seconds on a monotonic clock.
"""

from __future__ import annotations

HOLD_S = 0.003  # delay of the last byte: one round trip, and some time for a busy peer
ACTIVE_S = 30.0  # time for which requests are guarded after a connection closed during a request or early while idle
EARLY_SHARE = 0.1  # an idle connection closed before this fraction of the agreed idle time-out counts as closed early


class LastByteGuard:
    """Decides from recent connection closes whether requests are guarded. Costs one comparison per request."""

    def __init__(self, idle_timeout_s: float) -> None:
        """`idle_timeout_s`: the time for which backends have agreed to keep idle connections open."""
        self.early_s = EARLY_SHARE * idle_timeout_s
        self.active_until = float("-inf")

    @staticmethod
    def hold_time() -> float:
        """Return the delay of a guarded request's last byte, in seconds."""
        return HOLD_S

    def connection_broke(self, now: float) -> None:
        """Record that a connection closed during a request."""
        self.active_until = max(self.active_until, now + ACTIVE_S)

    def found_closed(self, now: float, idle_since: float) -> None:
        """Record that the backend has closed a connection that was idle since `idle_since`."""
        if now - idle_since < self.early_s:
            self.connection_broke(now)

    def is_active(self, now: float) -> bool:
        """Return whether requests are guarded now."""
        return now < self.active_until
