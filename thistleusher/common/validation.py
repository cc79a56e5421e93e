"""Validity of settings files and of the operator's configurations, checked whole by pydantic.

All faults are told at once, one line each: which field, what was expected, what was found. What makes a configuration
valid is stated here once, for the control node that acknowledges and for the command that checks offline.

JSON is read strictly: a name that stands twice in one object, a number that is not finite and text that is not Unicode
are faults, also in fields that this release does not know, as two readers would read them as two configurations.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from pydantic import ConfigDict, TypeAdapter, ValidationError

from thistleusher.common.config_items import canonical
from thistleusher.common.configuration import Configuration, Route, Service, Tenant
from thistleusher.common.node_settings import InvalidSettingError, NodeSettings
from thistleusher.common.record_reader import known

VERSION = re.compile(r"[0-9a-fA-F]{8}")
TARGET_EXCESS_MS = 60_000.0  # by which a route's target_ms may not exceed its deadline_ms
MOST_NESTING = 64  # well under what a reader's stack bears
MOST_NAME_BYTES = 400  # of a route, service or tenant: names are keys on the disk, which bounds them at 511
BOOT: TypeAdapter[NodeSettings] = TypeAdapter(NodeSettings)
CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration, config=ConfigDict(allow_inf_nan=False))


class InvalidConfigurationError(ValueError):
    """One fault of a configuration: where, what was found, what was expected."""


def explain_node_settings(table: dict[str, Any]) -> list[InvalidSettingError]:
    """What is wrong with the table of a settings file, by field."""
    try:
        BOOT.validate_python(known(NodeSettings, table))
    except ValidationError as error:
        return [InvalidSettingError(line) for line in _lines(error, "file")]
    return []


def _lines(error: ValidationError, whole: str) -> Iterable[str]:
    """One line a fault."""
    for e in error.errors(include_url=False):
        at = ".".join(str(p) for p in e["loc"]) or whole
        missing = e["type"].startswith("missing")
        yield f"{at}: Field required" if missing else f"{at}: {e['msg']}, found {str(e.get('input'))[:60]!r}"


class ReadJson(NamedTuple):
    """Bytes read as JSON, and what a strict reader finds wrong with them."""

    value: Any
    faults: list[str]


def read_json(body: bytes) -> ReadJson:
    """Bytes as JSON, as a lenient reader takes them, with the faults that a strict one finds.

    ExceptionGroup of `BadConfiguration` where even a lenient reader finds no JSON.
    """
    faults: list[str] = []

    def table(members: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(members)
        if len(found) < len(members):
            faults.append(f"body: a name stands twice in one object, among {', '.join(found)[:60]!r}")
        return found

    def number(text: str) -> float:
        found = float(text)
        if not math.isfinite(found):
            faults.append(f"body: {text[:60]} is no finite number")
        return found

    try:
        value = json.loads(body, object_pairs_hook=table, parse_float=number, parse_constant=number)
    except (ValueError, RecursionError) as error:
        raise ExceptionGroup("configuration", [InvalidConfigurationError(f"body: no JSON: {error}")]) from None
    return ReadJson(value, faults)


def read_configuration(body: bytes) -> Configuration:
    """A configuration's bytes (JSON), checked whole. ExceptionGroup of `BadConfiguration`. Cost: one step a field."""
    return check_configuration(read_json(body))


def check_configuration(document: ReadJson) -> Configuration:
    """A configuration that was read as JSON, checked whole. ExceptionGroup of `BadConfiguration`."""
    faults = [*document.faults, *_not_writable(document.value)]
    if faults:
        raise _refusal(faults)
    try:
        config = CONFIGURATION.validate_python(known(Configuration, document.value))
    except ValidationError as error:
        raise _refusal(_lines(error, "body")) from None
    faults = list(_faults(config))
    if faults:
        raise _refusal(faults)
    return config


def _refusal(faults: Iterable[str]) -> ExceptionGroup[InvalidConfigurationError]:
    return ExceptionGroup("configuration", [InvalidConfigurationError(text) for text in faults])


def _not_writable(value: Any) -> Iterable[str]:
    """Why a value that was read cannot be written again as JSON in UTF-8, or read again by a process in any state."""
    if _nested_deeper(value, MOST_NESTING):
        yield f"body: nested more than {MOST_NESTING} deep"
        return
    try:
        canonical(value).encode()
    except UnicodeEncodeError as error:
        yield f"body: text that is not Unicode: {error.reason}"


def _nested_deeper(value: Any, most: int) -> bool:
    """Whether objects and lists stand in one another more than `most` deep."""
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(most):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return False
    return True


def _faults(config: Configuration) -> Iterable[str]:
    """What is wrong with a configuration whose fields are each of their type."""
    if VERSION.fullmatch(config.version) is None:
        yield "version: expected eight hexadecimal digits"
    for field, value in config.limits._asdict().items():
        if not value >= 0:
            yield f"limits.{field}: expected 0 or more, found {value:g}"
    yield from _name_faults(config)
    for name, route in config.routes.items():
        yield from _route_faults(f"routes.{name}", route, config.services)
    yield from _place_faults(config.routes)
    for name, service in config.services.items():
        if service.cold_per_s < 0 or service.warmup_s < 0 or service.max_conns < 0:
            yield f"services.{name}: expected figures of 0 or more"
    yield from _tenant_faults(config.tenants)


def _name_faults(config: Configuration) -> Iterable[str]:
    for field, table in (("routes", config.routes), ("services", config.services), ("tenants", config.tenants)):
        for name in table:
            if len(name.encode()) > MOST_NAME_BYTES:
                yield f"{field}.{name[:20]}...: a name of over {MOST_NAME_BYTES} bytes"


def _route_faults(at: str, route: Route, services: Mapping[str, Service]) -> Iterable[str]:
    if not route.shares:
        yield f"{at}: expected a target or weighted services"
    for share in route.shares:
        if share.target not in services:
            yield f"{at}: unknown service {share.target!r}"
        if not share.weight >= 0:
            yield f"{at}: weight {share.weight:g}, expected 0 or more"
    total = sum(share.weight for share in route.shares)
    if route.shares and not total > 0:
        yield f"{at}: its weights sum to 0"
    if math.isinf(total):
        yield f"{at}: its weights have no finite sum"
    if not route.deadline_ms > 0:
        yield f"{at}: deadline_ms {route.deadline_ms:g}, expected more than 0"
    if route.target_ms >= route.deadline_ms + TARGET_EXCESS_MS:
        yield f"{at}: target_ms {route.target_ms:g} exceeds deadline_ms {route.deadline_ms:g} by a minute or more"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield f"{at}: path_prefix {route.path_prefix!r}, expected a slash at both ends"


def _place_faults(routes: Mapping[str, Route]) -> Iterable[str]:
    """Two routes of the same host, in any case of its letters, and the same prefix."""
    places: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        place = (route.hostname.lower(), route.path_prefix)
        if places.setdefault(place, name) != name:
            yield f"routes.{name}: the same host and prefix as routes.{places[place]}"


def _tenant_faults(tenants: Mapping[str, Tenant]) -> Iterable[str]:
    holders: dict[str, str] = {}
    for name, tenant in tenants.items():
        if not (tenant.rate_per_s >= 0 and tenant.burst >= 0):
            yield f"tenants.{name}: expected a rate and a burst of 0 or more"
        for key in tenant.api_keys:
            if holders.setdefault(key, name) != name:
                yield f"tenants.{name}: a key that tenants.{holders[key]} holds too"
