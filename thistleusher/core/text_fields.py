"""Checked parsing of text fields. Errors name the message, the field, the expected value and the actual one."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NoReturn, TypeVar

T = TypeVar("T")

FLAGS = {"1": True, "0": False}


class InvalidSettingError(Exception):
    """An invalid value. The text names its source, its field and the expected value."""


def invalid(message: str, field: str, expected: str, got: object) -> NoReturn:
    """Raise InvalidSettingError for a field."""
    raise InvalidSettingError(f"{message}: {field}: expected {expected}, got {got!r}")


def read_number(message: str, field: str, text: str, low: float = -math.inf) -> float:
    """Return a finite number of at least `low`."""
    try:
        value = float(text)
    except ValueError:
        invalid(message, field, "a number", text)
    if not math.isfinite(value) or value < low:
        invalid(message, field, f"a finite number{'' if low == -math.inf else f' of {low:g} or more'}", text)
    return value


def read_optional(message: str, field: str, text: str, low: float = 0.0) -> float:
    """Return a finite number of at least `low`, or 0 if the field is absent (`-`)."""
    return 0.0 if text == "-" else read_number(message, field, text, low)


def read_whole(message: str, field: str, text: str, low: int = 0) -> int:
    """Return a whole number of at least `low`."""
    try:
        value = int(text)
    except ValueError:
        invalid(message, field, "a whole number", text)
    if value < low:
        invalid(message, field, f"a whole number of {low} or more", text)
    return value


def read_choice(message: str, field: str, text: str, choices: Mapping[str, T]) -> T:
    """Return the value that a field's text selects from `choices`."""
    if text not in choices:
        invalid(message, field, "one of " + ", ".join(choices), text)
    return choices[text]


def read_flag(message: str, field: str, text: str) -> bool:
    """Return True for a field of 1 and False for 0."""
    return read_choice(message, field, text, FLAGS)
