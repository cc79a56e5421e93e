"""The operator's configuration: its records, and the index in which a proxy looks up routes and tenants.

What is valid is stated in `thistleusher.common.validation`, for the control node that acknowledges a configuration and
for the command that checks one offline. Whoever has a configuration from a control node reads it without checks.
Unknown fields are ignored. The records' fields are names in the operator's document, and never change.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar

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


E = TypeVar("E")


def _merge(table: dict[str, E], entries: Mapping[str, E | None]) -> None:
    """Set entries of a table; None removes one."""
    for name, entry in entries.items():
        if entry is None:
            table.pop(name, None)
        else:
            table[name] = entry


class RouteMatch(NamedTuple):
    """The route that matches a request's host and path, and its name."""

    name: str
    route: Route


class Index:
    """The look-up tables of a configuration. Built in one pass, updated by one step a changed entry.

    Cost of a look-up: one step a segment of the path, one for a key. `update` changes the tables of its `config`
    in place: whoever needs an earlier configuration keeps the records, not the tables.
    """

    def __init__(self, config: Configuration) -> None:
        self.config = config._replace(
            routes=dict(config.routes), services=dict(config.services), tenants=dict(config.tenants)
        )
        self.hosts: dict[str, dict[str, RouteMatch]] = {}
        self.keys: dict[str, str] = {}
        for name, route in config.routes.items():
            self._add_route(name, route)
        for name, tenant in config.tenants.items():
            self._add_tenant(name, tenant)

    def update(
        self,
        version: str,
        limits: Limits,
        routes: Mapping[str, Route | None],
        services: Mapping[str, Service | None],
        tenants: Mapping[str, Tenant | None],
    ) -> None:
        """Apply a newer version: all limits, and of each table the entries that differ (None: removed).

        Old entries are removed before new ones are added, as a key, or a host and prefix, may pass from one entry to
        another.
        """
        for name in routes.keys() & self.config.routes.keys():
            self._remove_route(self.config.routes[name])
        for name in tenants.keys() & self.config.tenants.keys():
            self._remove_tenant(self.config.tenants[name])
        _merge(self.config.routes, routes)
        _merge(self.config.services, services)
        _merge(self.config.tenants, tenants)
        for name, route in routes.items():
            if route is not None:
                self._add_route(name, route)
        for name, tenant in tenants.items():
            if tenant is not None:
                self._add_tenant(name, tenant)
        self.config = self.config._replace(version=version, limits=limits)

    def _add_route(self, name: str, route: Route) -> None:
        self.hosts.setdefault(route.hostname.lower(), {})[route.path_prefix] = RouteMatch(name, route)

    def _remove_route(self, route: Route) -> None:
        host = route.hostname.lower()
        prefixes = self.hosts.get(host, {})
        prefixes.pop(route.path_prefix, None)
        if not prefixes:
            self.hosts.pop(host, None)

    def _add_tenant(self, name: str, tenant: Tenant) -> None:
        for key in tenant.api_keys:
            self.keys[key] = name

    def _remove_tenant(self, tenant: Tenant) -> None:
        for key in tenant.api_keys:
            self.keys.pop(key, None)

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix that begins the path, None where there is none."""
        prefixes = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0].lower() or host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, authorization: str) -> str | None:
        """Return the tenant that has the key of an `Authorization: Token KEY`, None where there is none."""
        scheme, _, key = authorization.strip().partition(" ")
        return self.keys.get(key.strip()) if scheme.lower() == "token" else None


def summary(config: Configuration) -> dict[str, Any]:
    """Return a few figures of a configuration, for display."""
    return {
        "version": config.version,
        "routes": len(config.routes),
        "services": len(config.services),
        "tenants": len(config.tenants),
    }
