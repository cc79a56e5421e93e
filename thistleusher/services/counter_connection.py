"""One connection to the counter service: sends adds and receives totals in the same order."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.services.fair_reads import FairReads
from thistleusher.services.http_responses import Response, ResponseReader

log = logging.getLogger(__name__)

RESPONSE_STALL_S = 0.05  # a connection is replaced after this time without data in the middle of a response
RETIRE_TIMEOUT_S = 1.5  # time for which a replaced connection waits for pending responses
# Excludes nan and inf, which hundreds of digits would read as; settled units can make it negative.
TOTAL = re.compile(rb"-?\d{1,40}(\.\d{1,40})?([eE][+-]?\d{1,2})?")
NOT_ADDED_STATUSES = (400, 404)


class PendingAdd:
    """One call to the counter, with the loop time by which it needs an outcome."""

    __slots__ = ("name", "request", "started_at", "due_at", "reply")

    def __init__(self, name: int, request: bytes, started_at: float, due_at: float) -> None:
        self.name = name
        self.request = request
        self.started_at = started_at
        self.due_at = due_at
        self.reply: events.CounterReply | None = None  # the outcome; None until it is known


class ConnectionOwner(Protocol):
    """What a connection needs of its channel."""

    loop: asyncio.AbstractEventLoop

    @property
    def report(self) -> Callable[..., Any]:
        """The callback `report(add, outcome, total)` for the outcome of an add; only the first outcome counts."""

    def connection_ready(self, connection: CounterConnection) -> None:
        """Use this connection for all further calls."""

    def connection_ended(self, connection: CounterConnection) -> None:
        """Open another connection if this was the current one."""


class CounterConnection(FairReads):
    """One connection to the counter. Responses arrive in the order of the calls."""

    def __init__(self, channel: ConnectionOwner) -> None:
        self.channel = channel
        self.loop = channel.loop
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        # Calls written but not answered. They stay here after their deadline, so that late responses match their call.
        self.pending: deque[PendingAdd] = deque()
        self.last_received_at = 0.0
        self.has_served = False
        self.retired = False
        self.closed = False
        self.stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register as the channel's new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.channel.connection_ready(self)

    def write(self, add: PendingAdd) -> None:
        """Send a call."""
        assert self.transport is not None
        if not self.pending:
            self.last_received_at = self.loop.time()
        self.pending.append(add)
        self.transport.write(add.request)

    def data_received(self, data: bytes) -> None:
        """Match each complete response to its call; a malformed or stalled response ends the connection."""
        if self.closed:
            return
        self.last_received_at = self.loop.time()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        for response in self.reader.feed(data):
            self._handle_response(response)
        if self.reader.error:
            self.end(f"spoilt: {self.reader.error}", malformed=True)
        elif self.reader.partial and not self.closed:
            self.stall_timer = self.loop.call_later(RESPONSE_STALL_S, self.end, "response stalled", True)

    def wants_data(self) -> bool:
        """Return whether the connection is open."""
        return not self.closed

    def _handle_response(self, response: Response) -> None:
        """Report the outcome of the oldest pending call."""
        if self.closed:
            return
        if not self.pending:
            self.end("response without a pending call")
            return
        if response.status == 200 and TOTAL.fullmatch(response.body) is None:
            self.end("malformed response: body is not a total", malformed=True)
            return
        add = self.pending.popleft()
        self.has_served = True
        if response.status == 200:
            self.channel.report(add, Outcome.OK, float(response.body))
        elif response.status == 503:
            self.channel.report(add, Outcome.FULL)
        else:
            not_added = response.status in NOT_ADDED_STATUSES
            log.warning("counter: unexpected status %d", response.status)
            self.channel.report(add, Outcome.CONNECT_FAILED if not_added else Outcome.TIMEOUT)
        if not response.keep_alive or (self.retired and not self.pending):
            self.end("done")

    def retire(self) -> None:
        """Close this replaced connection after its pending responses, or after `RETIRE_TIMEOUT_S` at the latest."""
        self.retired = True
        if self.pending:
            self.loop.call_later(RETIRE_TIMEOUT_S, self.end, "retired")
        else:
            self.end("retired")

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self.end("closed")

    def end(self, reason: str, malformed: bool = False) -> None:
        """Close the connection and report its pending calls, which may have been added.

        A malformed response shows that the first pending call was added. The channel is informed first, because an
        outcome may cause the next call, which must not be written to this connection.
        """
        if self.closed:
            return
        self.closed = True
        log.debug("counter: connection closed: %s", reason)
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.channel.connection_ended(self)
        for position, add in enumerate(self.pending):
            self.channel.report(add, Outcome.ERROR if malformed and position == 0 else Outcome.TIMEOUT)
        self.pending.clear()
