"""How well a counter answers, and so what share of requests calls it. Backends' health is in `policy.fleet`."""

from __future__ import annotations

DOWN_MISSES = 8  # in a row, after which the counter counts as down for all and not just as crowded
TARGET_WAIT = 0.3  # of its time-out: the mean wait for the counter at which the share of requests that call stays
MIN_STEP = 0.1  # how far an answer moves that share at least; more, by the seconds since the last one
CALL_INTERVAL_S = 1.0  # without a call, after which a request calls whatever the share
SILENT_S = 1.0  # of misses alone, after which totals have stopped coming
MIN_CALL_SHARE = 0.05  # least share of requests that call
DOWN_CALL_SHARE = 0.2  # the same while the counter is down, and least that a charge is scaled up by
RECOVERY_CALL_SHARE = 0.5  # the share that it begins with when the counter is back
MISS_FACTOR = 0.6  # what a miss leaves of the share


class CounterHealth:
    """How readily one counter answers."""

    def __init__(self) -> None:
        self.call_share = 1.0  # of requests that call it
        self.calls_per_request = 1.0  # moving mean
        self.misses = 0  # in a row
        self.missing_since = 0.0
        self.has_answered = False
        self.last_called = 0.0
        self.last_answered = 0.0

    def record_miss(self, now: float) -> None:
        """Have fewer requests call: a call had no usable answer in time."""
        if self.misses == 0:
            self.missing_since = now
        least = DOWN_CALL_SHARE if self.is_down() else MIN_CALL_SHARE
        self.call_share = max(least, self.call_share * MISS_FACTOR)
        self.misses += 1

    def record_answer(self, now: float, waited: float) -> None:
        """Take in an answer that came after `waited` of the time-out. Few answers: each says more."""
        self.call_share += min(1.0, max(MIN_STEP, now - self.last_answered)) * (TARGET_WAIT - waited)
        self.last_answered = now
        if self.is_down():
            self.call_share = RECOVERY_CALL_SHARE
        else:
            self.call_share = min(1.0, max(MIN_CALL_SHARE, self.call_share))
        self.misses = 0
        self.has_answered = True

    def is_silent(self, now: float) -> bool:
        """Return whether totals have stopped coming, even if too few calls are made to count it as down.

        A counter that has never answered counts as silent at its first miss: who has only started cannot know how long
        it has been so.
        """
        if self.is_down():
            return True
        if self.misses > 0 and not self.has_answered:
            return True
        return self.misses > 1 and now - self.missing_since > SILENT_S

    def is_down(self) -> bool:
        """Return whether the counter counts as down for all, and not just as crowded."""
        return self.misses >= DOWN_MISSES
