"""Steps of a search, and the limits on their number on one path."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class StepKind(StrEnum):
    """All kinds of steps."""

    ARRIVE = "arrive"  # the oldest message of a connection arrives
    WRITTEN = "written"  # the oldest pending write of a disk completes
    CHANGE = "change"  # an operator sends a change to a machine
    KILL = "kill"  # a process ends and restarts at once
    WIPE = "wipe"  # a process ends, loses its disk and restarts at once
    CUT = "cut"  # all further messages from one machine to another are lost
    PASS = "pass"  # time advances


class Step(NamedTuple):
    """One step; `machines` is the machine it affects, or the sender and the receiver."""

    kind: StepKind
    machines: tuple[str, ...] = ()

    def __str__(self) -> str:
        return " ".join((self.kind, *self.machines))


class Budget(NamedTuple):
    """The maximum number of steps on one path, by kind."""

    changes: int = 2
    kills: int = 1
    cuts: int = 1
    wipes: int = 1
    passes: int = 2

    def allows(self, kind: StepKind, count: int) -> bool:
        """Return whether another step of a kind is permitted after `count` such steps."""
        limits = {
            StepKind.CHANGE: self.changes,
            StepKind.KILL: self.kills,
            StepKind.CUT: self.cuts,
            StepKind.WIPE: self.wipes,
            StepKind.PASS: self.passes,
        }
        return count < limits[kind]


LIMITED_KINDS = (StepKind.CHANGE, StepKind.KILL, StepKind.CUT, StepKind.WIPE, StepKind.PASS)
