"""The driver's surroundings in the daemon: clients' calls in, exchanges with backends out."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from thistleusher.core import events
from thistleusher.core.answers import STATUS, headers_of
from thistleusher.core.driver import Driver, InFlightRequest
from thistleusher.core.events import ListKind, Outcome, Phase
from thistleusher.core.ports import Decisions, Ended, Final, Scheduler, Verdict
from thistleusher.core.settings import Settings
from thistleusher.net.client_call import Answer, Call
from thistleusher.net.discovery import Listing
from thistleusher.net.upstream import Exchange, Upstream

Reply = Callable[[int, bytes, bytes], None]  # status, further header lines, body


class Sent:
    """An attempt that is one exchange with a backend."""

    __slots__ = ("upstream", "exchange")

    def __init__(self, upstream: Upstream, exchange: Exchange) -> None:
        self.upstream, self.exchange = upstream, exchange

    @property
    def written(self) -> bool:
        return self.exchange.written

    def answering(self) -> bool:
        """Whether bytes of its backend lie unread: where this process has stood still, its answer may be among them."""
        connection = self.exchange.connection
        return connection is not None and connection.stale()

    def start(self, timeout: float) -> None:
        self.upstream.send(self.exchange, timeout)

    def expire(self) -> None:
        self.upstream.expire(self.exchange)

    def cancel(self) -> None:
        self.upstream.cancel(self.exchange)


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
        self.loop, self.settings, self.upstream = loop, settings, upstream
        self.load_fields = load_fields
        self.serving: set[str] = set()
        self.driver = Driver(settings, gateway, self, scheduler or loop, unix)
        self.submit, self.held = self.driver.submit, self.driver.held

    # Requests.

    def take(self, call: Call, reply: Reply) -> None:
        """A client's request has come whole: it is owed one answer from here on."""
        self.driver.take(call.request, lambda final: self.finish(final, reply), call, call.came)

    def gone(self, call: Call) -> None:
        """The client has closed its connection. An id that another request holds was never taken."""
        held = self.held.get(call.request.id)
        if held is not None and held.context is call:
            self.driver.gone(call.request.id)

    @staticmethod
    def finish(final: Final, reply: Reply) -> None:
        """The final answer in HTTP's words; a served one is the backend's, unchanged."""
        if final.verdict is Verdict.SERVED:
            answer: Answer = final.payload
            kind = answer.headers.get(b"content-type")
            reply(200, b"Content-Type: %s\r\n" % kind if kind else b"", answer.body)
        else:
            lines = b"".join(b"%s: %s\r\n" % header for header in headers_of(final))
            reply(STATUS[final.verdict], lines, b"")

    # Backends.

    def prepare(self, held: InFlightRequest, backend: str, on_end: Callable[[Ended], None]) -> Sent:
        """One attempt. It is not sent if its client has gone or its backend drains by then."""
        call: Call = held.context

        def message() -> bytes:
            return call.message(max(0.001, held.deadline - self.driver.scheduler.time()))

        def may_send() -> bool:
            return not held.answered and backend in self.serving

        def ended(_: Exchange, outcome: Outcome, answer: Answer | None) -> None:
            units = 0.0
            if answer is not None and outcome is Outcome.OK:
                units = read_number(answer.headers.get(b"x-cost-units", b""))
            on_end(Ended(outcome, answer, units, self.load(answer) if self.settings.load_in_answers else {}))

        return Sent(self.upstream, Exchange(backend, message, may_send, ended, guarded=True))

    def probe(self, backend: str) -> None:
        """Ask a backend for its load; the answer may be a 503."""
        began = self.loop.time()

        def ended(exchange: Exchange, outcome: Outcome, answer: Answer | None) -> None:
            self.submit(events.ProbeEnded(backend, outcome, self.loop.time() - began, self.load(answer)))

        self.upstream.send(
            Exchange(
                backend,
                lambda: b"GET /load HTTP/1.1\r\nHost: backend.local\r\n\r\n",
                lambda: backend in self.serving,
                ended,
            ),
            self.settings.connect_timeout,
        )

    def close_idle(self, backend: str) -> None:
        self.upstream.close_idle(backend)

    def load(self, answer: Answer | None) -> dict[str, float]:
        """The load report of an answer, in its header or, for a probe, its body: `TEXT name=value, ...`."""
        if answer is None:
            return {}
        text = (answer.headers.get(b"x-load-report") or answer.body).decode("ascii", "replace")
        pairs = (part.strip().partition("=") for part in text.removeprefix("TEXT").split(","))
        return {key: read_number(value.encode()) for key, _, value in pairs if key in self.load_fields}

    # The list of backends.

    def listed(self, listing: Listing, saved: bool = False) -> None:
        """The list or a change to it: connections of old go before the module may send anything."""
        if listing.whole:
            for backend in self.upstream.pools.keys() - {e.backend for e, _ in listing.entries}:
                self.upstream.update(backend, None)
            self.serving.clear()
        for entry, endpoint in listing.entries:
            self.upstream.update(entry.backend, endpoint)
            if entry.phase is Phase.RUNNING:
                self.serving.add(entry.backend)
            else:
                self.serving.discard(entry.backend)
                self.upstream.close_idle(entry.backend)
        kind = ListKind.SAVED if saved else ListKind.WHOLE if listing.whole else ListKind.CHANGE
        self.submit(events.ListUpdate(kind, listing.version, tuple(e for e, _ in listing.entries)))


def read_number(text: bytes) -> float:
    """A number of 0 or more, or 0 where there is none."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < float("inf") else 0.0
