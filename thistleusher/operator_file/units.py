"""Durations and sizes with their units, as people write them: "250ms", "64KiB". A bare number has no unit: an error."""

from __future__ import annotations

import re

DURATIONS = {"ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "KB": 10**3, "MB": 10**6, "GB": 10**9}
NUMBER = re.compile(r"(\d{1,12}(?:\.\d{1,9})?) ?([A-Za-z]{1,3})", re.ASCII)


class Seconds(float):
    """A duration, in seconds."""

    def __str__(self) -> str:
        for unit in ("d", "h", "min", "s"):
            if self >= DURATIONS[unit] and self % DURATIONS[unit] == 0:
                return f"{self / DURATIONS[unit]:.12g}{unit}"
        return f"{self * 1000:.12g}ms"


class Bytes(int):
    """A size, in bytes."""

    def __str__(self) -> str:
        for unit in ("GiB", "MiB", "KiB"):
            if self >= SIZES[unit] and self % SIZES[unit] == 0:
                return f"{self // SIZES[unit]}{unit}"
        return f"{int(self)}B"


def _split(text: object, what: str, units: dict[str, float] | dict[str, int], example: str) -> tuple[float, float]:
    found = NUMBER.fullmatch(text) if isinstance(text, str) else None
    if found is None or found[2] not in units:
        raise ValueError(f"expected {what} such as {example!r} ({', '.join(units)}), got {text!r:.60}")
    return float(found[1]), units[found[2]]


def read_seconds(text: object) -> Seconds:
    """ValueError says what was expected; at most 12 digits, so it is finite."""
    number, unit = _split(text, "a duration", DURATIONS, "250ms")
    return Seconds(number * unit)


def read_bytes(text: object) -> Bytes:
    """ValueError says what was expected; whole bytes only."""
    number, unit = _split(text, "a size", SIZES, "64KiB")
    if number * unit % 1:
        raise ValueError(f"expected a whole number of bytes, got {text!r}")
    return Bytes(number * unit)
