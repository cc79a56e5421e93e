"""What the driver has around it in the daemon: clients' calls come in, exchanges with backends go out."""

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
from thistleusher.net.client_connection import Reply
from thistleusher.net.exchange import BackendExchange
from thistleusher.net.upstream import Upstream
from thistleusher.services.http_responses import Response

MIN_PATIENCE_S = 0.001  # the smallest X-Budget of a backend, however little time is left
LOAD_REPORT_REQUEST = b"GET /load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


class BackendAttempt:
    """An attempt that is one exchange with a backend."""

    __slots__ = ("upstream", "exchange")

    def __init__(self, upstream: Upstream, exchange: BackendExchange) -> None:
        self.upstream = upstream
        self.exchange = exchange

    @property
    def written(self) -> bool:
        """Whether the request has been written whole, so that it may have run."""
        return self.exchange.written

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of its backend are unread; if this process stood still, its response may be there."""
        connection = self.exchange.connection
        return connection is not None and connection.is_stale()

    def start(self, timeout: float) -> None:
        """Begin; the outcome may come before this returns."""
        self.upstream.send(self.exchange, timeout)

    def expire(self) -> None:
        """End it as timed out."""
        self.upstream.expire(self.exchange)

    def cancel(self) -> None:
        """End it as cancelled, as its backend does not answer."""
        self.upstream.cancel(self.exchange)

    def abandon(self) -> None:
        """End it as cancelled, as nobody waits for its answer."""
        self.exchange.give_up(Outcome.CANCELLED)


class Ingress:
    """One ingress: a driver, and the backends that it reaches over HTTP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        gateway: Decisions,
        upstream: Upstream,
        load_fields: tuple[str, ...] = (),
        unix: Callable[[], float] = time.time,
        scheduler: Scheduler | None = None,
    ) -> None:
        """`load_fields`: the values of a load report that are used; `unix` gives Unix time in seconds."""
        self.loop = loop
        self.settings = settings
        self.upstream = upstream
        self.load_fields = load_fields
        self.serving: set[str] = set()  # backends that may be sent requests
        self.driver = Driver(settings, gateway, self, scheduler or loop, unix)
        self.submit = self.driver.submit
        self.in_flight = self.driver.in_flight

    # Requests.

    def handle_request(self, call: Call, reply: Reply) -> None:
        """Take a client's request; it gets exactly one response from here on."""
        self.driver.accept(call.request, lambda final: self.finish(final, reply), call, call.received_at)

    def client_disconnected(self, call: Call) -> None:
        """Report a client that has gone; a call whose id another request has was never taken."""
        in_flight = self.in_flight.get(call.request.id)
        if in_flight is not None and in_flight.context is call:
            self.driver.client_gone(call.request.id)

    @staticmethod
    def finish(final: Final, reply: Reply) -> None:
        """Write the final answer as an HTTP response; a served one is the backend's, unchanged."""
        if final.verdict is Verdict.SERVED:
            response: Response = final.payload
            content_type = response.headers.get(b"content-type")
            reply(200, b"Content-Type: %s\r\n" % content_type if content_type else b"", response.body)
        else:
            header_lines = b"".join(b"%s: %s\r\n" % header for header in headers_of(final))
            reply(STATUS[final.verdict], header_lines, b"")

    # Backends.

    def may_send(self, in_flight: InFlightRequest, backend: str) -> bool:
        """Return whether a byte of a request may go out now: its client waits for it, and its backend takes requests.

        A client may have left without this process having read that: its end lies behind its request, a busy process
        reads both late, timers of the same moment come before reads, and reading may be paused. So its connection is
        looked at, at the cost of a system call.
        """
        if in_flight.answered or backend not in self.serving:
            return False
        call: WaitingCall = in_flight.context
        if call.has_client_left():
            self.driver.client_gone(call.request.id)
            return False
        return True

    def prepare(
        self, in_flight: InFlightRequest, backend: str, on_end: Callable[[AttemptResult], None]
    ) -> BackendAttempt:
        """Prepare an attempt. It is not sent if its client has gone or its backend drains by then."""
        call: Call = in_flight.context

        def message() -> bytes:
            return call.message(max(MIN_PATIENCE_S, in_flight.deadline - self.driver.scheduler.time()))

        def can_send() -> bool:
            return self.may_send(in_flight, backend)

        def ended(_: BackendExchange, outcome: Outcome, response: Response | None) -> None:
            true_units = 0.0
            if response is not None and outcome is Outcome.OK:
                true_units = read_number(response.headers.get(b"x-cost-units", b""))
            load = self.load_report(response) if self.settings.load_in_answers else {}
            on_end(AttemptResult(outcome, response, true_units, load))

        return BackendAttempt(self.upstream, BackendExchange(backend, message, can_send, ended, guarded=True))

    def probe(self, backend: str) -> None:
        """Ask a backend for its load; the response may be a 503."""
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
        """Return the load report of a response, `TEXT name=value, ...` in its header or, for a probe, its body."""
        if response is None:
            return {}
        text = (response.headers.get(b"x-load-report") or response.body).decode("ascii", "replace")
        pairs = (part.strip().partition("=") for part in text.removeprefix("TEXT").split(","))
        return {key: read_number(value.encode()) for key, _, value in pairs if key in self.load_fields}

    # The list of backends.

    def update_backends(self, backends: BackendList, saved: bool = False) -> None:
        """Follow the list of backends or a change to it.

        Connections to old addresses are closed before the decision module hears of it and may send anything.
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


def read_number(text: bytes) -> float:
    """Return a number of 0 or more, or 0 if there is none."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < float("inf") else 0.0
