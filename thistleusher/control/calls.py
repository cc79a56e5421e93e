"""Calls that wait for a leader: answered by one, sent on to another, or refused once they have waited too long."""

from __future__ import annotations

from collections import deque

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.control.context import Context
from thistleusher.control.interface import Call, Change
from thistleusher.control.timing import HOLD_S


class Calls:
    """One node's."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._waiting: deque[Call] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, call: Call) -> None:
        """A call has come."""
        self._waiting.append(call._replace(deadline=self._context.now + HOLD_S))

    def put_back(self, change: Change) -> None:
        """A change was begun under a leadership that is over: it may be in force later or not."""
        self._waiting.appendleft(change._replace(deadline=self._context.now + 2 * HOLD_S))

    def take(self) -> Call:
        """The next call."""
        return self._waiting.popleft()

    def send_on(self, leader: str) -> None:
        """All callers go to the machine that leads."""
        self._answer_all(ServiceError(ErrorKind.REDIRECTED, where=leader))

    def end(self) -> None:
        """This process ends."""
        self._answer_all(ServiceError(ErrorKind.SHUTTING_DOWN))

    def expire(self) -> None:
        """Those that have waited too long are refused."""
        late = [call for call in self._waiting if self._context.now > call.deadline]
        if late:
            self._waiting = deque(call for call in self._waiting if self._context.now <= call.deadline)
        for call in late:
            self._context.answer(call.call_id, ServiceError(ErrorKind.NO_LEADER))

    def _answer_all(self, failure: ServiceError) -> None:
        while self._waiting:
            self._context.answer(self._waiting.popleft().call_id, failure)
