"""The calls to the platform, by whichever registry holds the singleton role: one at a time, each with an end.

Guaranteed: while the role is held, a call is begun when the poller says that one is due, whatever became of the one
before. One whose end is not learnt within `CALL_LIMIT_S` is given up, and its late answer is dropped by its number: as
nobody else reads the list, nothing that happens to one call may keep it from being read.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.registry.backend_poller import Backend, BackendPoller, UnreadableAnswerError
from thistleusher.registry.outputs import CallPlatform, LogEvent, Output

CALL_LIMIT_S = 1.5  # of a call; its process ends it before (`platform_client.CALL_TIMEOUT_S`)
LIST_OVERDUE_S = 1.5  # without a complete reading of the platform's list, after which that is logged, again and again
OK = 200
NO_ANSWER = "no answer"


class CallInFlight(NamedTuple):
    """The call that has no answer yet: its number, the poller that it is for, and since when."""

    number: int
    poller: BackendPoller
    began_at: float


class Answered(NamedTuple):
    """What an answer led to: what a complete reading has changed (None: nothing is complete), and outputs."""

    changes: dict[str, Backend | None] | None
    outputs: list[Output]


class PlatformCalls:
    """The poller of the present term, and the call that is in flight."""

    def __init__(self, now: float, rate_per_s: float) -> None:
        """`rate_per_s`: the platform's rate limit."""
        self.rate_per_s = rate_per_s
        self.poller = BackendPoller(now, rate_per_s)
        self._in_flight: CallInFlight | None = None
        self._count = 0
        self._overdue_report_at = now

    def begin_term(self, now: float, known: Mapping[str, Backend]) -> None:
        """Begin to read for a new term of the role; `known`: the backends that are published, by name."""
        self.poller = BackendPoller(now, self.rate_per_s)
        # How much of a warm-up is left is not known here, so the first reading publishes those backends anew.
        self.poller.backends = {name: {**backend, "cold": 0.0} for name, backend in known.items()}
        self.poller.warm_at = {name: now for name, backend in known.items() if backend["cold"] > 0}

    def tick(self, now: float) -> list[Output]:
        """Begin the call that is due; say it where the list has not been read for long."""
        outputs = self._give_up_overdue(now)
        if self._in_flight is None:
            target = self.poller.begin_call(now)
            if target is not None:
                self._count += 1
                self._in_flight = CallInFlight(self._count, self.poller, now)
                outputs.append(CallPlatform(self._count, target))
        self._overdue_report_at = max(self._overdue_report_at, self.poller.read_at + LIST_OVERDUE_S)
        if now >= self._overdue_report_at:
            self._overdue_report_at = now + LIST_OVERDUE_S
            outputs.append(LogEvent(Event.LIST_OVERDUE, (round(now - self.poller.read_at, 1),)))
        return outputs

    def _give_up_overdue(self, now: float) -> list[Output]:
        call = self._in_flight
        if call is None or now - call.began_at <= CALL_LIMIT_S:
            return []
        self._in_flight = None
        return self._failed(now) if call.poller is self.poller else []

    def _failed(self, now: float, status: int = 0) -> list[Output]:
        self.poller.call_failed(now, status)
        return [LogEvent(Event.PLATFORM_FAILED, (status or NO_ANSWER,))]

    def answered(self, now: float, number: int, status: int, body: bytes) -> Answered | None:
        """Take in the answer to the call of this number; `status` 0: none came.

        None: it is dropped, as its call was given up, or was made under an earlier term.
        """
        call = self._in_flight
        if call is None or call.number != number:
            return None
        self._in_flight = None
        if call.poller is not self.poller:
            return None  # a page of a reading that ended with an earlier term is no complete list
        if status != OK:
            return Answered(None, self._failed(now, status))
        try:
            return Answered(self.poller.receive_page(now, body), [])
        except UnreadableAnswerError as error:
            return Answered(None, [LogEvent(Event.PLATFORM_FAILED, (error,))])
