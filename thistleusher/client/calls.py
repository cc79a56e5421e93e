"""State of one call: whether and when it is retried, and its result.

- The statuses 408, 421, 429 and 503 promise that a request has not run and never will. Any call may be retried after
  them, with a delay of `Retry-After`, limited to a third of the remaining time.
- An attempt whose connection was never established has sent nothing. A connection that broke later, a 502, a 504 or a
  time-out promise nothing: only a repeatable call is retried, and any other call ends as `Unknown`.
- Any other answer is final, and so is the expiry of the call's deadline.

All retries of a client are taken from one budget to which each call adds, so that retries do not amplify an overload.
An attempt that was never sent has cost the service nothing; its retry at another address is free of charge.

Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

NOT_RUN_STATUSES = (408, 421, 429, 503)  # these promise that the request has not run and never will
UNKNOWN_STATUSES = (502, 504)  # after these the request may have run
MAX_DELAY_FRACTION = 1 / 3  # fraction of the remaining time that limits the wait for `Retry-After`
BACKOFF_S = 0.05  # delay before the first retry without `Retry-After`; doubles with each attempt
RETRY_RATIO = 0.2  # retries that each call adds to the budget
RETRY_SLACK = 10.0  # retries in a full budget
DEFAULT_MAX_ATTEMPTS = 4


class AttemptFailure(enum.Enum):
    """How an attempt without an answer failed."""

    UNSENT = "unsent"  # no connection was established, so nothing was sent
    BROKEN = "broken"  # the connection broke or the attempt timed out: the request may have run


class Answered(NamedTuple):
    """A backend's answer, whatever its status; `tries` is the number of attempts."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    tries: int


class Refused(NamedTuple):
    """The request has not run and never will; `again_s`: seconds to wait before a new call, 0 if not stated."""

    status: int
    again_s: float
    tries: int


class Unknown(NamedTuple):
    """The request may have run, or may still run; `why`: the reason in words."""

    why: str
    tries: int


Ended = Answered | Refused | Unknown


class UnknownEnd(Exception):  # noqa: N818 - a public name of the library
    """The result of a call that is not repeatable is unknown; `ids`: ids of its attempts, to query the service with."""

    def __init__(self, why: str, ids: tuple[str, ...]) -> None:
        super().__init__(f"{why}; the request may have run (attempts {', '.join(ids)})")
        self.why = why
        self.ids = ids


class Retry(NamedTuple):
    """Retry the call on a new connection after `after_s` seconds."""

    after_s: float


class RetryBudget:
    """Retry budget common to all calls of one client."""

    def __init__(self, ratio: float = RETRY_RATIO, slack: float = RETRY_SLACK) -> None:
        self.ratio = ratio
        self.capacity = slack
        self.available = slack

    def add_call(self) -> None:
        """Add the retries that a new call contributes, up to the capacity."""
        self.available = min(self.capacity, self.available + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if less than one is left."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class Call:
    """Attempts, deadline and known outcome of one call."""

    def __init__(
        self,
        now: float,
        deadline_s: float,
        repeatable: bool,
        budget: RetryBudget,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ) -> None:
        """Begin a call. Raises ValueError if the deadline or the number of attempts is not above 0."""
        if not deadline_s > 0 or max_attempts < 1:
            raise ValueError(f"expected a deadline and attempts above 0, found {deadline_s:g} s and {max_attempts}")
        self.deadline = now + deadline_s
        self.repeatable = repeatable
        self.budget = budget
        self.max_attempts = max_attempts
        self.attempts = 0
        self.may_have_run = False
        budget.add_call()

    def time_left(self, now: float) -> float:
        """Return the seconds until the call's deadline."""
        return self.deadline - now

    def begin_attempt(self) -> None:
        """Count a new attempt."""
        self.attempts += 1

    def answered(self, now: float, status: int, headers: Mapping[str, str], body: bytes) -> Retry | Ended:
        """Return the retry or the result that follows from a complete answer to an attempt."""
        if status in NOT_RUN_STATUSES:
            return self._after_not_run(now, status, read_retry_after(headers.get("retry-after", "")))
        if status in UNKNOWN_STATUSES:
            next_step = self._after_unknown(now, f"status {status}")
            if next_step is not None:
                return next_step
        return Answered(status, headers, body, self.attempts)

    def failed(self, now: float, failure: AttemptFailure, why: str) -> Retry | Ended:
        """Return the retry or the result that follows from an attempt without an answer."""
        if failure is AttemptFailure.BROKEN:
            return self._after_unknown(now, why) or Unknown(why, self.attempts)
        wait_s = self._backoff_s()
        if self._allows_retry(now, wait_s, costs_budget=False):
            return Retry(wait_s)
        return Unknown(why, self.attempts) if self.may_have_run else Refused(0, 0.0, self.attempts)

    def _after_not_run(self, now: float, status: int, retry_after_s: float) -> Retry | Ended:
        wait_s = (
            min(retry_after_s, MAX_DELAY_FRACTION * self.time_left(now)) if retry_after_s > 0 else self._backoff_s()
        )
        if self._allows_retry(now, wait_s):
            return Retry(wait_s)
        if self.may_have_run:
            return Unknown("an earlier attempt may have run", self.attempts)
        return Refused(status, retry_after_s, self.attempts)

    def _after_unknown(self, now: float, why: str) -> Retry | Unknown | None:
        """Return Retry for a repeatable call, None if it has no retry left, Unknown for any other call."""
        self.may_have_run = True
        if not self.repeatable:
            return Unknown(why, self.attempts)
        wait_s = self._backoff_s()
        return Retry(wait_s) if self._allows_retry(now, wait_s) else None

    def _backoff_s(self) -> float:
        return BACKOFF_S * 2.0 ** max(0, self.attempts - 1)

    def _allows_retry(self, now: float, wait_s: float, costs_budget: bool = True) -> bool:
        if self.attempts >= self.max_attempts or wait_s >= self.time_left(now):
            return False
        return not costs_budget or self.budget.spend()


def read_retry_after(text: str) -> float:
    """Return the seconds of a `Retry-After` value, which may be fractional; 0 if it is no finite number of seconds."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 <= value < float("inf") else 0.0
