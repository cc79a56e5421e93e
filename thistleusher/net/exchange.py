"""One request to a backend, from its start to its one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from thistleusher.core.events import Outcome
from thistleusher.services.http_responses import Response

RESPONSE_STALL_S = 0.25  # without a byte in the middle of a response, after which the rest is not waited for


class ExchangeConnection(Protocol):
    """What an exchange and its owner may do with the connection that carries it."""

    def is_stale(self) -> bool:
        """Return whether the backend has closed it, or has sent what was not read yet."""

    def drop(self) -> None:
        """Close it at once."""


class BackendExchange:
    """One request to a backend and its one outcome, reported through `on_end`.

    `can_send` is asked at the start, again once a new connection is open, and before a last byte that was held back:
    meanwhile the backend may have begun to drain, or the client may have gone.
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
    ) -> None:
        """Describe the exchange; `Upstream.send` starts it.

        `guarded`: whether the last byte may be held back until the connection has proved to be open, so that nothing
        runs that is not known to have run; `Upstream.send` clears it while connections are not seen to break.

        `request_id`: what the header `UpstreamOptions.request_id_header` of its response must hold; a response with
        another id, or with none, belongs to no request here.

        `stall_timeout`: seconds without a byte in the middle of its response, after which the rest is not waited for;
        0 for never. It is asked again once they are over.
        """
        self.backend = backend
        self.message = message
        self.can_send = can_send
        self.on_end = on_end
        self.guarded = guarded
        self.request_id = request_id
        self.stall_timeout = stall_timeout
        self.connection: ExchangeConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.written = False  # whole: from here on it may have run
        self.ended = False
        self.reads_before = 0  # the pool's count of reads when it was started

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome; only the first one counts."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, response)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting. The connection is closed first, so that what is sent next is no second copy.

        The outcome reported is another one where the request was not written whole: it has surely not run.
        """
        if self.ended:
            return
        if self.connection is not None:
            self.connection.drop()
        if not self.written:
            outcome = Outcome.MOOT if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED
        self.end(outcome)
