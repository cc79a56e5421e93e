"""One call, from its first attempt to its end: what may be sent again, when, and what is known at the end.

- 429, 503, 408 and 421 promise that a request has not run and never will: any call may be sent again after them, not
  before `Retry-After`, of which at most a third of the time left is waited for.
- An attempt whose connection was never established has sent nothing. One that broke later, a 502, a 504 or no answer in
  time promise nothing: only a call that may be repeated is sent again, and any other ends as `Unknown`.
- Any other answer is final, and so is the end of the call's time.

Retries of all calls together are paid from a budget that calls fill, so that a client does not add to an overload. What
was never sent has cost the service nothing, and is sent to another address without payment.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise that it has not run and never will
UNKNOWN_STATUSES = (502, 504)  # promise nothing
MAX_WAIT_SHARE = 1 / 3  # of the time left, for which `Retry-After` is waited for
BACKOFF_S = 0.05  # before a retry without `Retry-After`; doubles with each
RETRY_RATIO = 0.2  # retries that a call adds to the budget
RETRY_SLACK = 10.0  # retries in a full budget
DEFAULT_MAX_ATTEMPTS = 4


class AttemptFailure(enum.Enum):
    """How an attempt without an answer failed."""

    UNSENT = "unsent"  # no connection was established: nothing was sent
    BROKEN = "broken"  # the connection or the time ended: it may have run


class Answered(NamedTuple):
    """A backend's answer, whatever its status; `tries` is the number of attempts."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    tries: int


class Refused(NamedTuple):
    """It has not run and never will; `again_s`: seconds after which to come back, 0 where none were stated."""

    status: int
    again_s: float
    tries: int


class Unknown(NamedTuple):
    """It may have run, or may still."""

    why: str
    tries: int


Ended = Answered | Refused | Unknown


class UnknownEnd(Exception):  # noqa: N818 - a public name of the library
    """A call that may not be repeated has an unknown end. `ids`: of its attempts, to ask the service by."""

    def __init__(self, why: str, ids: tuple[str, ...]) -> None:
        super().__init__(f"{why}; it may have run (tries {', '.join(ids)})")
        self.why = why
        self.ids = ids


class Retry(NamedTuple):
    """Send the call again after a while, on a new connection."""

    after_s: float


class RetryBudget:
    """Retries of all calls of one client."""

    def __init__(self, ratio: float = RETRY_RATIO, slack: float = RETRY_SLACK) -> None:
        self.ratio = ratio
        self.capacity = slack
        self.left = slack

    def add_call(self) -> None:
        """Add what a new call brings."""
        self.left = min(self.capacity, self.left + self.ratio)

    def spend(self) -> bool:
        """Pay for one retry; return False where too little is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Call:
    """One call's state."""

    def __init__(
        self,
        now: float,
        deadline_s: float,
        repeatable: bool,
        budget: RetryBudget,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ) -> None:
        """Begin a call. Raises ValueError for a time or a number of attempts that is not above 0."""
        if not deadline_s > 0 or max_attempts < 1:
            raise ValueError(f"expected a deadline and tries above 0, found {deadline_s:g} s and {max_attempts}")
        self.until = now + deadline_s
        self.repeatable = repeatable
        self.budget = budget
        self.max_attempts = max_attempts
        self.attempts = 0
        self.may_have_run = False
        budget.add_call()

    def left(self, now: float) -> float:
        """Return the seconds until the call's time is up."""
        return self.until - now

    def begin_attempt(self) -> None:
        """Count an attempt."""
        self.attempts += 1

    def answered(self, now: float, status: int, headers: Mapping[str, str], body: bytes) -> Retry | Ended:
        """Return what follows from a complete answer to an attempt."""
        if status in NOT_RUN_STATUSES:
            return self._after_not_run(now, status, read_retry_after(headers.get("retry-after", "")))
        if status in UNKNOWN_STATUSES:
            following = self._after_unknown(now, f"status {status}")
            if following is not None:
                return following
        return Answered(status, headers, body, self.attempts)

    def failed(self, now: float, failure: AttemptFailure, why: str) -> Retry | Ended:
        """Return what follows from an attempt without an answer."""
        if failure is AttemptFailure.BROKEN:
            return self._after_unknown(now, why) or Unknown(why, self.attempts)
        wait_s = self._backoff_s()
        if self._allows_retry(now, wait_s, is_paid=False):
            return Retry(wait_s)
        return Unknown(why, self.attempts) if self.may_have_run else Refused(0, 0.0, self.attempts)

    def _after_not_run(self, now: float, status: int, retry_after_s: float) -> Retry | Ended:
        wait_s = min(retry_after_s, MAX_WAIT_SHARE * self.left(now)) if retry_after_s > 0 else self._backoff_s()
        if self._allows_retry(now, wait_s):
            return Retry(wait_s)
        if self.may_have_run:
            return Unknown("a try before the last may have run", self.attempts)
        return Refused(status, retry_after_s, self.attempts)

    def _after_unknown(self, now: float, why: str) -> Retry | Unknown | None:
        """Return Retry where repeating does no harm, Unknown where it would, None where no retry is left."""
        self.may_have_run = True
        if not self.repeatable:
            return Unknown(why, self.attempts)
        wait_s = self._backoff_s()
        return Retry(wait_s) if self._allows_retry(now, wait_s) else None

    def _backoff_s(self) -> float:
        return BACKOFF_S * 2.0 ** max(0, self.attempts - 1)

    def _allows_retry(self, now: float, wait_s: float, is_paid: bool = True) -> bool:
        if self.attempts >= self.max_attempts or wait_s >= self.left(now):
            return False
        return not is_paid or self.budget.spend()


def read_retry_after(text: str) -> float:
    """Return a `Retry-After` in seconds, fractions included; 0 for what is not one."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 <= value < float("inf") else 0.0
