"""One fault, as a seed draws it or a test makes it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    `kind` and `how` mean what they mean on the bench: `how` says which machine, and in which way. `lot` selects a
    machine where `how` does not; `successor_s` is from a machine's loss to its successor's start.
    """

    at: float
    kind: str
    duration_s: float = 1.0
    how: tuple[str, ...] = ()
    count: int = 1
    lot: int = 0
    successor_s: float = 1.0
