"""When an ingress that shuts down stops taking requests.

After SIGTERM an ingress may be killed, but not before the longest response may have been given. The front that sends
it requests may learn of the shutdown late, and a request that finds the listener closed is refused. So the listener
stays open for as long as requests come, and closes in time for all of them to be answered.

Pure: times are passed in, in seconds on a clock that never goes back.
"""

from __future__ import annotations

QUIET_PERIOD_S = 0.3  # without a request, after which none is expected any more; GET /healthz does not count
MAX_REQUEST_S = 3.0  # that a request is given during a shutdown, however much its class allows
KILL_DELAY_S = 0.7  # beyond the longest request, before an ingress is killed
RESERVE_S = 0.35  # part of `KILL_DELAY_S` that no request may use: for the last messages and for a busy moment
MIN_REQUEST_S = 0.05  # with less time left a request cannot be served any more


class GracefulShutdown:
    """One graceful shutdown, from the signal on.

    `deadline` is the time by which every request must have its response.
    """

    def __init__(self, started_at: float, longest_request_s: float) -> None:
        """`longest_request_s`: the longest deadline of all request classes."""
        self.deadline = started_at + min(longest_request_s, MAX_REQUEST_S) + KILL_DELAY_S - RESERVE_S
        self.last_request_at = started_at

    def request_arrived(self, now: float) -> None:
        """Record that a request has come."""
        self.last_request_at = now

    def accepts_requests(self, now: float) -> bool:
        """Return whether the listener stays open."""
        return now < self.deadline - MIN_REQUEST_S and now - self.last_request_at < QUIET_PERIOD_S

    def time_left(self, now: float) -> float:
        """Return the seconds in which a request that comes now must be answered; 0 if it cannot be served any more."""
        left = self.deadline - now
        return left if left > MIN_REQUEST_S else 0.0
