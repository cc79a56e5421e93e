"""Converts tables (JSON, settings) to records; fields that a record does not declare are ignored.

This is the only reader of settings and configurations: a control process reads a configuration with it before it
acknowledges one, and proxies and registries read the stored text with it. pydantic, which takes 0.13 s to load on a
front machine, only lists the errors of a table that this module cannot read.

Stored configurations that earlier releases acknowledged were validated by pydantic in its lax mode. Every table that it
accepts is read here, with the same values (`tests/configuration/test_one_reader.py`).

No I/O. Cost: linear in the number of fields.
"""

from __future__ import annotations

import contextlib
import functools
import types
from collections.abc import Callable, Mapping
from typing import Any, TypeVar, Union, cast, get_args, get_origin, get_type_hints

R = TypeVar("R")
TRUE_WORDS = ("true", "1", "yes", "on", "t", "y")
FALSE_WORDS = ("false", "0", "no", "off", "f", "n")
MAX_SHOWN = 60  # Maximum number of characters of an invalid value that its error message includes.


class InvalidTableError(ValueError):
    """A field is missing or not convertible to its declared type; the message states path, expected type and value."""


@functools.cache
def fields_of(kind: type) -> Mapping[str, Any]:
    """Return the names and types of a record's fields; empty if `kind` is not a record type."""
    return get_type_hints(kind) if issubclass(kind, tuple) and hasattr(kind, "_fields") else {}


def _uncached_shape(kind: Any) -> tuple[str, tuple[Any, ...]]:
    """Return a type's shape ('record', 'optional', 'list', 'tuple', 'table' or 'plain') and its inner types.

    A 'list' is a tuple of any length, a 'tuple' one of fixed length.
    """
    origin = get_origin(kind)
    if origin in (Union, types.UnionType):
        return "optional", tuple(arg for arg in get_args(kind) if arg is not type(None))
    if origin is tuple:
        args = get_args(kind)
        return ("list", args[:1]) if args[-1] is Ellipsis else ("tuple", args)
    if origin is dict:
        return "table", get_args(kind)[1:]
    return ("record", ()) if isinstance(kind, type) and fields_of(kind) else ("plain", ())


_shape = functools.cache(_uncached_shape)


@functools.cache
def _fields_with_records(kind: type) -> frozenset[str]:
    """Return the fields of a record whose values contain records themselves, at any depth."""
    return frozenset(name for name, field_type in fields_of(kind).items() if _contains_record(field_type))


def _contains_record(kind: Any) -> bool:
    shape, inner = _shape(kind)
    return shape == "record" or any(map(_contains_record, inner))


def known_fields_only(kind: Any, found: Any) -> Any:
    """Return a table without the fields that its record type does not declare; return other values unchanged."""
    shape, inner = _shape(kind)
    if shape == "record" and isinstance(found, dict):
        fields, nested = fields_of(kind), _fields_with_records(kind)
        return {
            name: known_fields_only(fields[name], value) if name in nested else value
            for name, value in found.items()
            if name in fields
        }
    if shape == "optional" and found is not None:
        return known_fields_only(inner[0], found)
    if shape == "list" and isinstance(found, list):
        return [known_fields_only(inner[0], value) for value in found]
    if shape == "table" and isinstance(found, dict):
        return {name: known_fields_only(inner[0], value) for name, value in found.items()}
    return found


Reader = Callable[[Any, str], Any]  # Arguments: the value found, and the path of its field.


def read_record(kind: type[R], found: Any, path: str = "") -> R:
    """Return a record of type `kind` from a table. Raise InvalidTableError for a missing or invalid field.

    `path` is the path of the table, for error messages.
    """
    made: R = _reader(cast(Any, kind))(found, path)
    return made


@functools.cache
def _reader(kind: Any) -> Reader:
    """Return the reader of a type; it is built once per type."""
    shape, inner = _shape(kind)
    read = _READER_MAKERS[shape](kind, inner)

    def guarded(found: Any, path: str) -> Any:
        try:
            return read(found, path)
        except InvalidTableError:
            raise
        except (ValueError, TypeError, AttributeError, OverflowError):
            expected = getattr(kind, "__name__", kind)
            raise InvalidTableError(f"{path}: expected {expected}, found {str(found)[:MAX_SHOWN]!r}") from None

    return guarded


def _record_reader(kind: Any, _: tuple[Any, ...]) -> Reader:
    fields = [(name, field_type, _reader(field_type)) for name, field_type in fields_of(kind).items()]

    def read(found: Any, path: str) -> Any:
        values = {
            name: found[name]
            if type(found[name]) is field_type
            else inner(found[name], f"{path}.{name}" if path else name)
            for name, field_type, inner in fields
            if name in found
        }
        if len(values) < len(fields):
            _check_complete(kind, values, path)
        return kind(**values)

    return read


def _optional_reader(_: Any, inner: tuple[Any, ...]) -> Reader:
    read = _reader(inner[0])
    return lambda found, path: None if found is None else read(found, path)


def _list_reader(_: Any, inner: tuple[Any, ...]) -> Reader:
    read, field_type = _reader(inner[0]), inner[0]

    def read_all(found: Any, path: str) -> Any:
        return tuple([value if type(value) is field_type else read(value, path) for value in _as_list(found)])

    return read_all


def _tuple_reader(_: Any, inner: tuple[Any, ...]) -> Reader:
    readers = [_reader(field_type) for field_type in inner]

    def read_each(found: Any, path: str) -> Any:
        return tuple([read(value, path) for read, value in zip(readers, _as_list(found), strict=True)])

    return read_each


def _table_reader(_: Any, inner: tuple[Any, ...]) -> Reader:
    read = _reader(inner[0])
    return lambda found, path: {name: read(value, f"{path}.{name}") for name, value in found.items()}


def _plain_reader(kind: Any, _: tuple[Any, ...]) -> Reader:
    return lambda found, path: _plain(kind, found)


_READER_MAKERS: dict[str, Callable[[Any, tuple[Any, ...]], Reader]] = {
    "record": _record_reader,
    "optional": _optional_reader,
    "list": _list_reader,
    "tuple": _tuple_reader,
    "table": _table_reader,
    "plain": _plain_reader,
}


def _check_complete(kind: Any, values: Mapping[str, Any], path: str) -> None:
    missing = [name for name in kind._fields if name not in values and name not in kind._field_defaults]
    if missing:
        raise InvalidTableError(f"{path or 'table'}: {', '.join(missing)} missing")


def _as_list(found: Any) -> Any:
    if not isinstance(found, list | tuple):
        raise TypeError
    return found


def _plain(kind: Any, found: Any) -> Any:
    if kind is bool:
        return _flag(found)
    if kind is str:
        if not isinstance(found, str):
            raise TypeError
        return found
    if kind is int:
        return _integer(found)
    return kind(found)


def _flag(found: Any) -> bool:
    """Return a boolean from itself, from 0 or 1 as an integer or a float, or from a word."""
    if isinstance(found, int | float):
        if found not in (0, 1):
            raise ValueError
        return bool(found)
    word = found.lower()
    if word not in TRUE_WORDS and word not in FALSE_WORDS:
        raise ValueError
    return word in TRUE_WORDS


def _integer(found: Any) -> int:
    """Return an integer from itself, from a float without a fraction, or from the text of either."""
    if isinstance(found, str):
        with contextlib.suppress(ValueError):
            return int(found)  # not by way of a float, which holds integers exactly up to 2**53 only
    if isinstance(found, int):
        return int(found)
    number = float(found)
    if number != int(number):
        raise ValueError
    return int(number)
