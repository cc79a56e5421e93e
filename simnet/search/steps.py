"""Steps of a search: what can happen next, and how often at most on one path."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class StepKind(StrEnum):
    """What can happen."""

    ARRIVE = "arrive"  # the oldest message of a connection arrives
    WRITTEN = "written"  # the oldest write of a disk ends
    CHANGE = "change"  # an operator sends a change to a machine
    KILL = "kill"  # a process ends, and is back at once
    WIPE = "wipe"  # the same, and its disk is lost
    CUT = "cut"  # nothing passes from one machine to another any more
    PASS = "pass"  # time passes


class Step(NamedTuple):
    """One step; `machines`: where it happens, or from where to where."""

    kind: StepKind
    machines: tuple[str, ...] = ()

    def __str__(self) -> str:
        return " ".join((self.kind, *self.machines))


class Budget(NamedTuple):
    """What may happen at most, on one path."""

    changes: int = 2
    kills: int = 1
    cuts: int = 1
    wipes: int = 1
    passes: int = 2

    def allows(self, kind: StepKind, count: int) -> bool:
        """Return whether a step may happen once more after `count` times."""
        limits = {
            StepKind.CHANGE: self.changes,
            StepKind.KILL: self.kills,
            StepKind.CUT: self.cuts,
            StepKind.WIPE: self.wipes,
            StepKind.PASS: self.passes,
        }
        return count < limits[kind]


LIMITED_KINDS = (StepKind.CHANGE, StepKind.KILL, StepKind.CUT, StepKind.WIPE, StepKind.PASS)
