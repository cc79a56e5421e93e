"""The index of a configuration, which a proxy uses to look up routes and tenants."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from thistleusher.configuration.records import Configuration, Limits, Route, Service, Tenant

E = TypeVar("E")


def _merge(table: dict[str, E], entries: Mapping[str, E | None]) -> None:
    """Set entries of a table; a value of None removes the entry."""
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
    """The look-up tables of a configuration.

    Building the index takes one pass over the entries, an update one step per changed entry. Looking up a route takes
    one step per segment of the path, looking up a key one step. `update` changes the tables of `config` in place: to
    keep an earlier configuration, keep its records rather than its tables.
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
        """Apply a newer version: all limits, and the entries of each table that differ (None: removed).

        Old entries are removed before new ones are added, because an API key, or a host and prefix, may move from one
        entry to another.
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
        """Return the route with the longest prefix that matches the path, or None if no route matches."""
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
        """Return the name of the tenant with the API key in `Authorization: Token KEY`, or None if there is none."""
        scheme, _, key = authorization.strip().partition(" ")
        return self.keys.get(key.strip()) if scheme.lower() == "token" else None
