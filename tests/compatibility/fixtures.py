"""Loads fixtures that release 0.2 wrote, and converts values to forms that do not depend on names in the code."""

from __future__ import annotations

import json
from enum import Enum
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[1] / "fixtures" / "compatibility"


def load(name: str) -> Any:
    """Return the content of a JSON fixture."""
    return json.loads((FOLDER / name).read_text())


def as_json(value: Any) -> Any:
    """Return a value after a round trip through JSON, so that it can be compared with a fixture."""
    return json.loads(json.dumps(value))


def field_names(value: Any) -> tuple[str, ...] | None:
    """Return the names of a record's fields in order, or None if the value is not a record."""
    for attribute in ("__struct_fields__", "_fields", "__dataclass_fields__"):
        if not isinstance(value, type) and hasattr(value, attribute):
            return tuple(getattr(value, attribute))
    return None


def positional(value: Any) -> Any:
    """Return a record as the list of its fields' values, at any depth; the result does not depend on field names."""
    names = field_names(value)
    if names is not None:
        return [positional(getattr(value, name)) for name in names]
    return _plain(value, positional)


def named(value: Any) -> Any:
    """Return a record as a dictionary keyed by field name, at any depth."""
    names = field_names(value)
    if names is not None:
        return {name: named(getattr(value, name)) for name in names}
    return _plain(value, named)


def _plain(value: Any, inner: Any) -> Any:
    if isinstance(value, Enum):
        return positional(value.value)
    if isinstance(value, dict):
        return {str(key): inner(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [inner(each) for each in value]
    if isinstance(value, set | frozenset):
        return sorted(inner(each) for each in value)
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, float) and value in (float("inf"), float("-inf")):
        return repr(value)
    return value
