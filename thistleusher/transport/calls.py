"""The HTTP calls of operators, of clients that resolve a host, and of the platform, with their answers.

A call is a type with an HTTP method and path. A path that ends with a slash is followed by the call's only argument.
An answer has a `body`; a call that fails is answered with a `ServiceError` instead.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, ClassVar, Protocol


class CallAnswer(Protocol):
    """The answer to a call that succeeded."""

    def body(self) -> bytes:
        """Return the body of the HTTP response."""


@dataclass(frozen=True, slots=True)
class Readiness:
    """GET /readiness: the platform's health check."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/readiness"


@dataclass(frozen=True, slots=True)
class Ready:
    """The process is ready; a process that is not ready answers with a `ServiceError`."""

    def body(self) -> bytes:
        """Return an empty body."""
        return b""


@dataclass(frozen=True, slots=True)
class Resolve:
    """GET /resolve: the proxies that a client in `zone` of `region` should use for host `name`."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/resolve"
    name: str = ""
    region: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Addresses:
    """`host:port` of at most 64 proxies, and the number of seconds for which the client may cache them."""

    addresses: tuple[str, ...]
    ttl_s: float

    def body(self) -> bytes:
        """Return the addresses as JSON."""
        return json.dumps({"addresses": list(self.addresses), "ttl_s": self.ttl_s}).encode()


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """POST /Config.Replace: a complete configuration, as received."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Config.Replace"
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """GET /Config.Read: the newest configuration."""

    METHOD: ClassVar[str] = "GET"
    PATH: ClassVar[str] = "/Config.Read"


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as the operator sent it."""

    document: bytes

    def body(self) -> bytes:
        """Return the document."""
        return self.document


@dataclass(frozen=True, slots=True)
class BeginEvacuation:
    """POST /Evacuation.Begin/ZONE: stop sending requests to the zone's backends."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Evacuation.Begin/"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FinishEvacuation:
    """POST /Evacuation.Finish/ZONE: end the evacuation of a zone."""

    METHOD: ClassVar[str] = "POST"
    PATH: ClassVar[str] = "/Evacuation.Finish/"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The change is durable, or a change that takes precedence over it is."""

    def body(self) -> bytes:
        """Return an empty JSON object."""
        return b"{}"


CALLS: tuple[Any, ...] = (
    Readiness,
    Resolve,
    ReplaceConfiguration,
    ReadConfiguration,
    BeginEvacuation,
    FinishEvacuation,
)
