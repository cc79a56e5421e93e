"""The clients' door of the proxy, and its driver's surroundings: those of the ingress in service, with the system's
words."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from thistleusher.common.errors import RESPONSES, ErrorKind, ServiceError, retry_after_header
from thistleusher.configuration.index import Index
from thistleusher.core import actions, events
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import Ended, Final, Verdict
from thistleusher.net.client_connection import ClientConnection, Reply
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.ingress import BackendAttempt, Ingress
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.server import Server
from thistleusher.net.shutdown import GracefulShutdown
from thistleusher.net.upstream import Upstream
from thistleusher.proxy.decisions import PLAN, Asked, Charge, Decisions, class_of
from thistleusher.services.http_responses import Response
from thistleusher.transport.call_server import error_response

SEAL, NOT_RUN, ATTEMPT = b"x-server-seal", b"x-not-run", b"x-attempt-id"
OWN = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}  # of a connection, or of framing
BARE = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")  # methods whose requests need not state a length
NOT_SENT = OWN | {b"authorization", b"x-tenant", b"x-expect-instance", b"x-deadline-ms"}
ONCE = (b"host", b"x-attempt-id", b"x-deadline-ms", b"authorization")
PROMISED = (408, 421, 429, 503)  # that it has not run; a backend's own, without its proof, is not passed on
LONGEST_S = 120.0
STALL_S = 1.0  # in the middle of an answer, after which a repeatable request goes to another backend
DOOR_S = 3.2  # after a planned end is told, in which clients may still come
LAST_S = 0.5  # kept of the time before a kill
SHORT_S = 0.05
KINDS = {
    Verdict.OVER_QUOTA: ErrorKind.QUOTA_EXCEEDED,
    Verdict.NO_ROOM: ErrorKind.NO_CAPACITY,
    Verdict.FAILED: ErrorKind.BACKEND_FAILED,
    Verdict.FAULT: ErrorKind.INTERNAL_ERROR,
    Verdict.INVALID: ErrorKind.MALFORMED,
}


@dataclass(slots=True)
class Call:
    """A client's request that has come whole and is to be served."""

    request: events.Request
    asked: Asked
    start: bytes  # request line and the headers that go on unchanged
    body: bytes
    came: float
    last: Response | None = None  # the newest whole answer that was no success
    framed: bool = True  # whether it states a length
    sent: BackendAttempt | None = None  # the attempt that is out
    ran: bool = False  # an attempt that has ended may have run

    def may_have_run(self) -> bool:
        """Whether nothing may be promised about it any more."""
        return self.ran or (self.sent is not None and self.sent.written)

    def message(self, left_s: float, backend: str) -> bytes:
        """The request as a backend gets it, with what is left of its time."""
        tenant = b"X-Tenant: %s\r\n" % self.asked.tenant.encode() if self.asked.tenant is not None else b""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.framed else b""
        return b"%sX-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\n%s%s\r\n%s" % (
            self.start,
            max(1, int(left_s * 1000)),
            backend.encode(),
            tenant,
            length,
            self.body,
        )


def outcome_of(answer: Response) -> Outcome:
    """What an answer says of the attempt. A success lacks its seal only where it is none of the backend's."""
    if NOT_RUN in answer.headers or answer.status == 421:
        return Outcome.FULL
    if 200 <= answer.status < 300:
        return Outcome.OK if SEAL in answer.headers else Outcome.ERROR
    return Outcome.OK if answer.status < 500 and answer.status not in PROMISED else Outcome.ERROR


def lines_of(answer: Response) -> bytes:
    """An answer's headers, but those of its connection."""
    named = {part.strip().lower() for part in answer.headers.get(b"connection", b"").split(b",")}
    return b"".join(
        b"%s: %s\r\n" % (name, value) for name, value in answer.headers.items() if name not in OWN and name not in named
    )


class ProxyGracefulShutdown(GracefulShutdown):
    """A planned end within `grace_s`: the door closes early enough for what came last."""

    def __init__(self, told: float, grace_s: float) -> None:
        super().__init__(told, 0.0)
        self.shut = told + min(DOOR_S, grace_s / 2)
        self.deadline = told + max(1.0, grace_s - LAST_S)

    def accepts_requests(self, now: float) -> bool:
        return now < self.shut and super().accepts_requests(now)


class ProxyIngress(Ingress):
    """Calls in, exchanges with backends out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions,
        upstream: Upstream,
        charge: Callable[[Charge], None],
    ) -> None:
        super().__init__(loop, decisions.settings, decisions, upstream, unix=loop.time)
        self.decisions = decisions
        self.driver.handlers[Charge] = charge
        self.break_off = self.driver.handlers[actions.CancelAttempt]
        self.driver.handlers[actions.CancelAttempt] = self.cancel
        self.leaving: Callable[[], bool] = lambda: False  # whether this process's planned end has begun

    def routes(self, index: Index) -> None:
        """The routes that requests may come by from now on; those of requests that are out stay known."""
        self.driver.classes |= self.decisions.classes
        used = {held.request.class_name for held in self.in_flight.values()}
        for name in self.driver.classes.keys() - index.config.routes.keys() - used:
            del self.driver.classes[name]

    def handle_request(self, call: Call, reply: Reply) -> None:  # type: ignore[override]
        """A client's request: it is owed one answer from here on."""
        if call.request.id not in self.in_flight:
            self.decisions.expect(call.request.id, call.asked)
        # It was read ahead, and its route may have been dropped since.
        self.driver.classes.setdefault(call.request.class_name, class_of(call.asked.found))
        self.driver.accept(call.request, lambda final: self.final(final, call, reply), call, call.came)

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Break off an attempt at a silent backend, so that another may follow.

        At a planned end it is left alone, as it may be the last that can be had. So is one whose answer has come: where
        this process has stood still, timers may be due before the reads of the same moment.
        """
        held = self.in_flight.get(action.request)
        sent = held.context.sent if held is not None else None
        if not self.leaving() and (sent is None or not sent.has_unread_bytes()):
            self.break_off(action)

    @staticmethod
    def final(final: Final, call: Call, reply: Reply) -> None:
        """The one answer: the backend's own, unchanged, or one by the table of kinds.

        A refusal promises that the request has not run and never will: whoever decided on it, none leaves here for one
        that may have.
        """
        verdict = final.verdict
        if verdict in (Verdict.OVER_QUOTA, Verdict.NO_ROOM) and call.may_have_run():
            verdict = Verdict.FAILED
        answer: Response | None = final.payload if verdict is Verdict.SERVED else None
        if verdict is Verdict.FAILED and call.last is not None:
            answer = call.last
        if answer is not None:
            reply(answer.status, lines_of(answer), answer.body)
            return
        kind = KINDS[verdict]
        reply(RESPONSES[kind].status, retry_after_header(kind, final.retry_in or None), b"")

    def prepare(self, held: InFlightRequest, backend: str, on_end: Callable[[Ended], None]) -> BackendAttempt:
        """One attempt. It is not sent if its client has gone, its time is up, or its backend may not be sent to any
        more by then."""
        call: Call = held.context
        repeatable = call.asked.found.route.idempotent

        def message() -> bytes:
            return call.message(max(0.001, held.deadline - self.driver.scheduler.time()), backend)

        def may_send() -> bool:
            in_time = self.driver.scheduler.time() < held.deadline
            return not held.answered and in_time and backend in self.serving

        def stall() -> float:
            return STALL_S if repeatable and not self.leaving() else 0.0

        def ended(exchange: BackendExchange, outcome: Outcome, answer: Response | None) -> None:
            call.sent = None
            call.ran |= exchange.written and outcome is not Outcome.FULL
            if answer is not None and answer.status == 421:
                self.decisions.stranger(backend)
            if (
                answer is not None
                and outcome is Outcome.ERROR
                and not (answer.status < 500 or answer.status in PROMISED)
            ):
                call.last = answer
            on_end(Ended(outcome, answer))

        call.sent = BackendAttempt(
            self.upstream,
            BackendExchange(
                backend, message, may_send, ended, not repeatable, call.request.id.encode("latin-1"), stall
            ),
        )
        return call.sent


class ProxyServer(Server):
    """Clients' connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ingress: ProxyIngress, most: int) -> None:
        super().__init__(loop, most)
        self.ingress = ingress
        self.index: Index | None = None
        self.known = False  # whether there is a list of backends
        self.handle_request = ingress.handle_request  # type: ignore[method-assign, assignment]
        self.client_disconnected = ingress.client_disconnected  # type: ignore[method-assign, assignment]
        ingress.leaving = lambda: self.shutting_down

    def follow(self, index: Index) -> None:
        """A configuration is in force from here on."""
        limits = index.config.limits
        self.index = index
        self.limits = ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            max(0.1, limits.header_timeout_ms / 1000),
            max(0.1, limits.idle_timeout_ms / 1000),
        )
        self.ingress.routes(index)

    def read_request(self, connection: ClientConnection) -> Any:
        """The call that a request is, or its early answer."""
        if connection.over_limit:
            return error_response(ServiceError(ErrorKind.TOO_MANY_CONNECTIONS))
        index = self.index
        if index is None or not self.known:
            return error_response(ServiceError(ErrorKind.STARTING))
        values: dict[bytes, bytes] = {}
        passed = []
        named = b""
        for name, value in connection.headers:
            key = name.lower()
            if key in ONCE and key in values:
                return error_response(ServiceError(ErrorKind.MALFORMED, f"{key.decode()}: more than one"))._replace(
                    closes=True
                )
            values[key] = value
            if key == b"connection":
                named = value
            if key not in NOT_SENT:
                passed.append((key, b"%s: %s\r\n" % (name, value)))
        if named:
            dropped = {part.strip().lower() for part in named.split(b",")} - {b"host", ATTEMPT}
            passed = [(key, line) for key, line in passed if key not in dropped]
        call_id = values.get(ATTEMPT, b"").decode("latin-1")
        if not call_id:
            return error_response(ServiceError(ErrorKind.MALFORMED, "x-attempt-id: missing"))
        path = connection.url.partition(b"?")[0].decode("latin-1")
        found = index.find(values.get(b"host", b"").decode("latin-1"), path)
        if found is None:
            return error_response(ServiceError(ErrorKind.NO_ROUTE))
        tenant = None
        if not found.route.public and index.config.tenants:
            tenant = index.tenant_of(values.get(b"authorization", b"").decode("latin-1"))
            if tenant is None:
                return error_response(ServiceError(ErrorKind.UNKNOWN_KEY))
        left = found.route.deadline_ms / 1000
        told = values.get(b"x-deadline-ms", b"")
        if told.isdigit():
            left = min(left, int(told) / 1000)
        left = min(left, LONGEST_S)
        now = self.loop.time()
        if self.shutdown is not None:
            self.shutdown.request_arrived(now)
            rest = self.shutdown.time_left(now)
            if rest <= SHORT_S:
                return error_response(ServiceError(ErrorKind.SHUTTING_DOWN))
            left = min(left, rest)
        if left <= 0:
            return error_response(ServiceError(ErrorKind.NO_CAPACITY))
        method = connection.parser.get_method()
        request = events.Request(call_id, found.name, PLAN, 0, left, 1.0)
        framed = bool(connection.body) or method not in BARE or b"content-length" in values
        start = b"%s %s HTTP/1.1\r\n%s" % (method, connection.url, b"".join(line for _, line in passed))
        return Call(request, Asked(found, tenant), start, bytes(connection.body), now, framed=framed)
