"""When a request's last byte is held back until its connection has shown that it stands.

A request runs once its last byte has come. One that is written whole to a connection which ends just then may have run,
and where its class is unsafe to repeat it has failed for good. So while connections are seen to end under requests, the
last byte follows the rest a moment later, if the connection is still there: what breaks before has never run.

Pure: times are handed in, in seconds on a clock that never goes back.
"""

from __future__ import annotations

HOLD_S = 0.003  # between the rest and the last byte: the way there and back, and a busy moment
WARY_S = 30.0  # after a connection has ended under a request, or sooner than agreed, in which requests are guarded
EARLY = 0.1  # of the agreed idle time, before which the other side's end of a connection is a sign too


class LastByteGuard:
    """Whether connections to backends have ended at bad moments of late; costs a comparison a request."""

    def __init__(self, idle: float) -> None:
        """`idle`: seconds for which backends keep idle connections, as agreed."""
        self.early = EARLY * idle
        self.until = float("-inf")

    @staticmethod
    def hold() -> float:
        """Seconds between a guarded request's other bytes and its last one."""
        return HOLD_S

    def broke(self, now: float) -> None:
        """A connection ended under a request."""
        self.until = max(self.until, now + WARY_S)

    def found_closed(self, now: float, idle_since: float) -> None:
        """An idle connection was found ended by the other side."""
        if now - idle_since < self.early:
            self.broke(now)

    def wary(self, now: float) -> bool:
        """Whether requests are to be guarded now."""
        return now < self.until
