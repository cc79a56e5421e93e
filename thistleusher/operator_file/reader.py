"""Reads the operator's file into typed options. Each error is one line: place, key, expected and found."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, get_type_hints

from thistleusher.operator_file.errors import InvalidValueError, OperatorFileError, printable
from thistleusher.operator_file.layers import Layers, parse_toml, read_text
from thistleusher.operator_file.sections import SECTIONS
from thistleusher.operator_file.units import Bytes, Seconds


class EffectiveValue(NamedTuple):
    """A value in effect: `section.key`, the value as text, and its origin."""

    key: str
    value: str
    origin: str


class OperatorFile:
    """The sections by name, as instances of their dataclasses. `layers` holds the origin of each value."""

    def __init__(self, layers: Layers, sections: dict[str, Any]) -> None:
        self.layers = layers
        self.sections = sections

    def get(self, section: str) -> Any:
        """Return a section's options, or None if no layer has the section."""
        return self.sections.get(section)

    def effective_values(self) -> list[EffectiveValue]:
        """Return all values of the present sections, including defaults."""
        values = []
        for name, options in self.sections.items():
            for field in dataclasses.fields(options):
                key = f"{name}.{field.name}"
                origin = str(self.layers.origins.get(key, "default"))
                values.append(EffectiveValue(key, value_text(getattr(options, field.name)), origin))
        return values


def read_operator_file(
    path: str | None, environ: Mapping[str, str] | None = None, assignments: Iterable[str] = ()
) -> OperatorFile:
    """Read and validate all layers. Raises OperatorFileError if any value in them is invalid."""
    layers = Layers()
    if path is not None:
        layers.add_file(path)
    layers.add_environment(environ or {}, SECTIONS)
    layers.add_assignments(assignments)
    sections = {}
    for name, values in layers.values.items():
        if name not in SECTIONS:
            place = layers.origin_of(name)
            raise OperatorFileError(place, f"[{printable(name)}]", found=f"no such section{suggestion(name, SECTIONS)}")
        sections[name] = _read_section(name, values, layers)
    return OperatorFile(layers, sections)


def _read_section(name: str, values: dict[str, Any], layers: Layers) -> Any:
    try:
        return read_options(SECTIONS[name].load(), values)
    except InvalidValueError as error:
        place = layers.origin_of(name, error.key)
        key = f"{name}.{printable(error.key)}" if error.key else name
        raise OperatorFileError(place, key, error.expected, error.found) from error


def read_options(options: Any, values: Mapping[str, Any]) -> Any:
    """Return an instance of the dataclass `options`. Raises InvalidValueError, which names the invalid key."""
    from thistleusher.operator_file.values import read_value  # loads pydantic

    fields = {field.name: field for field in dataclasses.fields(options)}
    for key in values:
        if key not in fields:
            raise InvalidValueError(found=f"no such key{suggestion(key, fields)}", key=key)
    types = get_type_hints(options, include_extras=True)
    checked = {}
    for key, value in values.items():
        try:
            checked[key] = read_value(types[key], value)
        except InvalidValueError as error:
            raise InvalidValueError(error.expected, error.found, key) from error
    for key, field in fields.items():
        if key not in checked and field.default is dataclasses.MISSING:
            raise InvalidValueError(found=f"missing required field `{key}`")
    return options(**checked)


def read_flat_file(path: str, options: Any) -> Any:
    """Read a TOML file without sections as an instance of the dataclass `options`. Raises OperatorFileError."""
    values = parse_toml(path, read_text(path))
    try:
        return read_options(options, values)
    except InvalidValueError as error:
        raise OperatorFileError(path, printable(error.key), error.expected, error.found) from error


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return the end of an error message about an unknown name: the closest known name, or else all known names."""
    close = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {close[0]}?" if close else f"; known names: {', '.join(sorted(known))}"


def value_text(value: object) -> str:
    """Return a value as text: with its unit, or else its `repr`."""
    return str(value) if isinstance(value, Seconds | Bytes) else repr(value)
