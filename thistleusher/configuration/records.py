"""The records of the operator's configuration.

What is valid is stated in `thistleusher.configuration.validation`, for the control node that acknowledges one and for
the command that checks one offline. Whoever has a configuration from a control node reads it without checks. Unknown
fields are ignored. The records' fields are names in the operator's document, and never change.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from thistleusher.common.record_reader import read_record

IDEMPOTENT_VARIANTS = ("pure", "download")


class Weighted(NamedTuple):
    """One of a route's services (`target`) and its weight."""

    target: str
    weight: float


class Route(NamedTuple):
    """One route; times in milliseconds. `tries`: attempts in all; `rank`: priority; `target_ms`: latency target."""

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
    def shares(self) -> tuple[Weighted, ...]:
        """Return the route's services with their weights."""
        return self.weighted or ((Weighted(target=self.target, weight=1.0),) if self.target else ())

    @property
    def idempotent(self) -> bool:
        """Return whether a request on it may be executed more than once."""
        return self.variant in IDEMPOTENT_VARIANTS


class Service(NamedTuple):
    """One service's backends: health path, connections, and the rate that each bears while it warms up."""

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
    """A tenant; without a rate limit where its rate is 0. `rank`: priority."""

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
        """Return the version as a number: the highest prevails."""
        return int(self.version, 16)


def read_checked_configuration(body: bytes) -> Configuration:
    """Return a configuration that a control node has checked. Cost: one step a field."""
    return read_record(Configuration, json.loads(body))


def summary(config: Configuration) -> dict[str, Any]:
    """Return a few figures of a configuration, for display."""
    return {
        "version": config.version,
        "routes": len(config.routes),
        "services": len(config.services),
        "tenants": len(config.tenants),
    }
