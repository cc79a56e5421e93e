"""The state of one client connection, and what can be asked about it; `net.client_connection` changes it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from thistleusher.net import socket_state
from thistleusher.net.body_progress import BodyProgress
from thistleusher.net.request_buffer import RequestBuffer, RequestMemory
from thistleusher.net.request_handler import QueuedRequest, RequestHandler
from thistleusher.net.unsent_responses import UnsentResponses

MAX_LINGER_BYTES = 256 * 1024  # input that is read and discarded while lingering


class ConnectionState(RequestBuffer):
    """The state of one client connection."""

    server: RequestHandler

    def __init__(self, server: RequestHandler) -> None:
        super().__init__(server)
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.queue: deque[QueuedRequest] = deque()  # requests read ahead
        self.current_request: Any = None  # the request that awaits its response
        self.current_memory = RequestMemory()
        self.unsent = UnsentResponses(server.budget) if server.budget is not None else None
        self.awaits_memory_since = 0.0  # Time on the loop's clock; 0 if the incoming body does not wait.
        self.memory_waited_s = 0.0  # Seconds of earlier waits of the incoming request.
        self.body_progress = BodyProgress()
        self.received_bytes = 0  # Size of the input that was discarded.
        self.max_discarded_bytes = MAX_LINGER_BYTES
        self.discarded_bytes = 0  # Value of `received_bytes` at the last check while lingering.
        self.linger_began_at = 0.0
        self.keep_alive = True  # whether the connection stays open after the current response
        self.closing = False
        self.disconnected = False
        self.discarding_input = False
        self.reading_paused = False
        self.over_limit = False  # accepted beyond the server's connection limit
        self.has_sent_request = False
        self.last_activity = next(server.activity_counter)
        self.request_started_at = 0.0  # when the first byte of the incoming request arrived; 0 between requests
        self.idle_since = self.loop.time()
        self.writing_paused = False  # the write buffer is full: the client reads too slowly
        self.unsent_bytes = 0  # response bytes not acknowledged yet, in the transport and in the kernel
        self.last_progress_at = 0.0  # when `unsent_bytes` last changed

    def is_stalled(self, now: float) -> bool:
        """Return whether the client has read nothing of its responses for the read time-out; updates its progress.

        Clients that read slowly, but do read, are not stalled.
        """
        if self.transport is None:
            return False
        buffered = self.transport.get_write_buffer_size()
        unsent = buffered + self.unacknowledged_bytes()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.last_progress_at = now
        return buffered > 0 and now - self.last_progress_at > self.server.limits.read_timeout_s

    def is_idle(self) -> bool:
        """Return whether no request is in progress or unread. Closing can then only race with a request in transit."""
        busy = self.current_request is not None or self.queue or self.request_started_at
        if busy or self.closing or self.transport is None:
            return False
        return not self.has_unread_bytes()

    def is_answered(self) -> bool:
        """Return whether the last response is written, and the client has only to close its side."""
        return self.closing and self.transport is not None and not self.transport.get_write_buffer_size()

    def awaits_first_request(self) -> bool:
        """Return whether no request of this connection has come whole, or none that could be read."""
        return not (self.has_sent_request or self.current_request is not None or self.queue)

    def unacknowledged_bytes(self) -> int:
        """Return the bytes in the kernel's send buffer: up to megabytes, which take a slow client many seconds."""
        assert self.transport is not None
        return socket_state.unacknowledged_bytes(self.transport.get_extra_info("socket"))

    def has_stalled_body(self) -> bool:
        """Return whether memory is held for a body of which next to nothing comes."""
        holds_memory = self.reservation is not None and not self.reservation.is_waiting
        return holds_memory and self.body_progress.has_stalled and not self.has_unread_bytes()

    def has_client_left(self) -> bool:
        """Return whether the client has closed its side, even if the event loop has not read that yet."""
        if self.disconnected or self.transport is None:
            return True
        sock = self.transport.get_extra_info("socket")
        return sock is not None and socket_state.has_peer_closed(sock)

    def has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes that the event loop has not read yet."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        return sock is not None and socket_state.has_unread_bytes(sock)
