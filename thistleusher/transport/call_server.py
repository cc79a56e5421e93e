"""The HTTP server for calls: parses each request into a call, passes it to its handler and writes the response."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar
from urllib.parse import parse_qs, unquote

from thistleusher.common.errors import RESPONSES, ErrorKind, ServiceError, retry_after_header
from thistleusher.common.events import Event, log_event
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.connection_limits import MAX_CALL_CONNECTIONS
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.request_handler import ImmediateResponse, Reply
from thistleusher.net.server import Server
from thistleusher.transport.calls import CALLS, CallAnswer, ReplaceConfiguration, Resolve

JSON_HEADER = b"Content-Type: application/json\r\n"
MAX_SHOWN_PATH = 80  # Maximum number of characters of an unknown path that the error response includes.

C = TypeVar("C")
DoneCallback = Callable[[CallAnswer | ServiceError], None]


class Handler(NamedTuple, Generic[C]):
    """The handler of one type of call: `answer(call, done)` calls `done` once, with an answer or a ServiceError."""

    call: type[C]
    answer: Callable[[C, DoneCallback], None]


class RoutedCall(NamedTuple):
    """A call with its handler; `target` is the request target, for a redirect."""

    call: Any
    handler: Handler[Any]
    target: str


class CallServer(Server):
    """An HTTP server that serves the calls for which it has handlers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handlers: list[Handler[Any]],
        limits: ClientLimits,
        max_connections: int = MAX_CALL_CONNECTIONS,
    ) -> None:
        super().__init__(loop, max_connections, limits)
        self.handlers = {handler.call: handler for handler in handlers}

    def read_request(self, connection: ClientConnection) -> RoutedCall | ImmediateResponse:
        """Return the call of a request, or an error response if the request is not a known call."""
        if connection.over_limit:
            return error_response(ServiceError(ErrorKind.TOO_MANY_CONNECTIONS))
        target = connection.url.decode("latin-1")
        path, _, query = target.partition("?")
        method = connection.parser.get_method().decode()
        for kind in CALLS:
            handler = self.handlers.get(kind)
            if handler is None or method != kind.METHOD:
                continue
            call = _parse_call(kind, path, query, connection.body)
            if call is not None:
                return RoutedCall(call, handler, target)
        return error_response(ServiceError(ErrorKind.UNKNOWN_CALL, f"no such call: {method} {path[:MAX_SHOWN_PATH]}"))

    def handle_request(self, request: RoutedCall, reply: Reply) -> None:
        """Pass a call to its handler."""

        def done(answer: CallAnswer | ServiceError) -> None:
            if isinstance(answer, ServiceError):
                response = error_response(answer, request.target)
                reply(response.status, response.header_lines, response.text.encode())
            else:
                reply(200, JSON_HEADER, answer.body())

        try:
            request.handler.answer(request.call, done)
        except ServiceError as error:
            done(error)
        except Exception as error:  # An error in one call ends only that call.
            log_event(Event.FAULT, type(request.call).__name__, repr(error))
            done(ServiceError(ErrorKind.INTERNAL_ERROR))


def _parse_call(kind: Any, path: str, query: str, body: bytearray) -> Any:
    """Return the call of type `kind` that a path requests, or None if the path requests another call."""
    takes_argument = kind.PATH.endswith("/")
    if takes_argument and path.startswith(kind.PATH) and path != kind.PATH:
        return kind(unquote(path[len(kind.PATH) :]))
    if takes_argument or path != kind.PATH:
        return None
    if kind is Resolve:
        values = parse_qs(query)
        return Resolve(*(values.get(name, [""])[0] for name in ("name", "region", "zone")))
    if kind is ReplaceConfiguration:
        return ReplaceConfiguration(bytes(body))
    return kind()


def error_response(error: ServiceError, target: str = "") -> ImmediateResponse:
    """Return the HTTP response for an error, according to `RESPONSES`; `target` is the request target of a redirect."""
    lines = JSON_HEADER + retry_after_header(error.kind)
    if error.kind is ErrorKind.REDIRECTED:
        lines += b"Location: http://%s%s\r\n" % (error.location.encode(), target.encode("latin-1"))
    body = json.dumps({"error": error.text, "kind": error.kind.value})
    return ImmediateResponse(RESPONSES[error.kind].status, body, lines)
