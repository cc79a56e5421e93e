"""Validation of the operator's configurations.

A document is read back from the text that would be stored, with the reader that proxies and registries use
(`common.record_reader`). What is valid here can therefore be read there, with the same values. The rules for these
values are defined only here. The control process that acknowledges a configuration and the command that checks one
offline both use them.

All errors are reported at once, one line each: the field, the expected value and the value found; at most `MAX_FAULTS`,
as each takes more memory than the value that it names. pydantic lists the errors of a document that the reader cannot
read; of one with more than `MAX_LISTED_VALUES` values only the reader's first error is reported.

JSON is read strictly. A duplicate name in an object, a number that is not finite and text that is not Unicode are
errors, even in fields that are unknown to this release, because different readers would interpret them differently.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain, islice
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

from thistleusher.common.record_reader import MAX_SHOWN, InvalidTableError, known_fields_only
from thistleusher.common.settings_validation import fault_lines
from thistleusher.configuration.items import canonical_json
from thistleusher.configuration.records import Configuration, Route, Service, Tenant, read_checked_configuration

VERSION = re.compile(r"[0-9a-fA-F]{8}")
TARGET_EXCESS_MS = 60_000.0  # a route's target_ms must exceed its deadline_ms by less than this
MAX_NESTING = 64  # maximum depth of objects and lists; well below the stack limit of a JSON parser
MAX_NAME_BYTES = 400  # maximum name of a route, service or tenant; names are storage keys, limited to 511 bytes
# Largest number, in size: beyond it, readers that hold numbers as doubles read other integers (RFC 8259, section 6).
MAX_NUMBER = 2**53 - 1
MAX_FAULTS = 1000
MAX_LISTED_VALUES = 20_000
CONFIGURATION_ADAPTER: TypeAdapter[Configuration] = TypeAdapter(Configuration)


class InvalidConfigurationError(ValueError):
    """One error in a configuration: the field, the value found and the expected value."""


class ParsedJson(NamedTuple):
    """A parsed JSON value, the errors that only a strict reader reports, and its text."""

    value: Any
    faults: list[str]
    text: bytes = b""


def count_values(body: bytes) -> int:
    """Return an upper bound of the values in a JSON text, at the cost of three searches for a byte.

    Each takes some 200 bytes once it is parsed and checked, however short its text is.
    """
    return 1 + body.count(b",") + body.count(b"[") + body.count(b"{")


def parse_json(body: bytes) -> ParsedJson:
    """Parse bytes as JSON leniently, and return the value with the errors that a strict reader reports.

    Raises an ExceptionGroup of InvalidConfigurationError if the bytes are not JSON at all.
    """
    faults: list[str] = []

    def table(members: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(members)
        if len(found) < len(members) and len(faults) < MAX_FAULTS:
            faults.append(f"body: duplicate name in one object, among {', '.join(found)[:MAX_SHOWN]!r}")
        return found

    def number(text: str) -> float:
        found = float(text)
        if not math.isfinite(found) and len(faults) < MAX_FAULTS:
            faults.append(f"body: {text[:MAX_SHOWN]} is not a finite number")
        return found

    try:
        value = json.loads(body, object_pairs_hook=table, parse_float=number, parse_constant=number)
    except (ValueError, RecursionError) as error:
        raise ExceptionGroup("configuration", [InvalidConfigurationError(f"body: invalid JSON: {error}")]) from None
    return ParsedJson(value, faults, body)


def read_configuration(body: bytes) -> Configuration:
    """Parse and validate a configuration. The cost is one step per field.

    Raises an ExceptionGroup with one InvalidConfigurationError per error.
    """
    return check_configuration(parse_json(body))


def check_configuration(document: ParsedJson) -> Configuration:
    """Validate a parsed document and return its configuration.

    Raises an ExceptionGroup with one InvalidConfigurationError per error.
    """
    stored = _stored_text(document)
    try:
        config = read_checked_configuration(stored)
    except InvalidTableError as error:
        listed = _type_faults(document.value) if count_values(document.text) <= MAX_LISTED_VALUES else []
        raise _error_group(listed or [str(error)]) from None
    faults = list(islice(chain(_number_faults(config, ""), _faults(config)), MAX_FAULTS))
    if faults:
        raise _error_group(faults)
    return config


def _type_faults(value: Any) -> list[str]:
    """Return a line for each field of a document that pydantic cannot convert to its type."""
    try:
        CONFIGURATION_ADAPTER.validate_python(known_fields_only(Configuration, value))
    except ValidationError as error:
        return list(islice(fault_lines(error, "body"), MAX_FAULTS))
    return []


def _number_faults(value: Any, path: str) -> Iterator[str]:
    """Yield the numbers in a value of a record, at any depth, that are not finite or too large."""
    if isinstance(value, int | float):
        if not abs(value) <= MAX_NUMBER:
            yield f"{path}: expected a finite number of at most {MAX_NUMBER} in size, found {str(value)[:MAX_SHOWN]}"
    elif isinstance(value, tuple | dict):
        for name, inner in _members(value):
            if not isinstance(inner, str):
                yield from _number_faults(inner, f"{path}.{name}" if path else str(name))


def _members(value: Any) -> Iterable[tuple[Any, Any]]:
    """Return the named values of a record or table, or the numbered ones of a list."""
    if isinstance(value, dict):
        return value.items()
    names: Iterable[Any] = getattr(value, "_fields", range(len(value)))
    return zip(names, value, strict=True)


def _error_group(faults: Iterable[str]) -> ExceptionGroup[InvalidConfigurationError]:
    return ExceptionGroup("configuration", [InvalidConfigurationError(text) for text in faults])


def _stored_text(document: ParsedJson) -> bytes:
    """Return the text of a document that would be stored.

    Raises an ExceptionGroup with all reasons why the document cannot be written as JSON in UTF-8, or would be
    interpreted differently by different readers.
    """
    faults = list(document.faults)
    text = b""
    if _is_nested_deeper(document.value, MAX_NESTING):
        faults.append(f"body: nested more than {MAX_NESTING} levels deep")
    else:
        try:
            text = canonical_json(document.value).encode()
        except UnicodeEncodeError as error:
            faults.append(f"body: text is not Unicode: {error.reason}")
    if faults:
        raise _error_group(faults)
    return text


def _is_nested_deeper(value: Any, max_depth: int) -> bool:
    """Return whether objects and lists are nested more than `max_depth` levels deep."""
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(max_depth):
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
    """Yield the errors in a configuration whose fields have valid types."""
    if VERSION.fullmatch(config.version) is None:
        yield "version: expected eight hexadecimal digits"
    for field, value in config.limits._asdict().items():
        if not value >= 0:
            yield f"limits.{field}: expected 0 or more, found {str(value)[:MAX_SHOWN]}"
    yield from _name_faults(config)
    for name, route in config.routes.items():
        yield from _route_faults(f"routes.{name}", route, config.services)
    yield from _duplicate_route_faults(config.routes)
    for name, service in config.services.items():
        if service.cold_per_s < 0 or service.warmup_s < 0 or service.max_conns < 0:
            yield f"services.{name}: expected cold_per_s, warmup_s and max_conns of 0 or more"
    yield from _tenant_faults(config.tenants)


def _name_faults(config: Configuration) -> Iterable[str]:
    for field, table in (("routes", config.routes), ("services", config.services), ("tenants", config.tenants)):
        for name in table:
            if len(name.encode()) > MAX_NAME_BYTES:
                yield f"{field}.{name[:20]}...: name is longer than {MAX_NAME_BYTES} bytes"


def _route_faults(at: str, route: Route, services: Mapping[str, Service]) -> Iterable[str]:
    yield from _service_faults(at, route, services)
    if not route.deadline_ms > 0:
        yield f"{at}: deadline_ms {route.deadline_ms:g}, expected more than 0"
    if route.target_ms >= route.deadline_ms + TARGET_EXCESS_MS:
        yield f"{at}: target_ms {route.target_ms:g} exceeds deadline_ms {route.deadline_ms:g} by a minute or more"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield f"{at}: path_prefix {route.path_prefix!r}, expected a slash at the start and at the end"


def _service_faults(at: str, route: Route, services: Mapping[str, Service]) -> Iterable[str]:
    """Yield the errors in the services that a route names, and in their weights."""
    shares = route.weighted_services
    if not shares:
        yield f"{at}: expected a target or weighted services"
    named = [share.target for share in shares]
    if route.target and route.target not in named:  # not used beside `weighted`, but named by the route
        named.append(route.target)
    yield from (f"{at}: unknown service {service!r}" for service in named if service not in services)
    for share in shares:
        if not share.weight >= 0:
            yield f"{at}: weight {share.weight:g}, expected 0 or more"
    total = sum(share.weight for share in shares)
    if shares and not total > 0:
        yield f"{at}: the weights sum to 0"
    if math.isinf(total):
        yield f"{at}: the sum of the weights is not finite"


def _duplicate_route_faults(routes: Mapping[str, Route]) -> Iterable[str]:
    """Yield an error for each route with the same host (ignoring case) and prefix as an earlier one."""
    first: dict[tuple[str, str], str] = {}  # host and prefix -> name of the first route with them
    for name, route in routes.items():
        match = (route.hostname.lower(), route.path_prefix)
        if first.setdefault(match, name) != name:
            yield f"routes.{name}: has the same host and prefix as routes.{first[match]}"


def _tenant_faults(tenants: Mapping[str, Tenant]) -> Iterable[str]:
    owners: dict[str, str] = {}  # API key -> name of the first tenant that has it
    for name, tenant in tenants.items():
        if not (tenant.rate_per_s >= 0 and tenant.burst >= 0):
            yield f"tenants.{name}: expected a rate and a burst of 0 or more"
        for key in tenant.api_keys:
            if owners.setdefault(key, name) != name:
                yield f"tenants.{name}: has the same API key as tenants.{owners[key]}"
