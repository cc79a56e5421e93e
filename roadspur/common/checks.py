"""What is valid: settings files and the operator's configurations, checked whole by pydantic.

All faults are told at once, one line each: which field, what was expected, what was found. What is valid of a
configuration is stated here once, for the store that acknowledges and for the command that checks offline.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable
from typing import Any

from pydantic import TypeAdapter, ValidationError

from roadspur.common.boot import BadSetting, Boot
from roadspur.common.configuration import Configuration
from roadspur.common.tables import known

VERSION = re.compile(r"[0-9a-fA-F]{8}")
AIM_OVER_MS = 60_000.0  # by which an aim may not exceed its route's time
BOOT: TypeAdapter[Boot] = TypeAdapter(Boot)
CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)


class BadConfiguration(ValueError):
    """One fault of a configuration: where, what was found, what was expected."""


def explain_boot(table: dict[str, Any]) -> list[BadSetting]:
    """What is wrong with the table of a settings file, by field."""
    try:
        BOOT.validate_python(known(Boot, table))
    except ValidationError as error:
        return [BadSetting(line) for line in _lines(error, "file")]
    return []


def _lines(error: ValidationError, whole: str) -> Iterable[str]:
    """One line a fault."""
    for e in error.errors(include_url=False):
        at = ".".join(str(p) for p in e["loc"]) or whole
        missing = e["type"].startswith("missing")
        yield f"{at}: Field required" if missing else f"{at}: {e['msg']}, found {str(e.get('input'))[:60]!r}"


def _faults(config: Configuration) -> Iterable[str]:
    places: dict[tuple[str, str], str] = {}
    if VERSION.fullmatch(config.version) is None:
        yield "version: expected eight hexadecimal digits"
    for field, value in config.limits._asdict().items():
        if not value >= 0:
            yield f"limits.{field}: expected 0 or more, found {value:g}"
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
        if not (tenant.rate_per_s >= 0 and tenant.burst >= 0):
            yield f"tenants.{name}: expected a rate and a burst of 0 or more"
        for key in tenant.api_keys:
            if keys.setdefault(key, name) != name:
                yield f"tenants.{name}: a key that tenants.{keys[key]} holds too"


def read_configuration(body: bytes) -> Configuration:
    """A configuration's bytes (JSON), checked whole. ExceptionGroup of `BadConfiguration`; a look at each route."""
    try:
        config = CONFIGURATION.validate_python(known(Configuration, json.loads(body)))
    except ValidationError as error:
        raise ExceptionGroup("configuration", [BadConfiguration(line) for line in _lines(error, "body")]) from None
    except (ValueError, RecursionError) as error:
        raise ExceptionGroup("configuration", [BadConfiguration(f"body: no JSON: {error}")]) from None
    faults = [BadConfiguration(text) for text in _faults(config)]
    if faults:
        raise ExceptionGroup("configuration", faults)
    return config
