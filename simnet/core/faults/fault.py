"""The description of one fault."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, drawn from a seed or created by a test.

    `kind` and `how` have the same meaning as on the users' test bench: `how` selects the machine and the variant of the
    fault. The random `lot` selects a machine if `how` does not. `successor_s` is the time from the loss of a machine to
    the start of its successor.
    """

    at: float
    kind: str
    duration_s: float = 1.0
    how: tuple[str, ...] = ()
    count: int = 1
    lot: int = 0
    successor_s: float = 1.0
