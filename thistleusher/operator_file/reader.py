"""The operator's file as typed options: checked whole, each error one line with file, line, key, found, expected."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from thistleusher.operator_file.layers import BadFile, Layers, one_line, plain
from thistleusher.operator_file.secrets import Secret, read_secret
from thistleusher.operator_file.sections import SECTIONS
from thistleusher.operator_file.units import Bytes, Seconds, read_bytes, read_seconds

READ: dict[type, Callable[[object], Any]] = {Seconds: read_seconds, Bytes: read_bytes, Secret: read_secret}
AT = re.compile(r" - at `\$\.?([^`]*)`$")


class Options:
    """Sections by name, as their structs; `layers` tells where each value is from."""

    def __init__(self, layers: Layers, sections: dict[str, Any]) -> None:
        self.layers, self.sections = layers, sections

    def get(self, section: str) -> Any:
        """A section's struct, None where the file does not have it."""
        return self.sections.get(section)

    def shown(self) -> list[tuple[str, str, str]]:
        """Every effective value: key, value, where it comes from."""
        out = []
        for name, options in self.sections.items():
            for field in msgspec.structs.fields(options):
                key = f"{name}.{field.name}"
                out.append((key, text_of(getattr(options, field.name)), str(self.layers.origins.get(key, "default"))))
        return out


def read_operator(path: str | None, environ: Mapping[str, str] | None = None, words: Iterable[str] = ()) -> Options:
    """All layers, checked. BadFile where anything in them cannot be used."""
    layers = Layers()
    if path is not None:
        layers.file(path)
    layers.environment(environ or {}, SECTIONS)
    layers.words(words)
    sections = {}
    for name, keys in layers.values.items():
        if name not in SECTIONS:
            raise BadFile(
                f"{layers.origins.get(name) or first(layers, name)}: [{plain(name)}]: no such section"
                + nearest(name, SECTIONS)
            )
        sections[name] = read_section(name, keys, layers)
    return Options(layers, sections)


def read_section(name: str, keys: dict[str, Any], layers: Layers) -> Any:
    """One section's struct; BadFile names the key that is wrong, and where it was written."""
    struct = SECTIONS[name].load()
    known = {f.name for f in msgspec.structs.fields(struct)}
    for key in keys:
        if key not in known:
            raise BadFile(f"{layers.origins[f'{name}.{key}']}: {name}.{plain(key)}: no such key{nearest(key, known)}")
    try:
        return msgspec.convert(keys, struct, dec_hook=with_unit)
    except msgspec.ValidationError as error:
        text = one_line(error)
        found = AT.search(text)
        key = found[1].split("[")[0] if found else ""
        why = AT.sub("", text).replace("Object missing", "missing")
        if not key and why.partition(": ")[0] in keys:  # said by the struct itself
            key, _, why = why.partition(": ")
        place = layers.origins.get(f"{name}.{key}") or layers.origins.get(name) or first(layers, name)
        secret = any(f.name == key and f.type is Secret for f in msgspec.structs.fields(struct))
        got = f", got {keys[key]!r:.60}" if key in keys and "got" not in why and not secret else ""
        raise BadFile(f"{place}: {name}{'.' + key if key else ''}: {why}{got}") from error


def with_unit(kind: type, value: object) -> Any:
    """What msgspec does not know itself: durations, sizes and secrets."""
    return READ[kind](value)


def first(layers: Layers, section: str) -> str:
    """Where the first key of a section was written, for one that no file has."""
    return next((str(o) for key, o in layers.origins.items() if key.startswith(f"{section}.")), "operator's file")


def nearest(name: str, known: Iterable[str]) -> str:
    close = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {close[0]}?" if close else f"; there are {', '.join(sorted(known))}"


def text_of(value: object) -> str:
    return str(value) if isinstance(value, Seconds | Bytes) else repr(value)
