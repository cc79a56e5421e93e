"""Decides when the last byte of a request is delayed until its connection has proved to be open.

A backend runs a request once its last byte has arrived. If the connection closes at about the time the last byte
is written, the request may have run, so a request of a non-idempotent class has failed for good. So if connections have
recently closed during requests, the last byte is written `LAST_BYTE_DELAY_S` after the rest, and only if the connection
is still open: a request whose connection breaks before that has certainly not run.

No input or output: times are passed in, in seconds on a monotonic clock.
"""

from __future__ import annotations

LAST_BYTE_DELAY_S = 0.003  # delay of the last byte: one round trip, and some time for a busy peer
# Requests are guarded for this long after a connection has closed during a request, or early while idle.
GUARD_DURATION_S = 30.0
# A backend that closes an idle connection before this fraction of the agreed idle time-out closes it early.
EARLY_CLOSE_FRACTION = 0.1


class LastByteGuard:
    """Decides from recent connection closes whether requests are guarded. Costs one comparison per request."""

    def __init__(self, idle_timeout_s: float) -> None:
        """`idle_timeout_s`: the time for which backends have agreed to keep idle connections open."""
        self.early_close_s = EARLY_CLOSE_FRACTION * idle_timeout_s
        self.active_until = float("-inf")

    @staticmethod
    def last_byte_delay() -> float:
        """Return the delay of a guarded request's last byte, in seconds."""
        return LAST_BYTE_DELAY_S

    def record_broken_connection(self, now: float) -> None:
        """Record that a connection closed during a request."""
        self.active_until = max(self.active_until, now + GUARD_DURATION_S)

    def record_closed_while_idle(self, now: float, idle_since: float) -> None:
        """Record that the backend has closed a connection that was idle since `idle_since`."""
        if now - idle_since < self.early_close_s:
            self.record_broken_connection(now)

    def is_active(self, now: float) -> bool:
        """Return whether requests are guarded now."""
        return now < self.active_until
