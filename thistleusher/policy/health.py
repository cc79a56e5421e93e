"""Health of a counter, which sets the share of requests that call it. Backend health is in `policy.fleet`."""

from __future__ import annotations

DOWN_MISSES = 8  # consecutive failed calls after which the counter counts as down, not just as overloaded
TARGET_WAIT = 0.3  # mean wait for an answer, as a fraction of the time-out, at which the call share stays constant
MIN_STEP = 0.1  # smallest gain with which an answer adjusts the call share; the seconds since the last answer raise it
CALL_INTERVAL_S = 1.0  # time without a call after which a request calls regardless of the call share
SILENT_S = 1.0  # time with only failed calls after which totals count as unavailable
MIN_CALL_SHARE = 0.05  # lower bound of the call share
DOWN_CALL_SHARE = 0.2  # lower bound while the counter is down, and the smallest divisor that scales up a charge
RECOVERY_CALL_SHARE = 0.5  # call share after the first answer of a counter that was down
MISS_FACTOR = 0.6  # factor by which a failed call reduces the call share


class CounterHealth:
    """Health of one counter, from the outcomes and waits of calls."""

    def __init__(self) -> None:
        self.call_share = 1.0  # share of requests that call this counter
        self.calls_per_request = 1.0  # moving mean over requests
        self.misses = 0  # consecutive failed calls
        self.missing_since = 0.0
        self.has_answered = False
        self.last_called = 0.0
        self.last_answered = 0.0

    def record_miss(self, now: float) -> None:
        """Reduce the call share after a call without a usable answer in time."""
        if self.misses == 0:
            self.missing_since = now
        minimum = DOWN_CALL_SHARE if self.is_down() else MIN_CALL_SHARE
        self.call_share = max(minimum, self.call_share * MISS_FACTOR)
        self.misses += 1

    def record_answer(self, now: float, waited: float) -> None:
        """Adjust the call share after an answer; `waited` is a fraction of the time-out. Rare answers weigh more."""
        self.call_share += min(1.0, max(MIN_STEP, now - self.last_answered)) * (TARGET_WAIT - waited)
        self.last_answered = now
        if self.is_down():
            self.call_share = RECOVERY_CALL_SHARE
        else:
            self.call_share = min(1.0, max(MIN_CALL_SHARE, self.call_share))
        self.misses = 0
        self.has_answered = True

    def is_silent(self, now: float) -> bool:
        """Return whether totals have stopped arriving, even if there were too few calls to count the counter as down.

        A counter that has never answered counts as silent at its first failed call, because an ingress that has just
        started cannot know how long the outage has lasted.
        """
        if self.is_down():
            return True
        if self.misses > 0 and not self.has_answered:
            return True
        return self.misses > 1 and now - self.missing_since > SILENT_S

    def is_down(self) -> bool:
        """Return whether the counter counts as down, not just as overloaded."""
        return self.misses >= DOWN_MISSES
