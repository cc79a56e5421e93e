"""Requests that wait for shares demanded from peers; bounded in number, each for a bounded time. Pure.

An ingress whose share of a ceiling is too small demands more from the peers of the ingress set, and their transfers
arrive one round trip later. A request that is rejected immediately would miss them although the ingress set has
headroom. So the request waits, is reconsidered after each transfer, and gets a final decision at its deadline.

Guarantee: a request is held once, and leaves with `take` or `expire`, at its deadline at the latest. Cost: constant per
request; a transfer costs one check of each waiting request, at most `MAX_PENDING`.
"""

from __future__ import annotations

MAX_PENDING = 64  # maximum number of waiting requests; further requests do not wait


class PendingRequests:
    """Ids of waiting requests with their deadlines in seconds of one clock, in order of arrival."""

    def __init__(self) -> None:
        """Start without requests."""
        self._deadlines: dict[str, float] = {}

    def add(self, request: str, deadline: float) -> bool:
        """Hold a request until its deadline; return False if too many requests wait already."""
        if len(self._deadlines) >= MAX_PENDING:
            return False
        self._deadlines[request] = deadline
        return True

    def take(self) -> list[str]:
        """Remove and return all requests, to be reconsidered."""
        requests = list(self._deadlines)
        self._deadlines.clear()
        return requests

    def expire(self, now: float) -> list[str]:
        """Remove and return the requests whose deadline has passed."""
        requests = [request for request, deadline in self._deadlines.items() if deadline <= now]
        for request in requests:
            del self._deadlines[request]
        return requests

    def next_deadline(self) -> float | None:
        """Return the earliest deadline; None if no request waits."""
        return min(self._deadlines.values(), default=None)
