"""Durations and sizes with units, such as "250ms" and "64KiB". A number without a unit is an error."""

from __future__ import annotations

import re

from thistleusher.operator_file.errors import InvalidValueError

DURATION_UNITS = {"ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "KB": 10**3, "MB": 10**6, "GB": 10**9}
NUMBER_WITH_UNIT = re.compile(r"(\d{1,12}(?:\.\d{1,9})?) ?([A-Za-z]{1,3})", re.ASCII)


class Seconds(float):
    """A duration, in seconds."""

    def __str__(self) -> str:
        for unit in ("d", "h", "min", "s"):
            if self >= DURATION_UNITS[unit] and self % DURATION_UNITS[unit] == 0:
                return f"{self / DURATION_UNITS[unit]:.12g}{unit}"
        return f"{self * 1000:.12g}ms"


class Bytes(int):
    """A size, in bytes."""

    def __str__(self) -> str:
        for unit in ("GiB", "MiB", "KiB"):
            if self >= SIZE_UNITS[unit] and self % SIZE_UNITS[unit] == 0:
                return f"{self // SIZE_UNITS[unit]}{unit}"
        return f"{int(self)}B"


def _parse(text: object, what: str, units: dict[str, float] | dict[str, int], example: str) -> tuple[float, float]:
    """Return the number and the factor of its unit."""
    match = NUMBER_WITH_UNIT.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        raise InvalidValueError(f"{what} such as {example!r} ({', '.join(units)})", f"{text!r:.60}")
    return float(match[1]), units[match[2]]


def read_seconds(text: object) -> Seconds:
    """Return a duration, which is finite because it has at most 12 integer digits. Raises InvalidValueError."""
    number, unit = _parse(text, "a duration", DURATION_UNITS, "250ms")
    return Seconds(number * unit)


def read_bytes(text: object) -> Bytes:
    """Return a size in whole bytes. Raises InvalidValueError."""
    number, unit = _parse(text, "a size", SIZE_UNITS, "64KiB")
    if number * unit % 1:
        raise InvalidValueError("a whole number of bytes", f"{text!r}")
    return Bytes(number * unit)
