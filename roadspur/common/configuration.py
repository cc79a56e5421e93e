"""The operator's configuration: its words, and what a proxy looks things up in.

What is valid is stated in `roadspur.common.checks`, for the store that acknowledges and for the command that checks
offline; who has it from the store reads it plainly (`kept_configuration`). Unknown fields are ignored.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from roadspur.common.tables import record

REPEATABLE = ("pure", "download")


class Weighted(NamedTuple):
    """One of a route's services and its share."""

    target: str
    weight: float


class Route(NamedTuple):
    """One route; times in milliseconds."""

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
        """Its services with their weights."""
        return self.weighted or ((Weighted(target=self.target, weight=1.0),) if self.target else ())

    @property
    def repeatable(self) -> bool:
        """Whether a request on it may run more than once."""
        return self.variant in REPEATABLE


class Service(NamedTuple):
    """One service's backends: where they say how they are, connections, and how they bear being cold."""

    health_path: str = "/health"
    max_conns: int = 100
    protocol: str = "h1"
    tls: bool = False
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(NamedTuple):
    """What a client may send, in bytes and milliseconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Tenant(NamedTuple):
    """A tenant; no limit where its rate is 0."""

    api_keys: tuple[str, ...] = ()
    rank: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions_allowed: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """A whole configuration."""

    version: str
    routes: dict[str, Route] = {}
    services: dict[str, Service] = {}
    limits: Limits = Limits()
    tenants: dict[str, Tenant] = {}

    @property
    def number(self) -> int:
        """The version as a number: the highest prevails."""
        return int(self.version, 16)


def kept_configuration(body: bytes) -> Configuration:
    """A configuration that the store has checked. A step a field."""
    return record(Configuration, json.loads(body))


class Found(NamedTuple):
    """What a request's host and path lead to."""

    name: str
    route: Route


class Index:
    """A configuration as a proxy asks it. Built in one pass; a look-up costs one step a segment of the path."""

    def __init__(self, config: Configuration) -> None:
        self.config = config
        self.hosts: dict[str, dict[str, Found]] = {}
        self.keys: dict[str, str] = {}
        for name, route in config.routes.items():
            self.hosts.setdefault(route.hostname.lower(), {})[route.path_prefix] = Found(name, route)
        for name, tenant in config.tenants.items():
            for key in tenant.api_keys:
                self.keys[key] = name

    def find(self, host: str, path: str) -> Found | None:
        """The route with the longest prefix that begins the path."""
        prefixes = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0].lower() or host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[:end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, authorization: str) -> str | None:
        """The tenant that holds the key of an `Authorization: Token KEY`."""
        scheme, _, key = authorization.strip().partition(" ")
        return self.keys.get(key.strip()) if scheme.lower() == "token" else None


def brief(config: Configuration) -> dict[str, Any]:
    """A few figures of a configuration, for people."""
    return {"version": config.version, "routes": len(config.routes), "services": len(config.services),
            "tenants": len(config.tenants)}
