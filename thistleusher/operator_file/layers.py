"""Layers of values: included files < the file < environment < command line. The last layer that sets a key wins.

Apart from reading files, the functions are pure. Each value keeps its origin for `show` and for error messages.
Included files come before the file that includes them. A circular include, a file larger than `MAX_FILE_BYTES` and a
file that is not UTF-8 are reported as one-line errors.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from thistleusher.operator_file.errors import OperatorFileError, one_line, printable

MAX_FILE_BYTES = 1 << 20
MAX_INCLUDE_DEPTH = 8  # maximum length of a chain of files that include one another
# Prefixes of environment variables: THISTLEUSHER_STATE__SYNC sets state.sync. The legacy prefix is read first, so the
# present one overrides it.
ENVIRONMENT_PREFIXES = ("ROADSPUR_", "THISTLEUSHER_")


class Origin(NamedTuple):
    """The place where a value was set. `line` is 0 if the place has no line number."""

    place: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.place}:{self.line}" if self.line else self.place


class Layers:
    """The values of each section by key, and the origin of each section and of each `section.key`."""

    def __init__(self) -> None:
        self.values: dict[str, dict[str, Any]] = {}
        self.origins: dict[str, Origin] = {}

    def put(self, section: str, key: str, value: Any, origin: Origin) -> None:
        """Set a value, replacing the value of an earlier layer."""
        self.values.setdefault(section, {})[key] = value
        self.origins[f"{section}.{key}"] = origin

    def origin_of(self, section: str, key: str = "") -> str:
        """Return the origin of a key, or else of its section, or else of the section's first key."""
        origin = self.origins.get(f"{section}.{key}") or self.origins.get(section)
        if origin is not None:
            return str(origin)
        return next((str(o) for name, o in self.origins.items() if name.startswith(f"{section}.")), "operator's file")

    def add_file(self, path: str, including: tuple[str, ...] = ()) -> None:
        """Add a file and its includes. `including` is the chain of including files. Raises OperatorFileError."""
        real_path = str(Path(path).resolve())
        if real_path in including:
            raise OperatorFileError(path, "include", found="circular include")
        if len(including) >= MAX_INCLUDE_DEPTH:
            raise OperatorFileError(path, "include", found=f"nested more than {MAX_INCLUDE_DEPTH} files deep")
        text = read_text(path)
        data = parse_toml(path, text)
        includes = data.pop("include", [])
        if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
            raise OperatorFileError(path, "include", "a list of file names", f"{includes!r:.60}")
        for name in includes:
            self.add_file(str(Path(path).parent / name), (*including, real_path))
        for section, keys in data.items():
            self._add_section(path, text, section, keys)

    def _add_section(self, path: str, text: str, section: str, keys: Any) -> None:
        if not isinstance(keys, dict):
            place = str(Origin(path, line_of(text, "", section)))
            raise OperatorFileError(place, printable(section), f"a section, [{printable(section)}]", "a value")
        self.values.setdefault(section, {})  # a section without keys is present, too
        self.origins.setdefault(section, Origin(path, line_of(text, section)))
        for key, value in keys.items():
            self.put(section, key, value, Origin(path, line_of(text, section, key)))

    def add_environment(self, environ: Mapping[str, str], sections: Iterable[str]) -> None:
        """Add variables of the form THISTLEUSHER_SECTION__KEY=value for known sections; ignore all others."""
        known = set(sections)
        for prefix in ENVIRONMENT_PREFIXES:
            for name in sorted(environ):
                section, separator, key = name.removeprefix(prefix).lower().partition("__")
                if name.startswith(prefix) and separator and section in known:
                    self.put(section, key, parse_value(environ[name]), Origin(f"environment {name}"))

    def add_assignments(self, assignments: Iterable[str]) -> None:
        """Add assignments of the form `section.key=value` from the command line. Raises OperatorFileError."""
        for text in assignments:
            name, equals, value = text.partition("=")
            section, dot, key = name.strip().partition(".")
            if not (equals and dot and section and key):
                raise OperatorFileError("--set", expected="section.key=value", found=f"{text!r:.60}")
            self.put(section, key.strip(), parse_value(value.strip()), Origin("command line"))


def read_text(path: str) -> str:
    """Return a file's text. Raises OperatorFileError if the file is missing, too large or not UTF-8."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(path, found=error.strerror or "cannot be read") from error
    if len(raw) > MAX_FILE_BYTES:
        raise OperatorFileError(path, found=f"larger than {MAX_FILE_BYTES} bytes")
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise OperatorFileError(path, found=f"not UTF-8 at byte {error.start}") from error


def parse_toml(path: str, text: str) -> dict[str, Any]:
    """Parse a TOML text and return its top-level table. Raises OperatorFileError."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorFileError(path, found=one_line(error) or "nested too deeply") from error


def parse_value(text: str) -> Any:
    """Parse a TOML value; return the text itself if it is not one, so that `normal` need not be quoted."""
    try:
        return tomllib.loads(f"x = {text}")["x"]
    except (tomllib.TOMLDecodeError, RecursionError):
        return text


def line_of(text: str, section: str, key: str = "") -> int:
    """Return the line number of a section's header or of a key in it; 0 if it is written in an unusual form."""
    current_section = ""
    for number, raw_line in enumerate(text.splitlines(), 1):
        line = raw_line.strip()
        if line.startswith("[") and not line.startswith("[["):
            current_section = line.strip("[] \t").split("]")[0].strip().strip("\"'")
            if current_section == section and not key:
                return number
        elif key and current_section == section and line.split("=")[0].strip().strip("\"'") == key:
            return number
    return 0
