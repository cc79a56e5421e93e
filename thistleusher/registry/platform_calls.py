"""Calls to the platform by the registry that holds the singleton role: one at a time, each with a time limit.

Guarantee: while the role is held, a call is started whenever the poller reports one as due, regardless of the outcome
of the previous call. A call without a result after `CALL_DEADLINE_S` is abandoned, and its late response is recognised
by its number and dropped. No other process reads the list, so a single call must never block further readings.

No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.registry.backend_poller import Backend, BackendPoller, UnreadableAnswerError
from thistleusher.registry.outputs import CallPlatform, LogEvent, Output

# Time after which a call is abandoned; normally `platform_client.CALL_TIMEOUT_S` ends it earlier.
CALL_DEADLINE_S = 1.5
LIST_OVERDUE_S = 1.5  # Time without a complete reading before the event is logged, and the interval of its repetition.
OK = 200
NO_RESPONSE = "no answer"


class CallInFlight(NamedTuple):
    """A call without a response so far: its number, the poller that requested it, and its start time."""

    number: int
    poller: BackendPoller
    started_at: float


class ResponseResult(NamedTuple):
    """The result of a response: the changes of a complete reading (None: not complete yet), and outputs."""

    changes: dict[str, Backend | None] | None
    outputs: list[Output]


class PlatformCalls:
    """The poller of the current term, and the call in flight."""

    def __init__(self, now: float, rate_per_s: float) -> None:
        """Create the poller; `rate_per_s` is the platform's rate limit."""
        self.rate_per_s = rate_per_s
        self.poller = BackendPoller(now, rate_per_s)
        self._in_flight: CallInFlight | None = None
        self._count = 0
        self._overdue_report_at = now

    def begin_term(self, now: float, known: Mapping[str, Backend]) -> None:
        """Start polling for a new term of the role; `known` holds the published backends by name."""
        self.poller = BackendPoller(now, self.rate_per_s)
        # The remaining warm-up times are not known here, so the first reading publishes the cold backends again.
        self.poller.backends = {name: {**backend, "cold": 0.0} for name, backend in known.items()}
        self.poller.warm_at = {name: now for name, backend in known.items() if backend["cold"] > 0}

    def tick(self, now: float) -> list[Output]:
        """Start the next call if it is due; log an event if the last complete reading is overdue."""
        outputs = self._give_up_overdue(now)
        if self._in_flight is None:
            target = self.poller.begin_call(now)
            if target is not None:
                self._count += 1
                self._in_flight = CallInFlight(self._count, self.poller, now)
                outputs.append(CallPlatform(self._count, target))
        self._overdue_report_at = max(self._overdue_report_at, self.poller.last_complete_at + LIST_OVERDUE_S)
        if now >= self._overdue_report_at:
            self._overdue_report_at = now + LIST_OVERDUE_S
            outputs.append(LogEvent(Event.LIST_OVERDUE, (round(now - self.poller.last_complete_at, 1),)))
        return outputs

    def _give_up_overdue(self, now: float) -> list[Output]:
        call = self._in_flight
        if call is None or now - call.started_at <= CALL_DEADLINE_S:
            return []
        self._in_flight = None
        return self._record_failure(now) if call.poller is self.poller else []

    def _record_failure(self, now: float, status: int = 0) -> list[Output]:
        self.poller.call_failed(now, status)
        return [LogEvent(Event.PLATFORM_FAILED, (status or NO_RESPONSE,))]

    def receive_response(self, now: float, number: int, status: int, body: bytes) -> ResponseResult | None:
        """Process the response to a call; `status` is 0 if there was none.

        Return None if the response is dropped because its call was abandoned or belongs to an earlier term.
        """
        call = self._in_flight
        if call is None or call.number != number:
            return None
        self._in_flight = None
        if call.poller is not self.poller:
            return None  # The reading ended with the earlier term, so its pages cannot complete a list.
        if status != OK:
            return ResponseResult(None, self._record_failure(now, status))
        try:
            return ResponseResult(self.poller.receive_page(now, body), [])
        except UnreadableAnswerError as error:
            return ResponseResult(None, [LogEvent(Event.PLATFORM_FAILED, (error,))])
