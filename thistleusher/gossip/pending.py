"""Requests that wait for shares which peers were asked for: few at once, each for a bounded time; pure.

An ingress whose share of a ceiling is short asks peers of the set, and what they give comes a round trip later: too
late for a request that is rejected at once, though the set has headroom. So it waits, is looked at again with each
transfer, and is decided on for good when its time is up.

Guaranteed: a request is here once; it leaves with `take` or `expire`, at its deadline at the latest. Cost: constant a
request; a transfer costs a look at all that wait, `MAX_PENDING` at most.
"""

from __future__ import annotations

MAX_PENDING = 64  # requests that wait at once; beyond it none does


class PendingRequests:
    """Names of requests and their deadlines, in seconds of one clock; in the order in which they came."""

    def __init__(self) -> None:
        """Begin with none."""
        self._deadlines: dict[str, float] = {}

    def add(self, request: str, deadline: float) -> bool:
        """Keep a request until its deadline; return False where too many wait."""
        if len(self._deadlines) >= MAX_PENDING:
            return False
        self._deadlines[request] = deadline
        return True

    def take(self) -> list[str]:
        """Return all of them, to be looked at again; they are pending no longer."""
        requests = list(self._deadlines)
        self._deadlines.clear()
        return requests

    def expire(self, now: float) -> list[str]:
        """Return those whose time is up; they are pending no longer."""
        requests = [request for request, deadline in self._deadlines.items() if deadline <= now]
        for request in requests:
            del self._deadlines[request]
        return requests

    def next_deadline(self) -> float | None:
        """Return when the first one's time is up; None where none waits."""
        return min(self._deadlines.values(), default=None)
