"""Decides when an ingress that shuts down stops accepting requests.

After SIGTERM an ingress may be killed, but not before the longest request has had time to finish. The front that sends
it requests may learn of the shutdown late, and its connections are refused once the listener is closed. So the listener
stays open while requests arrive, and closes early enough for all of them to be answered.

No input or output: times are passed in, in seconds on a monotonic clock.
"""

from __future__ import annotations

QUIET_PERIOD_S = 0.3  # time without a request after which no more are expected; GET /healthz does not count
MAX_REQUEST_S = 3.0  # upper limit of a request's time during a shutdown, even if its class allows more
KILL_DELAY_S = 0.7  # time from the end of the longest request to the earliest kill
RESERVE_S = 0.35  # part of `KILL_DELAY_S` not available to requests, kept for the last messages and scheduling delays
MIN_REQUEST_S = 0.05  # a request with less time left than this cannot be served


class GracefulShutdown:
    """One graceful shutdown, starting at the signal.

    `deadline` is the time by which every request must have been answered.
    """

    def __init__(self, started_at: float, longest_request_s: float) -> None:
        """`longest_request_s`: the longest deadline of all request classes, in seconds."""
        self.deadline = started_at + min(longest_request_s, MAX_REQUEST_S) + KILL_DELAY_S - RESERVE_S
        self.last_request_at = started_at

    def request_arrived(self, now: float) -> None:
        """Record that a request has arrived."""
        self.last_request_at = now

    def accepts_requests(self, now: float) -> bool:
        """Return whether the listener should stay open."""
        return now < self.deadline - MIN_REQUEST_S and now - self.last_request_at < QUIET_PERIOD_S

    def time_left(self, now: float) -> float:
        """Return the seconds in which a request that arrives now must be answered; 0 if it cannot be served."""
        left = self.deadline - now
        return left if left > MIN_REQUEST_S else 0.0
