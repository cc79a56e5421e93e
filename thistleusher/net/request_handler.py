"""What a client connection and its server are to each other: the requests handed over, and the responses to them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from thistleusher.net.request_buffer import HasLimits, RequestMemory

if TYPE_CHECKING:
    from thistleusher.net.client_connection import ClientConnection

Reply = Callable[[int, bytes, bytes], None]  # status, additional header lines, body


class ImmediateResponse(NamedTuple):
    """A response that needs no admission decision."""

    status: int
    text: str
    header_lines: bytes = b""
    closes: bool = False  # whether the connection is closed after it


class QueuedRequest(NamedTuple):
    """A request read ahead, or the response to send in its turn; `memory`: what it takes."""

    request: Any
    keep_alive: bool
    memory: RequestMemory = RequestMemory()


class RequestHandler(HasLimits, Protocol):
    """The part of a server that its connections use."""

    loop: asyncio.AbstractEventLoop
    draining: bool
    activity_counter: itertools.count[int]
    connections: set[ClientConnection]

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Register a new connection. Return False if it has to be closed unread, as there are too many."""

    def read_request(self, connection: ClientConnection) -> Any:
        """Return the complete request, to be passed to `handle_request`, or an `ImmediateResponse`."""

    def handle_request(self, request: Any, reply: Reply) -> None:
        """Answer a request by calling `reply` exactly once, during this call or later."""

    def memory_wait_s(self, connection: ClientConnection) -> float:
        """Return the seconds that the request whose head a connection has read may wait for memory."""

    def client_disconnected(self, request: Any) -> None:
        """Handle the disconnect of the client of an unanswered request."""
