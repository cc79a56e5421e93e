"""Values by layers: defaults < files < environment < command line; the last one that names a key wins.

Pure but for the reading of files. Each leaf keeps where it comes from, for `show` and for errors. Included files stand
before the file that includes them; a circle, a file over `MOST` and one that is not UTF-8 are errors of one line.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

MOST = 1 << 20  # bytes of a file
DEEPEST = 8  # files that include one another
PREFIXES = ("ROADSPUR_", "THISTLEUSHER_")  # THISTLEUSHER_STATE__SYNC is state.sync; it wins over its earlier name


class BadFile(ValueError):
    """What keeps the operator's file from being used: file, line, key, what was found and expected; one line."""


class Origin(NamedTuple):
    """Where a value was written. `line` 0 where it has none."""

    place: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.place}:{self.line}" if self.line else self.place


class Layers:
    """Sections of keys, and the origin of each `section.key`."""

    def __init__(self) -> None:
        self.values: dict[str, dict[str, Any]] = {}
        self.origins: dict[str, Origin] = {}

    def put(self, section: str, key: str, value: Any, origin: Origin) -> None:
        self.values.setdefault(section, {})[key] = value
        self.origins[f"{section}.{key}"] = origin

    def file(self, path: str, seen: tuple[str, ...] = ()) -> None:
        """Read a file and what it includes; BadFile names the file."""
        real = str(Path(path).resolve())
        if real in seen or len(seen) >= DEEPEST:
            raise BadFile(f"{path}: include: " + ("a circle" if real in seen else f"more than {DEEPEST} files deep"))
        text = read_text(path)
        try:
            data = tomllib.loads(text)
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            raise BadFile(f"{path}: {one_line(error) or 'nested too deeply'}") from error
        includes = data.pop("include", [])
        if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
            raise BadFile(f"{path}: include: expected a list of file names, got {includes!r:.60}")
        for name in includes:
            self.file(str(Path(path).parent / name), (*seen, real))
        for section, keys in data.items():
            if not isinstance(keys, dict):
                raise BadFile(
                    f"{Origin(path, line_of(text, '', section))}: {plain(section)}: expected a section, "
                    f"[{plain(section)}], got a value"
                )
            self.values.setdefault(section, {})  # also an empty one
            self.origins.setdefault(section, Origin(path, line_of(text, section)))
            for key, value in keys.items():
                self.put(section, key, value, Origin(path, line_of(text, section, key)))

    def environment(self, environ: Mapping[str, str], sections: Iterable[str]) -> None:
        """Take THISTLEUSHER_SECTION__KEY=value, for known sections; variables of other forms are ignored."""
        for prefix in PREFIXES:
            for name in sorted(environ):
                section, split, key = name.removeprefix(prefix).lower().partition("__")
                if name.startswith(prefix) and split and section in sections:
                    self.put(section, key, value_of(environ[name]), Origin(f"environment {name}"))

    def words(self, settings: Iterable[str]) -> None:
        """`section.key=value` of the command line."""
        for text in settings:
            name, given, value = text.partition("=")
            section, dot, key = name.strip().partition(".")
            if not given or not dot or not section or not key:
                raise BadFile(f"--set: expected section.key=value, got {text!r:.60}")
            self.put(section, key.strip(), value_of(value.strip()), Origin("command line"))


def read_text(path: str) -> str:
    """A file's text, bounded; BadFile names it."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MOST + 1)
    except OSError as error:
        raise BadFile(f"{path}: {error.strerror}") from error
    if len(raw) > MOST:
        raise BadFile(f"{path}: larger than {MOST} bytes")
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise BadFile(f"{path}: not UTF-8 at byte {error.start}") from error


def value_of(text: str) -> Any:
    """A value as TOML has it, or else the text itself: `normal` need not be quoted."""
    try:
        return tomllib.loads(f"x = {text}")["x"]
    except (tomllib.TOMLDecodeError, RecursionError):
        return text


def line_of(text: str, section: str, key: str = "") -> int:
    """The line of a section's head, or of a key in it; 0 where it is written in another way than usual."""
    here = ""
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if line.startswith("[") and not line.startswith("[["):
            here = line.strip("[] \t").split("]")[0].strip().strip("\"'")
            if here == section and not key:
                return number
        elif key and here == section and line.split("=")[0].strip().strip("\"'") == key:
            return number
    return 0


def plain(key: str) -> str:
    """A key as it can stand in one line."""
    return key[:60] if key.isprintable() else repr(key)[:60]


def one_line(error: BaseException) -> str:
    return " ".join(str(error).split())
