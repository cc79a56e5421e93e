"""Requests and answers in transit: which headers are forwarded, and which outcome an answer means for its attempt."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.net.ingress import BackendAttempt
from thistleusher.proxy.requests import RequestContext
from thistleusher.services.http_responses import Response

SEAL_HEADER = b"x-server-seal"  # a backend's proof that an answer is its own
NOT_RUN_HEADER = b"x-not-run"  # a backend's proof that the request has not run and never will
ATTEMPT_HEADER = b"x-attempt-id"
DEADLINE_HEADER = b"x-deadline-ms"

CONNECTION_HEADERS = {
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
}  # headers that concern one connection or its message framing
NOT_FORWARDED = CONNECTION_HEADERS | {b"authorization", b"x-tenant", b"x-expect-instance", DEADLINE_HEADER}
SINGLE_HEADERS = (b"host", ATTEMPT_HEADER, DEADLINE_HEADER, b"authorization")  # malformed if repeated
ALWAYS_FORWARDED = {b"host", ATTEMPT_HEADER}  # forwarded even if `Connection` lists them

MISDIRECTED = 421
NOT_RUN_STATUSES = (408, MISDIRECTED, 429, 503)  # these promise that a request has not run and never will


class RequestHeaders(NamedTuple):
    """A request's headers: the values by lower-case name, and the lines to forward to a backend unchanged."""

    values: dict[bytes, bytes]
    forwarded: bytes


def read_headers(headers: Iterable[tuple[bytes, bytes]]) -> RequestHeaders | ServiceError:
    """Return a request's headers, or an error if a header that must be unique occurs more than once."""
    values: dict[bytes, bytes] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    for name, value in headers:
        key = name.lower()
        if key in values and key in SINGLE_HEADERS:
            return ServiceError(ErrorKind.MALFORMED, f"{key.decode()}: more than one")
        values[key] = value
        if key not in NOT_FORWARDED:
            forwarded.append((key, b"%s: %s\r\n" % (name, value)))
    connection = values.get(b"connection", b"")
    if connection:
        dropped = header_names(connection) - ALWAYS_FORWARDED
        forwarded = [(key, line) for key, line in forwarded if key not in dropped]
    return RequestHeaders(values, b"".join(line for _, line in forwarded))


def header_names(connection: bytes) -> set[bytes]:
    """Return the lower-case names that a `Connection` header lists."""
    return {part.strip().lower() for part in connection.split(b",")}


def answer_lines(answer: Response) -> bytes:
    """Return the header lines of an answer to forward to the client: all but connection headers."""
    dropped = header_names(answer.headers.get(b"connection", b""))
    return b"".join(
        b"%s: %s\r\n" % (name, value)
        for name, value in answer.headers.items()
        if name not in CONNECTION_HEADERS and name not in dropped
    )


def outcome_of(answer: Response) -> Outcome:
    """Return the outcome of an attempt by its answer.

    A success without the backend's seal is an error, as something other than the backend has answered. A status that
    promises that the request has not run is trusted only with the backend's `x-not-run` header; 421 needs none.
    """
    if NOT_RUN_HEADER in answer.headers or answer.status == MISDIRECTED:
        return Outcome.FULL
    if 200 <= answer.status < 300:
        return Outcome.OK if SEAL_HEADER in answer.headers else Outcome.ERROR
    return Outcome.OK if answer.status < 500 and answer.status not in NOT_RUN_STATUSES else Outcome.ERROR


@dataclass(slots=True)
class ClientRequest:
    """A client's request that has been read completely and is to be forwarded."""

    request: events.Request
    context: RequestContext
    start: bytes  # request line and the headers that are forwarded unchanged
    body: bytes | bytearray
    received_at: float
    has_client_left: Callable[[], bool]  # whether its connection has ended, even if the end is still unread
    last_error: Response | None = None  # newest 5xx answer that reports a backend's own error
    has_length: bool = True  # whether the forwarded request states its length
    attempt: BackendAttempt | None = None  # attempt in flight, None between attempts
    ended_attempt_may_have_run: bool = False
    released: bool = False  # whether the request has ended for its client

    def may_have_run(self) -> bool:
        """Return whether a backend may have started the request, so that no rejection may be sent any more."""
        return self.ended_attempt_may_have_run or (self.attempt is not None and self.attempt.may_have_run)

    def head(self, remaining_s: float, backend: str) -> bytes:
        """Return the head to send to the backend; `remaining_s`: remaining time of the request in seconds."""
        tenant = b"X-Tenant: %s\r\n" % self.context.tenant.encode() if self.context.tenant is not None else b""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.has_length else b""
        return b"%sX-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\n%s%s\r\n" % (
            self.start,
            max(1, int(remaining_s * 1000)),
            backend.encode(),
            tenant,
            length,
        )

    def release(self) -> None:
        """Drop the head, the body and the kept answer when the request is answered or its client has left.

        The request itself may be kept by reference cycles until the collector runs, which counts objects, not bytes.
        """
        self.start = b""
        self.body = b""
        self.released = True
        if self.last_error is not None:
            self.last_error.release()
            self.last_error = None

    def keep_error(self, answer: Response) -> None:
        """Keep the newest answer that reports a backend's own error, unless the request has ended."""
        if self.last_error is not None:
            self.last_error.release()
            self.last_error = None
        if self.released:
            answer.release()
        else:
            self.last_error = answer
