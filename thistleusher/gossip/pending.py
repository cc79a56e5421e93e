"""Requests that wait for shares which peers were asked for: few at once, each for a bounded time; pure.

An ingress whose share of a ceiling is short asks peers of the set, and their gifts come a round trip later: too late
for a request that is refused at once, though the set has room. So it waits, is looked at again with each gift, and is
decided on for good when its time is up.

Guaranteed: a request is here once; it leaves with `take` or `overdue`, at its due time at the latest. Cost: constant a
request; a gift costs a look at all that wait, `MOST` at most.
"""

from __future__ import annotations

MOST = 64  # requests that wait at once; beyond it none does


class PendingRequests:
    """Names of requests and until when each waits, in seconds of one clock; who came first is first."""

    def __init__(self) -> None:
        self.until: dict[str, float] = {}

    def hold(self, request: str, due: float) -> bool:
        """Keep one until `due`; False where too many wait."""
        if len(self.until) >= MOST:
            return False
        self.until[request] = due
        return True

    def take(self) -> list[str]:
        """All of them, to be looked at again; they are kept no longer."""
        names = list(self.until)
        self.until.clear()
        return names

    def overdue(self, now: float) -> list[str]:
        """Those whose time is up; they are kept no longer."""
        names = [name for name, due in self.until.items() if due <= now]
        for name in names:
            del self.until[name]
        return names

    def due(self) -> float | None:
        """When the first one's time is up; None where none waits."""
        return min(self.until.values(), default=None)
