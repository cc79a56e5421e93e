"""Decides when the end of a request's head is delayed until its connection has proved to be open.

A backend may run a request once its head is complete, before it has read the body. If the connection closes at about
the time the head is completed, the request may have run, so a request of a non-idempotent class has failed for good. So
if connections have recently closed during requests, the blank line that ends the head is written `HEAD_END_DELAY_S`
after the lines before it, and only if the connection is still open: a request whose connection breaks before that has
certainly not run.

No input or output: times are passed in, in seconds on a monotonic clock.
"""

from __future__ import annotations

HEAD_END_DELAY_S = 0.003  # delay of the head's end: one round trip, and some time for a busy peer
# Requests are guarded for this long after a connection has closed during a request, or early while idle.
GUARD_DURATION_S = 30.0
# A backend that closes an idle connection before this fraction of the agreed idle time-out closes it early.
EARLY_CLOSE_FRACTION = 0.1


class HeadGuard:
    """Decides from recent connection closes whether requests are guarded. Costs one comparison per request."""

    def __init__(self, idle_timeout_s: float) -> None:
        """`idle_timeout_s`: the time for which backends have agreed to keep idle connections open."""
        self.early_close_s = EARLY_CLOSE_FRACTION * idle_timeout_s
        self.active_until = float("-inf")

    @staticmethod
    def head_end_delay() -> float:
        """Return the delay of the end of a guarded request's head, in seconds."""
        return HEAD_END_DELAY_S

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
