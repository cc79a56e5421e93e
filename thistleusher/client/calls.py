"""One call, from its first try to its end: what may be sent again, when, and what is known at the end.

- 429, 503, 408 and 421 promise that a request has not run and never will: any call may be sent again after them,
  not before `Retry-After`, which counts for a third of the time that is left at most.
- A connection that never stood has sent nothing. One that ended later, a 502, 504 or no answer in time promise
  nothing: only a call that may be repeated is sent again, and another one ends as `Unknown`.
- Any other answer is final, and so is the end of the call's time.

Further tries of all calls together are paid from a budget that calls fill: a client does not add to a storm. What was
never sent has cost the service nothing, and is sent to another address free of that.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

PROMISES = (408, 421, 429, 503)  # that it has not run and never will
NOTHING_SAID = (502, 504)  # that it has run or has not
WAIT_PART = 1 / 3  # of the time left, that `Retry-After` is heeded for
PAUSE_S = 0.05  # before a further try that nobody told to come later; doubles with each
RATIO, SLACK = 0.2, 10.0  # further tries a call, and beyond that


class How(enum.Enum):
    """How a try failed without an answer."""

    UNSENT = "unsent"  # no connection stood: nothing was sent
    BROKEN = "broken"  # the connection ended, or its time: it may have run


class Answered(NamedTuple):
    """A backend's answer, whatever its status."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    tries: int


class Refused(NamedTuple):
    """It has not run and never will; `again_s`: when to come back, 0 where it was not told."""

    status: int
    again_s: float
    tries: int


class Unknown(NamedTuple):
    """It may have run, or may still."""

    why: str
    tries: int


Ended = Answered | Refused | Unknown


class UnknownEnd(Exception):
    """A call that may not be repeated has an unknown end. `ids`: of its tries, to ask the service by."""

    def __init__(self, why: str, ids: tuple[str, ...]) -> None:
        super().__init__(f"{why}; it may have run (tries {', '.join(ids)})")
        self.why, self.ids = why, ids


class Again(NamedTuple):
    """Send it again, after a while, on a new connection."""

    after_s: float


class Budget:
    """Further tries of one client's calls."""

    def __init__(self, ratio: float = RATIO, slack: float = SLACK) -> None:
        self.ratio, self.most = ratio, slack
        self.left = slack

    def call(self) -> None:
        """A call has begun."""
        self.left = min(self.most, self.left + self.ratio)

    def spend(self) -> bool:
        """Pay for one further try, if there is enough."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Call:
    """One call's state."""

    def __init__(self, now: float, deadline_s: float, repeatable: bool, budget: Budget, most: int = 4) -> None:
        """`most`: tries. ValueError for a time or a number of tries that is not above 0."""
        if not deadline_s > 0 or most < 1:
            raise ValueError(f"expected a deadline and tries above 0, found {deadline_s:g} s and {most}")
        self.until, self.repeatable, self.budget, self.most = now + deadline_s, repeatable, budget, most
        self.tries = 0
        self.may_have_run = False
        budget.call()

    def left(self, now: float) -> float:
        """Seconds until the call's time is up."""
        return self.until - now

    def begin(self) -> None:
        """A try goes out."""
        self.tries += 1

    def answered(self, now: float, status: int, headers: Mapping[str, str], body: bytes) -> Again | Ended:
        """A try has an answer, whole."""
        if status in PROMISES:
            told = seconds(headers.get("retry-after", ""))
            wait = min(told, WAIT_PART * self.left(now)) if told > 0 else self._pause()
            if self._again(now, wait):
                return Again(wait)
            return (
                Unknown("a try before the last may have run", self.tries)
                if self.may_have_run
                else Refused(status, told, self.tries)
            )
        if status in NOTHING_SAID:
            return self._unsure(now, f"status {status}") or Answered(status, headers, body, self.tries)
        return Answered(status, headers, body, self.tries)

    def failed(self, now: float, how: How, why: str) -> Again | Ended:
        """A try has no answer."""
        if how is How.UNSENT:
            wait = self._pause()
            if self._again(now, wait, paid=False):
                return Again(wait)
            return Unknown(why, self.tries) if self.may_have_run else Refused(0, 0.0, self.tries)
        return self._unsure(now, why) or Unknown(why, self.tries)

    def _unsure(self, now: float, why: str) -> Again | Unknown | None:
        """It may have run: again where that does no harm, unknown where it would, None where tries are used up."""
        self.may_have_run = True
        if not self.repeatable:
            return Unknown(why, self.tries)
        wait = self._pause()
        return Again(wait) if self._again(now, wait) else None

    def _pause(self) -> float:
        return PAUSE_S * 2.0 ** max(0, self.tries - 1)

    def _again(self, now: float, wait: float, paid: bool = True) -> bool:
        return self.tries < self.most and wait < self.left(now) and (not paid or self.budget.spend())


def seconds(text: str) -> float:
    """A `Retry-After` in seconds, fractions included; 0 for what is none."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 <= value < float("inf") else 0.0
