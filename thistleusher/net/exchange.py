"""An exchange: one request to a backend and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from thistleusher.core.events import Outcome
from thistleusher.services.http_responses import Response

RESPONSE_STALL_S = 0.25  # a partial response that receives no byte for this long is abandoned


class ExchangeConnection(Protocol):
    """The part of a backend connection that an exchange and its owner use."""

    def is_stale(self) -> bool:
        """Return whether the backend has closed the connection or has sent bytes that are not read yet."""

    def drop(self) -> None:
        """Close the connection at once."""


class BackendExchange:
    """One request to a backend. It has exactly one outcome, reported through `on_end`.

    `can_send` is called at the start, after a new connection has opened, and before the delayed end of a head is
    written, since the backend may have begun to drain or the client may have disconnected in the meantime.

    `may_have_run` becomes true before the byte that completes the request's head is handed to the transport: a backend
    may run and answer a request before it has read the body. Whatever ends the exchange from then on, only the
    backend's own answer proves that the request has not run.
    """

    def __init__(
        self,
        backend: str,
        message: Callable[[], bytes],
        can_send: Callable[[], bool],
        on_end: Callable[[BackendExchange, Outcome, Response | None], None],
        guarded: bool = False,
        request_id: bytes = b"",
        stall_timeout: Callable[[], float] = lambda: RESPONSE_STALL_S,
        body: Callable[[], bytes | bytearray] = bytes,
    ) -> None:
        """Create an exchange; `Upstream.send` starts it.

        `guarded`: whether the end of the request's head may be delayed until the connection has proved to be open, so
        that a broken connection does not leave open whether the request has run. `Upstream.send` clears it unless
        connections have been seen to break lately.

        `request_id`: required value of the response header `UpstreamOptions.request_id_header`. A response with another
        value, or without the header, is not a response to this exchange.

        `message`: returns the request's head, with the body behind it unless `body` returns that, which is not copied.

        `stall_timeout`: returns the seconds after which a partial response that receives no byte is abandoned; 0 for
        never. It is called again when they have passed.
        """
        self.backend = backend
        self.message = message
        self.body = body
        self.can_send = can_send
        self.on_end = on_end
        self.guarded = guarded
        self.request_id = request_id
        self.stall_timeout = stall_timeout
        self.connection: ExchangeConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.may_have_run = False  # whether the request's head has been written completely
        self.ended = False
        self.keeps_response = False  # whether its owner needs the response after `on_end`, and releases it then
        self.read_count_at_start = 0  # the pool's `read_count` when the exchange started

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome; later calls have no effect."""
        if self.ended:
            if response is not None:
                response.release()
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        try:
            self.on_end(self, outcome, response)
        finally:
            if response is not None and not self.keeps_response:
                response.release()

    def give_up(self, outcome: Outcome) -> None:
        """Abandon the exchange.

        The connection is closed first, so that a repeated request never runs beside this one. If the request's head was
        not written completely, it cannot have run: MOOT (for CANCELLED) or CONNECT_FAILED is reported.
        """
        if self.ended:
            return
        if self.connection is not None:
            self.connection.drop()
        if not self.may_have_run:
            outcome = Outcome.MOOT if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED
        self.end(outcome)
