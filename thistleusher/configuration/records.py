"""The records of the operator's configuration.

The rules for a valid configuration are in `thistleusher.configuration.validation`. The control process that
acknowledges a configuration and the command that checks one offline apply them to the records that
`common.record_reader` reads. A configuration received from a control process is read by the same reader, without these
rules. Unknown fields are ignored. The records' field names are the keys of the operator's document and must not change.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from thistleusher.common.record_reader import read_record

IDEMPOTENT_VARIANTS = ("pure", "download")


class Weighted(NamedTuple):
    """One of a route's services (`target`) and its relative weight."""

    target: str
    weight: float


class Route(NamedTuple):
    """One route. Times are in milliseconds.

    `tries` is the maximum number of attempts, `rank` the priority, and `target_ms` the latency target.
    """

    hostname: str
    path_prefix: str
    variant: str = "effectful"
    deadline_ms: float = 30_000.0
    target_ms: float = 0.0
    rank: int = 0
    target: str | None = None
    weighted: tuple[Weighted, ...] | None = None
    tries: int = 1
    public: bool = False
    regions_allowed: tuple[str, ...] = ()

    @property
    def weighted_services(self) -> tuple[Weighted, ...]:
        """Return the route's services with their weights."""
        return self.weighted or ((Weighted(target=self.target, weight=1.0),) if self.target else ())

    @property
    def idempotent(self) -> bool:
        """Return whether the route's requests may be executed more than once."""
        return self.variant in IDEMPOTENT_VARIANTS


class Service(NamedTuple):
    """Settings of one service's backends.

    `max_conns` is the maximum number of connections, and `cold_per_s` the request rate that each backend can
    serve during its warm-up of `warmup_s` seconds.
    """

    health_path: str = "/health"
    max_conns: int = 100
    protocol: str = "h1"
    tls: bool = False
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(NamedTuple):
    """Limits on what a client may send, in bytes and milliseconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Tenant(NamedTuple):
    """A tenant. A rate of 0 means no rate limit; `rank` is the priority."""

    api_keys: tuple[str, ...] = ()
    rank: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions_allowed: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """A complete configuration."""

    version: str
    routes: dict[str, Route] = {}
    services: dict[str, Service] = {}
    limits: Limits = Limits()
    tenants: dict[str, Tenant] = {}

    @property
    def number(self) -> int:
        """Return the version as a number. The configuration with the highest number prevails."""
        return int(self.version, 16)


def read_checked_configuration(body: bytes) -> Configuration:
    """Return a configuration that a control process has validated. The cost is one step per field."""
    return read_record(Configuration, json.loads(body))


def summary(config: Configuration) -> dict[str, Any]:
    """Return the version and the numbers of entries of a configuration, for display."""
    return {
        "version": config.version,
        "routes": len(config.routes),
        "services": len(config.services),
        "tenants": len(config.tenants),
    }
