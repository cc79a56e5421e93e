"""The operator's configuration: read, checked whole, and turned into what a proxy looks things up in.

What is valid is stated here once, for the store that acknowledges and for the command that checks offline. Unknown
fields are ignored. All faults are told at once, as an exception group of `BadConfiguration`, one line each.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

VERSION = re.compile(r"[0-9a-fA-F]{8}")
AIM_OVER_MS = 60_000.0  # by which an aim may not exceed its route's time
REPEATABLE = ("pure", "download")


class BadConfiguration(ValueError):
    """One fault of a configuration: where, what was found, what was expected."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Weighted(_Part):
    """One of a route's services and its share."""

    target: str
    weight: float


class Route(_Part):
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


class Service(_Part):
    """One service's backends: where they say how they are, connections, and how they bear being cold."""

    health_path: str = "/health"
    max_conns: int = 100
    protocol: str = "h1"
    tls: bool = False
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(_Part):
    """What a client may send, in bytes and milliseconds."""

    max_header_bytes: int = Field(default=16384, ge=0)
    max_body_bytes: int = Field(default=67108864, ge=0)
    header_timeout_ms: float = Field(default=3000.0, ge=0)
    idle_timeout_ms: float = Field(default=15000.0, ge=0)


class Tenant(_Part):
    """A tenant; no limit where its rate is 0."""

    api_keys: tuple[str, ...] = ()
    rank: int = 0
    rate_per_s: float = Field(default=0.0, ge=0)
    burst: float = Field(default=0.0, ge=0)
    regions_allowed: tuple[str, ...] = ()


class Configuration(_Part):
    """A whole configuration."""

    version: str
    routes: dict[str, Route] = Field(default_factory=dict)
    services: dict[str, Service] = Field(default_factory=dict)
    limits: Limits = Limits()
    tenants: dict[str, Tenant] = Field(default_factory=dict)

    @field_validator("version")
    @classmethod
    def _digits(cls, value: str) -> str:
        if VERSION.fullmatch(value) is None:
            raise ValueError("expected eight hexadecimal digits")
        return value

    @property
    def number(self) -> int:
        """The version as a number: the highest prevails."""
        return int(self.version, 16)


def _faults(config: Configuration) -> Iterable[str]:
    places: dict[tuple[str, str], str] = {}
    for name, route in config.routes.items():
        at = f"routes.{name}"
        if not route.shares:
            yield f"{at}: expected a target or weighted services"
        for share in route.shares:
            if share.target not in config.services:
                yield f"{at}: unknown service {share.target!r}"
            if not share.weight >= 0 or math.isinf(share.weight):
                yield f"{at}: weight {share.weight:g}, expected 0 or more"
        if route.shares and not sum(share.weight for share in route.shares) > 0:
            yield f"{at}: its weights sum to 0"
        if not route.deadline_ms > 0:
            yield f"{at}: deadline_ms {route.deadline_ms:g}, expected more than 0"
        if route.target_ms >= route.deadline_ms + AIM_OVER_MS:
            yield f"{at}: target_ms {route.target_ms:g} exceeds deadline_ms {route.deadline_ms:g} by a minute or more"
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield f"{at}: path_prefix {route.path_prefix!r}, expected a slash at both ends"
        place = (route.hostname.lower(), route.path_prefix)
        if place in places:
            yield f"{at}: the same host and prefix as routes.{places[place]}"
        places.setdefault(place, name)
    for name, service in config.services.items():
        if service.cold_per_s < 0 or service.warmup_s < 0 or service.max_conns < 0:
            yield f"services.{name}: expected figures of 0 or more"
    keys: dict[str, str] = {}
    for name, tenant in config.tenants.items():
        for key in tenant.api_keys:
            if keys.setdefault(key, name) != name:
                yield f"tenants.{name}: a key that tenants.{keys[key]} holds too"


def read_configuration(body: bytes) -> Configuration:
    """A configuration's bytes (JSON), checked whole. ExceptionGroup of `BadConfiguration`; a look at each route."""
    try:
        config = Configuration.model_validate_json(body)
    except ValidationError as error:
        raise ExceptionGroup("configuration", [
            BadConfiguration(f"{'.'.join(str(p) for p in e['loc']) or 'body'}: {e['msg']}")
            for e in error.errors(include_input=False, include_url=False)]) from None
    faults = [BadConfiguration(text) for text in _faults(config)]
    if faults:
        raise ExceptionGroup("configuration", faults)
    return config


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
