"""The queue of calls: a call is answered by the leader, redirected to another machine, or rejected after a time-out."""

from __future__ import annotations

from collections import deque

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.control.context import Context
from thistleusher.control.interface import Call, Change
from thistleusher.control.timing import CALL_TIMEOUT_S


class CallQueue:
    """One node's waiting calls, oldest first."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._waiting: deque[Call] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, call: Call) -> None:
        """Add a new call, which expires after `CALL_TIMEOUT_S`."""
        self._waiting.append(call._replace(deadline=self._context.now + CALL_TIMEOUT_S))

    def requeue(self, change: Change) -> None:
        """Put back a change that was pending when the leadership ended.

        It may or may not be committed later, so it can be neither acknowledged nor rejected yet.
        """
        self._waiting.appendleft(change._replace(deadline=self._context.now + 2 * CALL_TIMEOUT_S))

    def take(self) -> Call:
        """Remove and return the oldest call."""
        return self._waiting.popleft()

    def redirect(self, leader: str) -> None:
        """Redirect all callers to the leader's machine."""
        self._answer_all(ServiceError(ErrorKind.REDIRECTED, location=leader))

    def reject_all(self) -> None:
        """Reject all calls because this process is stopping."""
        self._answer_all(ServiceError(ErrorKind.SHUTTING_DOWN))

    def expire(self) -> None:
        """Reject the calls whose deadline has passed."""
        late = [call for call in self._waiting if self._context.now > call.deadline]
        if late:
            self._waiting = deque(call for call in self._waiting if self._context.now <= call.deadline)
        for call in late:
            self._context.answer(call.call_id, ServiceError(ErrorKind.NO_LEADER))

    def _answer_all(self, failure: ServiceError) -> None:
        while self._waiting:
            self._context.answer(self._waiting.popleft().call_id, failure)
