"""Client connections: parse pipelined HTTP/1.1 requests, and write one response to each, in request order."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import Any, cast

import httptools

from thistleusher.core.request import BadRequest
from thistleusher.net.connection_state import MAX_LINGER_BYTES, ConnectionState
from thistleusher.net.memory_budget import release
from thistleusher.net.message_writer import response_head, write_message
from thistleusher.net.request_buffer import BodyRejectedError, RequestMemory
from thistleusher.net.request_handler import ImmediateResponse, QueuedRequest
from thistleusher.services.fair_reads import FairReads
from thistleusher.services.message_limits import MessageLimitError

MAX_PIPELINED_REQUESTS = 16  # Upper bound of requests read ahead on one connection, but for those of one read.
LINGER_S = 0.5  # time for a client to close its side after the last response has been written
PROCESS_PAUSE_S = 1.0  # a timer that fires later than this shows that the process was suspended

NO_MEMORY_LINES = b"Retry-After: 0.2\r\n"


class _RequestsEndedError(Exception):
    """Bytes follow the last request that is read from a connection."""


class ClientConnection(ConnectionState, FairReads):
    """One client connection. Its requests are answered in order."""

    # Transport events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it
        if not self.server.connection_opened(self):
            self.abort()

    def eof_received(self) -> bool:
        """Treat the client as disconnected. A half-closed connection cannot be told from a closed one.

        The transport closes once its responses are written. A client that does not read them delays that; lingering
        bounds the delay.
        """
        self.forget_request()
        self._abandon_requests()
        if not self.closing:
            self.closing = True
            self._linger()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister, drop the requests read ahead, and report the disconnect for the current request."""
        self.closing = True
        self.disconnected = True
        self.forget_request()  # It will not be completed.
        self._account_for_unsent()
        self.server.connections.discard(self)
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Drop the requests read ahead, and report the disconnect for the current request."""
        while self.queue:
            self.queue.popleft().memory.release()
        request = self.current_request
        self.current_request = None
        self._release_current()
        if request is not None:
            self.server.client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        """Parse input, or discard it after a request that was rejected before it was complete."""
        if self.discarding_input:
            self.received_bytes += len(data)
            if self.received_bytes > self.max_discarded_bytes:
                self._pause_reading()
            return
        self.last_activity = next(self.server.activity_counter)
        self.request_started_at = self.request_started_at or self.loop.time()
        try:
            self.meter.feed(self.parser, data)
            if self.request_started_at and not self.discarding_input:
                self.account_for_head(self.meter.kept_bytes)
        except (MessageLimitError, BodyRejectedError) as error:
            self._reject_for(error)
        except httptools.HttpParserError as error:
            self._reject_for(error.__context__)

    def _reject_for(self, cause: BaseException | None) -> None:
        """Reject the request that cannot be read; `cause`: why, None if it is malformed."""
        if self.discarding_input or self.closing:
            return  # What follows the last request that is read does not count.
        if isinstance(cause, MessageLimitError):
            self.reject(431, f"a request with {cause}")
        elif isinstance(cause, BodyRejectedError):
            self.reject_for_memory()
        elif isinstance(cause, BadRequest):
            self.reject(int(cause.args[0]), str(cause.args[1]))
        else:
            self.reject(400, "malformed HTTP")

    def wants_data(self) -> bool:
        """Return whether the connection is open and reading is not paused."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not self.reading_paused and not self.disconnected

    def take_work(self) -> int:
        """Return the number of parts of requests that were read since the last call."""
        return self.meter.take_parts()

    def reject(self, status: int, reason: str, header_lines: bytes = b"") -> None:
        """Answer an unreadable request with an error, after the requests before it, and close the connection."""
        self.discarding_input = True
        self.received_bytes = 0
        self.awaits_memory_since = 0.0
        self.forget_request()
        response = ImmediateResponse(status, reason, header_lines)
        self._enqueue(QueuedRequest(response, keep_alive=False))

    def reject_for_memory(self) -> None:
        """Reject a request that there is no memory for; it was not read, so it has not run."""
        # A client may read no answer before it has sent its whole body.
        self.max_discarded_bytes = self.server.limits.max_body_bytes
        if self.server.budget is not None:
            self.server.budget.rejected += 1
        self.reject(503, "no memory for this body now", NO_MEMORY_LINES)

    def on_memory_awaited(self) -> None:
        """Pause reading: the client is held up until its body can be held."""
        self.awaits_memory_since = self.loop.time()
        self._pause_reading()

    def on_memory_granted(self) -> None:
        """Read on. The time for which the client was held up does not count as its own."""
        if not self.awaits_memory_since:
            return
        waited_s = self.loop.time() - self.awaits_memory_since
        self.memory_waited_s += waited_s
        if self.request_started_at:
            self.request_started_at += waited_s
        self.awaits_memory_since = 0.0
        self.body_progress.restart(self.loop.time(), len(self.body))
        self._read_on()

    def pause_writing(self) -> None:
        """Stop processing queued requests while the client does not read its responses."""
        self.writing_paused = True
        self.last_progress_at = self.loop.time()

    def resume_writing(self) -> None:
        """Process the queued requests again."""
        self.writing_paused = False
        self._account_for_unsent()
        self.process_queue()

    # Parser callbacks; `RequestBuffer` has the others.

    def on_message_begin(self) -> None:
        """Reset the buffer for a new request, unless the one before was the last."""
        if self.discarding_input or self.closing:
            raise _RequestsEndedError
        self.reset()
        self.request_started_at = self.loop.time()
        self.memory_waited_s = 0.0
        self.body_progress.restart(self.request_started_at, 0)

    def on_message_complete(self) -> None:
        """Queue the complete request, or the response to one that needs no decision."""
        self.request_started_at = 0.0
        self.meter.end_message()
        self.has_sent_request = True
        if self.current_request is not None or self.queue or self.writing_paused:
            self.account_for_read_ahead()
        request = self.server.read_request(self)
        memory = self.take_memory()
        if self.awaits_memory_since:  # The body was completed by the read that began it.
            self.awaits_memory_since = 0.0
            self._read_on()
        if isinstance(request, ImmediateResponse):
            release(memory.body)  # It is not needed.
            if request.closes:  # makes a client reconnect to repeat it
                memory.release()
                self.reject(request.status, request.text)
                return
        # A 503 closes the connection, so that repeated health checks do not displace the connections of served clients.
        unavailable = isinstance(request, ImmediateResponse) and request.status == 503
        keep_alive = self.parser.should_keep_alive() and not self.over_limit and not unavailable
        self._enqueue(QueuedRequest(request, keep_alive, memory))

    # Responses, in request order.

    def _enqueue(self, queued: QueuedRequest) -> None:
        self.queue.append(queued)
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            self._pause_reading()
        if self.current_request is None:
            self.process_queue()

    def process_queue(self) -> None:
        """Process the requests read ahead until one has to wait for its response."""
        while self.queue and self.current_request is None and not self.closing and not self.writing_paused:
            request, self.keep_alive, memory = self.queue.popleft()
            if isinstance(request, ImmediateResponse):
                self._write(request.status, request.header_lines, request.text.encode())
                memory.release()
            else:
                self.current_request = request
                self.current_memory = memory
                self.server.handle_request(request, functools.partial(self.reply, request))
        self._read_on()

    def _read_on(self) -> None:
        """Resume reading unless something else holds it up."""
        held_up = self.discarding_input or self.awaits_memory_since or len(self.queue) > MAX_PIPELINED_REQUESTS
        if self.reading_paused and not self.closing and not held_up:
            self._resume_reading()

    def _release_current(self) -> None:
        self.current_memory.release()
        self.current_memory = RequestMemory()

    def reply(self, request: Any, status: int, header_lines: bytes, body: bytes) -> None:
        """Write the final response to a request.

        A second response to the same request is dropped: the client would take it for the response to the next one.
        """
        if self.current_request is not request:
            return
        self.current_request = None
        self._release_current()
        # The request was found invalid only at its decision, because its id is in flight; or the backend answered 400.
        if status == 400:
            self.discarding_input = True
            self.keep_alive = False
        self._write(status, header_lines, body)
        if self.queue:  # deferred, since `reply` may be called while the driver handles an event
            self.loop.call_soon(self.process_queue)

    def _write(self, status: int, header_lines: bytes, body: bytes) -> None:
        if self.transport is None or self.closing:
            return
        self.idle_since = self.loop.time()
        close = not self.keep_alive or self.server.draining
        if close:
            header_lines += b"Connection: close\r\n"
        head = response_head(status, header_lines, len(body))
        write_message(self.transport, head, body)
        if self.unsent is not None:
            self.unsent.add(len(head), len(body))
            self._account_for_unsent()
        if close:
            self.close()

    def _account_for_unsent(self) -> None:
        """Account for the memory of the responses that the client has not taken yet."""
        if self.unsent is not None and self.transport is not None:
            self.unsent.update(0 if self.disconnected else self.transport.get_write_buffer_size())

    # Closing.

    def abort(self) -> None:
        """Close at once, with what is unread and unwritten."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after the responses are written.

        Closing a socket with unread input resets the connection and can destroy responses in transit. If the client
        still sends, only this side is closed, and input is discarded for `LINGER_S`.
        """
        if self.closing or self.transport is None:
            return
        self.closing = True
        if self.discarding_input or self.queue or self.has_unread_bytes():
            self._discard_input()
            with contextlib.suppress(RuntimeError):  # the connection is broken, but `connection_lost` is still to come
                self.transport.write_eof()
        else:
            self.transport.close()
        self._linger()

    def _linger(self) -> None:
        """Abort after `LINGER_S`, whether or not the client has closed its side."""
        self.last_progress_at = self.linger_began_at = self.loop.time()
        self.loop.call_later(LINGER_S, self._end_linger, self.last_progress_at + LINGER_S)

    def _discard_input(self) -> None:
        """Read and discard all further input."""
        self.forget_request()
        if not self.discarding_input:
            self.discarding_input = True
            self.received_bytes = 0
        if self.reading_paused and self.transport is not None:
            self._resume_reading()

    def _end_linger(self, due: float) -> None:
        """Abort, whether or not the client has closed its side, unless it still reads its last response."""
        if self.disconnected or self.transport is None:
            return
        now = self.loop.time()
        if now > due + PROCESS_PAUSE_S:
            self.last_progress_at = now
        is_sending = self.max_discarded_bytes > MAX_LINGER_BYTES and self._is_still_sending(now)
        if (self.transport.get_write_buffer_size() and not self.is_stalled(now)) or is_sending:
            self.loop.call_later(LINGER_S, self._end_linger, now + LINGER_S)
        else:
            self.transport.abort()

    def _is_still_sending(self, now: float) -> bool:
        """Return whether the client sends the rest of a refused body: it may read no answer before it has sent all."""
        progressed = self.received_bytes > self.discarded_bytes
        self.discarded_bytes = self.received_bytes
        return progressed and now - self.linger_began_at < self.server.limits.read_timeout_s

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()

    # Time-outs.

    def check_timeouts(self, now: float) -> None:
        """Enforce the time-outs for a first byte, memory, a whole request, the next one, and reading of responses."""
        self._account_for_unsent()
        if not self.closing and self.transport is not None:
            self.body_progress.update(now, len(self.body))
            self._check_open(now)

    def _check_open(self, now: float) -> None:
        assert self.transport is not None
        limits = self.server.limits
        if self.reading_paused and self.has_client_left():  # a paused transport does not detect the disconnect
            self.abort()
        elif self.writing_paused:
            if self.is_stalled(now):
                self.abort()
        elif self.awaits_memory_since:
            if self.memory_waited_s + now - self.awaits_memory_since > self.server.memory_wait_s(self):
                self.reject_for_memory()
        elif self.request_started_at:
            late = now - self.request_started_at > limits.read_timeout_s
            if late and not self.discarding_input and not self.has_unread_bytes():
                self.reject(408, "the request did not come whole in time")
        else:
            allowed = limits.idle_timeout_s if self.has_sent_request else limits.read_timeout_s
            if now - self.idle_since > allowed and self.is_idle():
                self.close()
