"""The daemon's ports of the driver: passes client calls to it, and makes its attempts as HTTP exchanges."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.answers import STATUS, headers_of
from thistleusher.core.driver import Driver
from thistleusher.core.events import ListKind, Outcome, Phase
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, Decisions, Final, Scheduler, Verdict
from thistleusher.core.settings import Settings
from thistleusher.net.backend_list import BackendList
from thistleusher.net.client_call import Call, WaitingCall
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.request_handler import Reply
from thistleusher.net.upstream import Upstream
from thistleusher.services.http_responses import Response

MIN_BACKEND_BUDGET_S = 0.001  # the smallest X-Budget sent to a backend, however little time is left
LOAD_REPORT_REQUEST = b"GET /load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


class BackendAttempt:
    """An attempt made as one exchange with a backend."""

    __slots__ = ("upstream", "exchange")

    def __init__(self, upstream: Upstream, exchange: BackendExchange) -> None:
        self.upstream = upstream
        self.exchange = exchange

    @property
    def may_have_run(self) -> bool:
        """Whether its backend may have begun to run the request."""
        return self.exchange.may_have_run

    def has_unread_bytes(self) -> bool:
        """Return whether the backend has sent unread bytes: the response, perhaps, if this process was suspended."""
        connection = self.exchange.connection
        return connection is not None and connection.is_stale()

    def start(self, timeout: float) -> None:
        """Start the exchange; its outcome may be reported before this returns."""
        self.upstream.send(self.exchange, timeout)

    def expire(self) -> None:
        """End the attempt as timed out."""
        self.upstream.expire(self.exchange)

    def cancel(self) -> None:
        """End the attempt as cancelled because its backend does not answer."""
        self.upstream.cancel(self.exchange)

    def abandon(self) -> None:
        """End the attempt as cancelled because its response is no longer needed."""
        self.exchange.give_up(Outcome.CANCELLED)


class Ingress:
    """One ingress: a driver, and the backends it reaches over HTTP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        gateway: Decisions,
        upstream: Upstream,
        load_fields: tuple[str, ...] = (),
        clock: Callable[[], float] = time.time,
        scheduler: Scheduler | None = None,
    ) -> None:
        """`load_fields`: names of the load report's values that are used; `clock` returns Unix time in seconds."""
        self.loop = loop
        self.settings = settings
        self.upstream = upstream
        self.load_fields = load_fields
        self.serving: set[str] = set()  # names of the backends that accept requests
        self.driver = Driver(settings, gateway, self, scheduler or loop, clock)
        self.submit = self.driver.submit
        self.in_flight = self.driver.in_flight

    # Requests.

    def handle_request(self, call: Call, reply: Reply) -> None:
        """Accept a client's request; `reply` is called exactly once for it."""
        self.driver.accept(call.request, lambda final: self.finish(final, reply), call, call.received_at)

    def client_disconnected(self, call: Call) -> None:
        """Report a client's disconnect to the driver, unless the call was rejected because its id is in flight."""
        in_flight = self.in_flight.get(call.request.id)
        if in_flight is not None and in_flight.context is call:
            self.client_gone(call)

    def client_gone(self, call: WaitingCall) -> None:
        """Report to the driver that the client of a request in flight has left."""
        self.driver.client_gone(call.request.id)

    @staticmethod
    def finish(final: Final, reply: Reply) -> None:
        """Write the final answer as an HTTP response; a served request gets the backend's body unchanged."""
        if final.verdict is Verdict.SERVED:
            response: Response = final.payload
            content_type = response.headers.get(b"content-type")
            reply(200, b"Content-Type: %s\r\n" % content_type if content_type else b"", response.body)
        else:
            header_lines = b"".join(b"%s: %s\r\n" % header for header in headers_of(final))
            reply(STATUS[final.verdict], header_lines, b"")

    # Backends.

    def may_send(self, in_flight: InFlightRequest, backend: str) -> bool:
        """Return whether a request may be sent now: its client is connected, and its backend accepts requests.

        The client may have disconnected without this process having read that: the FIN comes after the request, a busy
        process reads both late, timers that are due run before reads, and reading may be paused. So the state of the
        client's socket is checked, at the cost of a system call.
        """
        if in_flight.answered or backend not in self.serving:
            return False
        call: WaitingCall = in_flight.context
        if call.has_client_left():
            self.client_gone(call)
            return False
        return True

    def prepare(
        self, in_flight: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]
    ) -> BackendAttempt:
        """Return an attempt to be started. It is not sent if its client has left or its backend drains by then."""
        call: Call = in_flight.context

        def message() -> bytes:
            return call.message(max(MIN_BACKEND_BUDGET_S, in_flight.deadline - self.driver.scheduler.time()))

        def can_send() -> bool:
            return self.may_send(in_flight, backend)

        def ended(_: BackendExchange, outcome: Outcome, response: Response | None) -> None:
            true_units = 0.0
            if response is not None and outcome is Outcome.OK:
                true_units = parse_non_negative(response.headers.get(b"x-cost-units", b""))
            load = self.load_report(response) if self.settings.load_in_answers else {}
            on_end(AttemptResult(outcome, response, true_units, load))

        return BackendAttempt(self.upstream, BackendExchange(backend, message, can_send, ended, guarded=True))

    def probe(self, backend: str) -> None:
        """Request a backend's load report. A response with status 503 may contain one too."""
        began = self.loop.time()

        def ended(exchange: BackendExchange, outcome: Outcome, response: Response | None) -> None:
            elapsed = self.loop.time() - began
            self.submit(events.ProbeEnded(backend, outcome, elapsed, self.load_report(response)))

        exchange = BackendExchange(backend, lambda: LOAD_REPORT_REQUEST, lambda: backend in self.serving, ended)
        self.upstream.send(exchange, self.settings.connect_timeout)

    def close_idle(self, backend: str) -> None:
        """Close a backend's idle connections."""
        self.upstream.close_idle(backend)

    def load_report(self, response: Response | None) -> dict[str, float]:
        """Return a response's load report: `TEXT name=value, ...`, from its header or, for a probe, from its body."""
        if response is None:
            return {}
        text = (response.headers.get(b"x-load-report") or response.body).decode("ascii", "replace")
        pairs = (part.strip().partition("=") for part in text.removeprefix("TEXT").split(","))
        return {key: parse_non_negative(value.encode()) for key, _, value in pairs if key in self.load_fields}

    # The endpoint list.

    def update_backends(self, backends: BackendList, saved: bool = False) -> None:
        """Apply the endpoint list or a change to it.

        Idle connections to old addresses are closed before the decision module gets the update, since it may start
        attempts at once.
        """
        if backends.complete:
            for backend in self.upstream.pools.keys() - {e.backend for e, _ in backends.entries}:
                self.upstream.update(backend, None)
            self.serving.clear()
        for entry, endpoint in backends.entries:
            self.upstream.update(entry.backend, endpoint)
            if entry.phase is Phase.RUNNING:
                self.serving.add(entry.backend)
            else:
                self.serving.discard(entry.backend)
                self.upstream.close_idle(entry.backend)
        kind = ListKind.WHOLE if backends.complete else ListKind.CHANGE
        if saved:
            kind = ListKind.SAVED
        self.submit(events.ListUpdate(kind, backends.version, tuple(e for e, _ in backends.entries)))


def parse_non_negative(text: bytes) -> float:
    """Return a finite number of 0 or more; 0 for any other text."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < float("inf") else 0.0
