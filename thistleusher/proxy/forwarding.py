"""Connects the proxy's driver to its sockets: clients' requests, exchanges with backends, and one answer to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistleusher.common.errors import RESPONSES, ErrorKind, retry_after_header
from thistleusher.core import actions
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, Final, Verdict
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.ingress import BackendAttempt, Ingress
from thistleusher.net.request_handler import Reply
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.http_messages import MISDIRECTED, NOT_RUN_STATUSES, ClientRequest, answer_lines
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.services.http_responses import Response

STALL_TIMEOUT_S = 1.0  # an idempotent request is retried after this time without a byte in the middle of an answer
MIN_REMAINING_S = 0.001  # lower bound of the remaining time that is stated to a backend
ERROR_KINDS = {
    Verdict.OVER_QUOTA: ErrorKind.QUOTA_EXCEEDED,
    Verdict.NO_ROOM: ErrorKind.NO_CAPACITY,
    Verdict.FAILED: ErrorKind.BACKEND_FAILED,
    Verdict.FAULT: ErrorKind.INTERNAL_ERROR,
    Verdict.INVALID: ErrorKind.MALFORMED,
}
REJECTIONS = (Verdict.OVER_QUOTA, Verdict.NO_ROOM)  # these promise that the request has not run and never will


class ProxyIngress(Ingress):
    """Runs the driver with the proxy's decision module, and makes its attempts at backends."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions,
        upstream: Upstream,
        charge: Callable[[ChargeTenant], None],
    ) -> None:
        super().__init__(loop, decisions.settings, decisions, upstream, clock=loop.time)
        self.decisions = decisions
        self.driver.handlers[ChargeTenant] = charge
        self.cancel_in_driver = self.driver.handlers[actions.CancelAttempt]
        self.driver.handlers[actions.CancelAttempt] = self.cancel
        self.is_shutting_down: Callable[[], bool] = lambda: False

    def handle_request(self, call: ClientRequest, reply: Reply) -> None:  # type: ignore[override]
        """Accept a client's request; `reply` is called exactly once with its answer."""
        if call.request.id not in self.in_flight:
            self.decisions.announce(call.request.id, call.context)
        request_class = self.decisions.class_of(call.context.match)
        self.driver.accept(
            call.request, lambda final: self.answer(final, call, reply), call, call.received_at, request_class
        )

    def client_gone(self, call: ClientRequest) -> None:  # type: ignore[override]
        """Report that a client has left; its request is not sent any more."""
        super().client_gone(call)
        call.release()

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Cancel an attempt at a silent backend, so that the request can be sent to another one.

        Nothing is cancelled during a graceful shutdown, as there may be no time for another attempt. An attempt with
        unread bytes is not cancelled either: after a pause of this process, timers may run before reads that became
        due at the same time.
        """
        in_flight = self.in_flight.get(action.request)
        attempt = in_flight.context.attempt if in_flight is not None else None
        if not self.is_shutting_down() and (attempt is None or not attempt.has_unread_bytes()):
            self.cancel_in_driver(action)

    @staticmethod
    def answer(final: Final, call: ClientRequest, reply: Reply) -> None:
        """Send the one answer: the backend's own, unchanged, or the response for the kind of failure.

        A rejection promises that the request has not run and never will. If the request may have run, a rejection is
        therefore replaced by a failure, whichever module decided on it.
        """
        verdict = final.verdict
        if verdict in REJECTIONS and call.may_have_run():
            verdict = Verdict.FAILED
        answer: Response | None = final.payload if verdict is Verdict.SERVED else None
        if verdict is Verdict.FAILED and call.last_error is not None:
            answer = call.last_error
        call.release()
        if answer is not None:
            reply(answer.status, answer_lines(answer), answer.body)
            return
        kind = ERROR_KINDS[verdict]
        reply(RESPONSES[kind].status, retry_after_header(kind, final.retry_in or None), b"")

    def prepare(
        self, in_flight: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]
    ) -> BackendAttempt:
        """Return an attempt for the driver to start.

        The attempt sends nothing if by then the client has disconnected, the deadline has passed, or its backend has
        been taken out of service.
        """
        call: ClientRequest = in_flight.context
        repeatable = call.context.match.route.idempotent

        def head() -> bytes:
            return call.head(max(MIN_REMAINING_S, in_flight.deadline - self.driver.scheduler.time()), backend)

        def may_send() -> bool:
            in_time = self.driver.scheduler.time() < in_flight.deadline
            return in_time and self.may_send(in_flight, backend)

        def stall_s() -> float:
            return STALL_TIMEOUT_S if repeatable and not self.is_shutting_down() else 0.0

        def ended(exchange: BackendExchange, outcome: Outcome, answer: Response | None) -> None:
            call.attempt = None
            call.ended_attempt_may_have_run |= exchange.may_have_run and outcome is not Outcome.FULL
            if answer is not None:
                exchange.keeps_response = self._note_answer(call, backend, outcome, answer)
            on_end(AttemptResult(outcome, answer))

        mark = call.request.id.encode("latin-1")
        exchange = BackendExchange(
            backend, head, may_send, ended, not repeatable, mark, stall_s, body=lambda: call.body
        )
        call.attempt = BackendAttempt(self.upstream, exchange)
        return call.attempt

    def _note_answer(self, call: ClientRequest, backend: str, outcome: Outcome, answer: Response) -> bool:
        """Note what an answer says of its backend; return whether the call keeps it."""
        if answer.status == MISDIRECTED:
            self.decisions.mark_misdirected(backend)
        if outcome is Outcome.ERROR and answer.status >= 500 and answer.status not in NOT_RUN_STATUSES:
            call.keep_error(answer)
            return True
        return False
