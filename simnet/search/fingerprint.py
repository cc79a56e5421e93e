"""Fingerprints of states: the memory of a process as plain values, with times relative to now."""

from __future__ import annotations

import functools
import random
import types
from collections import deque
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

MAX_AGE_S = 9.0  # all times that lie further in the past are considered equal
PLAIN = frozenset({type(None), bool, int, str, bytes})  # types whose values are part of a fingerprint as they are


class Fingerprint:
    """Converts objects into plain values, which are equal if everything that later steps depend on is equal.

    Floats between `earliest` and `latest` are times, and are converted to differences from `now`. A second reference to
    an object is converted to the index of that object in the order of the first references.
    """

    def __init__(self, now: float, earliest: float, latest: float) -> None:
        self._now = now
        self._earliest = earliest
        self._latest = latest
        self._seen: dict[int, int] = {}  # id of an object -> index in the order of the first references

    def of(self, value: Any) -> Any:
        """Return the plain value of an object, including all objects it refers to.

        Raises TypeError for a closure: a copy of the state would still refer to the original state.
        """
        kind = type(value)
        if kind is float:
            return self._time(value)
        if kind in PLAIN or isinstance(value, Enum | type):
            return value
        if kind is tuple or kind is list or kind is deque:
            return tuple(map(self.of, value))
        if isinstance(value, Mapping):
            return frozenset((key, self.of(each)) for key, each in value.items())
        if isinstance(value, set | frozenset):
            return frozenset(value)
        if isinstance(value, random.Random):
            return None
        return self._callable_or_object(value)

    def _time(self, value: float) -> float:
        if self._earliest < value < self._latest:
            return round(max(-MAX_AGE_S, value - self._now), 3)
        return value

    def _callable_or_object(self, value: Any) -> Any:
        if isinstance(value, types.MethodType):
            return value.__qualname__, self.of(value.__self__)
        if isinstance(value, types.FunctionType) and value.__closure__:
            raise TypeError(f"{value.__qualname__} cannot be copied together with the state that it refers to")
        number = self._seen.setdefault(id(value), len(self._seen))
        if number < len(self._seen) - 1:
            return number
        return type(value), *(self.of(getattr(value, name, None)) for name in _field_names(value))


@functools.cache
def _slots(kind: type) -> tuple[str, ...]:
    """Return the names of the fields that a type stores in slots or in a `msgspec.Struct`."""
    if issubclass(kind, msgspec.Struct):
        return kind.__struct_fields__
    return tuple(name for base in kind.__mro__ for name in getattr(base, "__slots__", ()))


def _field_names(value: Any) -> tuple[str, ...]:
    kind: type = type(value)
    return (*_slots(kind), *sorted(getattr(value, "__dict__", ())))
