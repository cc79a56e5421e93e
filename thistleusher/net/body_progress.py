"""Whether a request's body still comes.

A client holds memory for a body from its head on, whatever it sends of it. One that sends a few bytes now and then
makes as little of that memory as one that has stopped.

Pure. Times are in seconds on a monotonic clock.
"""

from __future__ import annotations

INTERVAL_S = 0.5
# Lower bound of what comes in an interval: less than a client sends that is to send a megabyte within some seconds.
MIN_INTERVAL_BYTES = 16 * 1024


class BodyProgress:
    """How much of one body has come in the last interval."""

    def __init__(self) -> None:
        self._began_at = 0.0
        self._size = 0
        self.has_stalled = False  # Whether less than `MIN_INTERVAL_BYTES` came in the last whole interval

    def restart(self, now: float, size: int) -> None:
        """Begin an interval in which nothing has come yet; `size`: of what has come before."""
        self._began_at = now
        self._size = size
        self.has_stalled = False

    def update(self, now: float, size: int) -> None:
        """Note the size of what has come; to be called more often than once an interval."""
        if now - self._began_at < INTERVAL_S:
            return
        has_stalled = size - self._size < MIN_INTERVAL_BYTES
        self.restart(now, size)
        self.has_stalled = has_stalled
