"""Validates the value of one field of a section, with pydantic or with the reader of its unit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, get_origin

from pydantic import TypeAdapter, ValidationError

from thistleusher.operator_file.errors import InvalidValueError
from thistleusher.operator_file.secrets import Secret, read_secret
from thistleusher.operator_file.units import Bytes, Seconds, read_bytes, read_seconds

READERS: dict[Any, Callable[[object], Any]] = {Seconds: read_seconds, Bytes: read_bytes, Secret: read_secret}
EXPECTED_TYPES = {
    "string_type": "text",
    "int_type": "a whole number",
    "float_type": "a number",
    "bool_type": "true or false",
    "tuple_type": "a list",
}
EXPECTED_LIMITS = {
    "greater_than_equal": ">= {ge}",
    "less_than_equal": "<= {le}",
    "string_too_short": "at least {min_length} characters",
    "literal_error": "{expected}",
}


def read_value(field_type: Any, value: object) -> Any:
    """Return a value of a field's type. Raises InvalidValueError, which never quotes a secret."""
    if field_type in READERS:
        return READERS[field_type](value)
    if isinstance(value, list) and get_origin(field_type) is tuple:
        value = tuple(value)  # TOML only has lists, and strict validation does not accept them as tuples
    try:
        return TypeAdapter(field_type).validate_python(value, strict=True)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        raise InvalidValueError(_expectation(first), f"{first['input']!r:.60}") from error


def _expectation(error: Any) -> str:
    """Return what pydantic expected, in the wording of this module's error messages."""
    kind = error["type"]
    if kind in EXPECTED_LIMITS:
        return EXPECTED_LIMITS[kind].format(**error["ctx"])
    return EXPECTED_TYPES.get(kind) or error["msg"]
