"""The operator's file as typed options, checked whole. Each error is one line: place, key, expected, found."""

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
    """A value in force: `section.key`, the value as text, and where it was written."""

    key: str
    value: str
    origin: str


class OperatorFile:
    """Sections by name, as instances of their dataclasses; `layers` holds where each value was written."""

    def __init__(self, layers: Layers, sections: dict[str, Any]) -> None:
        self.layers = layers
        self.sections = sections

    def get(self, section: str) -> Any:
        """Return a section's options, None where no layer has the section."""
        return self.sections.get(section)

    def effective_values(self) -> list[EffectiveValue]:
        """Return every value of the sections that are there, defaults too."""
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
    """Read and check all layers. Raises OperatorFileError where anything in them cannot be used."""
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
    """Return an instance of the dataclass `options`. Raises InvalidValueError with the key that cannot be used."""
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
    """Read a TOML file without sections as an instance of the dataclass `options`; raises OperatorFileError."""
    values = parse_toml(path, read_text(path))
    try:
        return read_options(options, values)
    except InvalidValueError as error:
        raise OperatorFileError(path, printable(error.key), error.expected, error.found) from error


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return the known name that is nearest to a wrong one, or all of them, as the end of an error line."""
    close = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {close[0]}?" if close else f"; there are {', '.join(sorted(known))}"


def value_text(value: object) -> str:
    """Return a value as it is shown: with its unit, or as Python writes it."""
    return str(value) if isinstance(value, Seconds | Bytes) else repr(value)
