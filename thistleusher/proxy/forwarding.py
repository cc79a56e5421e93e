"""The surroundings of the proxy's driver: clients' requests in, exchanges with backends out, one answer to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistleusher.common.errors import RESPONSES, ErrorKind, retry_after_header
from thistleusher.core import actions
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, Final, Verdict
from thistleusher.net.client_connection import Reply
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.ingress import BackendAttempt, Ingress
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.http_messages import MISDIRECTED, NOT_RUN_STATUSES, ClientRequest, answer_lines
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.services.http_responses import Response

STALL_S = 1.0  # without a byte in the middle of an answer, after which a repeatable request goes to another backend
MIN_LEFT_S = 0.001  # the least remaining time that is passed to a backend
KINDS = {
    Verdict.OVER_QUOTA: ErrorKind.QUOTA_EXCEEDED,
    Verdict.NO_ROOM: ErrorKind.NO_CAPACITY,
    Verdict.FAILED: ErrorKind.BACKEND_FAILED,
    Verdict.FAULT: ErrorKind.INTERNAL_ERROR,
    Verdict.INVALID: ErrorKind.MALFORMED,
}
REJECTIONS = (Verdict.OVER_QUOTA, Verdict.NO_ROOM)  # promise that the request has not run and never will


class ProxyIngress(Ingress):
    """The driver with the proxy's decision module, and its attempts at backends."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions,
        upstream: Upstream,
        charge: Callable[[ChargeTenant], None],
    ) -> None:
        super().__init__(loop, decisions.settings, decisions, upstream, unix=loop.time)
        self.decisions = decisions
        self.driver.handlers[ChargeTenant] = charge
        self.break_off = self.driver.handlers[actions.CancelAttempt]
        self.driver.handlers[actions.CancelAttempt] = self.cancel
        self.is_shutting_down: Callable[[], bool] = lambda: False

    def handle_request(self, call: ClientRequest, reply: Reply) -> None:  # type: ignore[override]
        """Take a client's request, which gets exactly one answer through `reply` from here on."""
        if call.request.id not in self.in_flight:
            self.decisions.expect(call.request.id, call.context)
        request_class = self.decisions.class_of(call.context.match)
        self.driver.accept(
            call.request, lambda final: self.answer(final, call, reply), call, call.received_at, request_class
        )

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Cancel an attempt at a silent backend, so that another may follow.

        Not during a graceful shutdown, as it may be the last attempt that can be made. Nor one whose answer has come:
        where this process has stood still, timers may be due before the reads of the same moment.
        """
        in_flight = self.in_flight.get(action.request)
        attempt = in_flight.context.attempt if in_flight is not None else None
        if not self.is_shutting_down() and (attempt is None or not attempt.has_unread_bytes()):
            self.break_off(action)

    @staticmethod
    def answer(final: Final, call: ClientRequest, reply: Reply) -> None:
        """Give the one answer: the backend's own, unchanged, or one by the table of failure kinds.

        A rejection promises that the request has not run and never will: whoever decided on it, none leaves here for
        one that may have run.
        """
        verdict = final.verdict
        if verdict in REJECTIONS and call.may_have_run():
            verdict = Verdict.FAILED
        answer: Response | None = final.payload if verdict is Verdict.SERVED else None
        if verdict is Verdict.FAILED and call.last_error is not None:
            answer = call.last_error
        if answer is not None:
            reply(answer.status, answer_lines(answer), answer.body)
            return
        kind = KINDS[verdict]
        reply(RESPONSES[kind].status, retry_after_header(kind, final.retry_in or None), b"")

    def prepare(
        self, in_flight: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]
    ) -> BackendAttempt:
        """Return one attempt, to be started by the driver.

        It is not sent if by then its client has gone, its time is up, or its backend may not be sent to any more.
        """
        call: ClientRequest = in_flight.context
        repeatable = call.context.match.route.idempotent

        def message() -> bytes:
            return call.message(max(MIN_LEFT_S, in_flight.deadline - self.driver.scheduler.time()), backend)

        def may_send() -> bool:
            in_time = self.driver.scheduler.time() < in_flight.deadline
            return in_time and self.may_send(in_flight, backend)

        def stall_s() -> float:
            return STALL_S if repeatable and not self.is_shutting_down() else 0.0

        def ended(exchange: BackendExchange, outcome: Outcome, answer: Response | None) -> None:
            call.attempt = None
            call.ended_attempt_may_have_run |= exchange.written and outcome is not Outcome.FULL
            if answer is not None:
                self._note_answer(call, backend, outcome, answer)
            on_end(AttemptResult(outcome, answer))

        mark = call.request.id.encode("latin-1")
        call.attempt = BackendAttempt(
            self.upstream, BackendExchange(backend, message, may_send, ended, not repeatable, mark, stall_s)
        )
        return call.attempt

    def _note_answer(self, call: ClientRequest, backend: str, outcome: Outcome, answer: Response) -> None:
        if answer.status == MISDIRECTED:
            self.decisions.mark_misdirected(backend)
        if outcome is Outcome.ERROR and answer.status >= 500 and answer.status not in NOT_RUN_STATUSES:
            call.last_error = answer
