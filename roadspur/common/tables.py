"""Records out of tables that were read: the fields that a record has, as the types that it names, nothing else.

This is how a process that starts while clients wait reads its settings, and a proxy what the store has already
checked: `roadspur.common.checks` holds the checks, whose library takes 0.13 s of a front machine to load. For every
table that passes those, both give the same record (`tests/system/test_configuration.py`).

Pure. Cost: one step a field.
"""

from __future__ import annotations

import functools
import types
from collections.abc import Mapping
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

R = TypeVar("R")
TRUE = ("true", "1", "yes", "on", "t", "y")
FALSE = ("false", "0", "no", "off", "f", "n")


class BadTable(ValueError):
    """A field that is missing or cannot be read as what its record names: where, and what was found."""


@functools.cache
def fields_of(kind: type) -> Mapping[str, Any]:
    """A record's fields and their types; empty where `kind` is none."""
    return get_type_hints(kind) if issubclass(kind, tuple) and hasattr(kind, "_fields") else {}


def _inner(kind: Any) -> tuple[str, tuple[Any, ...]]:
    """What a type is made of: 'record', 'maybe', 'list' (of any length), 'pair', 'table', or 'plain'."""
    origin = get_origin(kind)
    if origin in (Union, types.UnionType):
        return "maybe", tuple(a for a in get_args(kind) if a is not type(None))
    if origin is tuple:
        args = get_args(kind)
        return ("list", args[:1]) if args[-1] is Ellipsis else ("pair", args)
    if origin is dict:
        return "table", get_args(kind)[1:]
    return ("record", ()) if isinstance(kind, type) and fields_of(kind) else ("plain", ())


_shape = functools.cache(_inner)


@functools.cache
def _holding_records(kind: type) -> frozenset[str]:
    """The fields of a record whose values hold records themselves, at any depth."""
    return frozenset(name for name, of in fields_of(kind).items() if _holds_record(of))


def _holds_record(kind: Any) -> bool:
    shape, inner = _shape(kind)
    return shape == "record" or any(map(_holds_record, inner))


def known(kind: Any, found: Any) -> Any:
    """The same table without the fields that its record does not have; what is no table stays as it is."""
    shape, inner = _shape(kind)
    if shape == "record" and isinstance(found, dict):
        fields, nested = fields_of(kind), _holding_records(kind)
        return {
            name: known(fields[name], value) if name in nested else value
            for name, value in found.items()
            if name in fields
        }
    if shape == "maybe" and found is not None:
        return known(inner[0], found)
    if shape == "list" and isinstance(found, list):
        return [known(inner[0], value) for value in found]
    if shape == "table" and isinstance(found, dict):
        return {name: known(inner[0], value) for name, value in found.items()}
    return found


def record(kind: type[R], found: Any, where: str = "") -> R:
    """A record of a kind out of a table. BadTable for what is missing or of another type."""
    made: R = _read(kind, found, where)
    return made


def _read(kind: Any, found: Any, where: str) -> Any:
    shape, inner = _shape(kind)
    try:
        if shape == "record":
            values = {name: _read(of, found[name], f"{where}.{name}" if where else name)
                      for name, of in fields_of(kind).items() if name in found}
            lacking = [name for name in kind._fields if name not in values and name not in kind._field_defaults]
            if lacking:
                raise BadTable(f"{where or 'table'}: {', '.join(lacking)} missing")
            return kind(**values)
        if shape == "maybe":
            return None if found is None else _read(inner[0], found, where)
        if shape == "list":
            return tuple(_read(inner[0], value, where) for value in _listed(found))
        if shape == "pair":
            return tuple(_read(of, value, where) for of, value in zip(inner, _listed(found), strict=True))
        if shape == "table":
            return {name: _read(inner[0], value, f"{where}.{name}") for name, value in found.items()}
        return _plain(kind, found)
    except BadTable:
        raise
    except (ValueError, TypeError, AttributeError, OverflowError):
        raise BadTable(f"{where}: expected {getattr(kind, '__name__', kind)}, found {str(found)[:60]!r}") from None


def _listed(found: Any) -> Any:
    if not isinstance(found, list | tuple):
        raise TypeError
    return found


def _plain(kind: Any, found: Any) -> Any:
    if kind is bool:
        word = str(found).lower()
        if word not in TRUE and word not in FALSE:
            raise ValueError
        return word in TRUE
    if kind is str:
        if not isinstance(found, str):
            raise TypeError
        return found
    if kind is int and not isinstance(found, int):
        if float(found) != int(float(found)):
            raise ValueError
        return int(float(found))
    return kind(found)
