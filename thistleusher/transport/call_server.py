"""The doors for calls of the operator, of clients that ask where to go, and of the platform: one generic handler.

A call and its answer are a pair of types. A `CallServer` reads a request into its call, hands it to the one handler
that is registered for the call's type, and writes what comes back, an answer or a `Failure`, in HTTP's words.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Generic, NamedTuple, TypeVar
from urllib.parse import parse_qs, unquote

from thistleusher.common.errors import RESPONSES, ErrorKind, ServiceError, retry_after_header
from thistleusher.common.events import Event, log_event
from thistleusher.net.client_connection import ClientConnection, ImmediateResponse, Reply
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.server import Server

MOST_CONNECTIONS = 400
JSON = b"Content-Type: application/json\r\n"


@dataclass(frozen=True, slots=True)
class Readiness:
    """GET /readiness: the platform's own check."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/readiness"


@dataclass(frozen=True, slots=True)
class Ready:
    """It is ready; anything else is a Failure."""

    def body(self) -> bytes:
        return b""


@dataclass(frozen=True, slots=True)
class Resolve:
    """GET /resolve: where a client in `zone` of `region` should go for host `name`."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/resolve"
    name: str = ""
    region: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Addresses:
    """`host:port` of ingresses, 64 at most, and for how many seconds to keep them."""

    addresses: tuple[str, ...]
    ttl_s: float

    def body(self) -> bytes:
        return json.dumps({"addresses": list(self.addresses), "ttl_s": self.ttl_s}).encode()


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """POST /Config.Replace: a whole configuration, as its bytes connection."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Config.Replace"
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class Kept:
    """The change is kept, or one that prevails over it is."""

    def body(self) -> bytes:
        return b"{}"


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """GET /Config.Read: the newest configuration."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/Config.Read"


@dataclass(frozen=True, slots=True)
class Document:
    """A configuration as it was put."""

    document: bytes

    def body(self) -> bytes:
        return self.document


@dataclass(frozen=True, slots=True)
class BeginEvacuation:
    """POST /Evacuation.Begin/ZONE: nothing more to the zone's backends."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Evacuation.Begin/"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FinishEvacuation:
    """POST /Evacuation.Finish/ZONE: takes that back."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Evacuation.Finish/"
    zone: str = ""


CALLS: tuple[Any, ...] = (
    Readiness,
    Resolve,
    ReplaceConfiguration,
    ReadConfiguration,
    BeginEvacuation,
    FinishEvacuation,
)
C = TypeVar("C")


class Handler(NamedTuple, Generic[C]):
    """What answers one type of call: `answer(call, done)` calls `done` once with an answer or a Failure."""

    call: type[C]
    answer: Callable[[C, Callable[[Any], None]], None]


class Asked(NamedTuple):
    """A call with its handler; `target` is the request's own, for a redirect."""

    call: Any
    handler: Handler[Any]
    target: str


class CallServer(Server):
    """One door; only the calls that it has handlers for are known there."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handlers: list[Handler[Any]],
        limits: ClientLimits,
        most: int = MOST_CONNECTIONS,
    ) -> None:
        super().__init__(loop, most, limits)
        self.handlers = {h.call: h for h in handlers}

    def read_request(self, connection: ClientConnection) -> Any:
        """The call that a request is."""
        target = connection.url.decode("latin-1")
        path, _, query = target.partition("?")
        method = connection.parser.get_method().decode()
        if connection.over_limit:
            return refusal(ServiceError(ErrorKind.TOO_MANY_CONNECTIONS))
        for kind in CALLS:
            handler = self.handlers.get(kind)
            if handler is None or method != kind.METHOD:
                continue
            if path == kind.PATH:
                if kind is Resolve:
                    asked = parse_qs(query)
                    return Asked(Resolve(*(asked.get(k, [""])[0] for k in ("name", "region", "zone"))), handler, target)
                if kind is ReplaceConfiguration:
                    return Asked(ReplaceConfiguration(bytes(connection.body)), handler, target)
                if not kind.PATH.endswith("/"):
                    return Asked(kind(), handler, target)
            elif kind.PATH.endswith("/") and path.startswith(kind.PATH):
                return Asked(kind(unquote(path[len(kind.PATH) :])), handler, target)
        return refusal(ServiceError(ErrorKind.UNKNOWN_CALL, f"no such call: {method} {path[:80]}"))

    def handle_request(self, request: Asked, reply: Reply) -> None:
        """Hand a call to its handler."""

        def done(answer: Any) -> None:
            if isinstance(answer, ServiceError):
                early = refusal(answer, request.target)
                reply(early.status, early.header_lines, early.text.encode())
            else:
                reply(200, JSON, answer.body())

        try:
            request.handler.answer(request.call, done)
        except ServiceError as failure:
            done(failure)
        except Exception as error:  # a fault of one call ends that call
            log_event(Event.FAULT, type(request.call).__name__, repr(error))
            done(ServiceError(ErrorKind.INTERNAL_ERROR))


def refusal(failure: ServiceError, target: str = "") -> ImmediateResponse:
    """A failure in HTTP's words, by the table."""
    lines = JSON + retry_after_header(failure.kind)
    if failure.kind is ErrorKind.REDIRECTED:
        lines += b"Location: http://%s%s\r\n" % (failure.where.encode(), target.encode("latin-1"))
    return ImmediateResponse(
        RESPONSES[failure.kind].status, json.dumps({"error": failure.text, "kind": failure.kind.value}), lines
    )
