"""What a machine of the core keeps on disk: the view it knows, what it has promised, and its copy of the state."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from roadspur.transport.news import State


@dataclass(frozen=True, slots=True)
class View:
    """One epoch: who is primary, who its backups, and who votes (address -> zone)."""

    epoch: int
    primary: str
    backups: tuple[str, ...]
    electorate: Mapping[str, str]

    @property
    def majority(self) -> int:
        """How many of the electorate decide."""
        return len(self.electorate) // 2 + 1

    @property
    def holders(self) -> tuple[str, ...]:
        """Who has all that was acknowledged in this epoch."""
        return self.primary, *self.backups

    def copies(self, tolerance: int) -> int:
        """How many backups there are to be: one a machine that may be lost, and what a bare majority can still have."""
        return max(1, min(tolerance, len(self.electorate) // 2))

    def has_majority(self, voters: Iterable[str]) -> bool:
        """Whether a majority of the electorate is among some machines."""
        return len(self.electorate.keys() & set(voters)) >= self.majority

    def packed(self) -> dict[str, Any]:
        return {"e": self.epoch, "p": self.primary, "b": list(self.backups), "v": dict(self.electorate)}

    @staticmethod
    def unpacked(packed: Mapping[str, Any]) -> View:
        return View(packed["e"], packed["p"], tuple(packed["b"]), dict(packed["v"]))


@dataclass(slots=True)
class Copy:
    """A full copy of the state; `epoch`: the one in which it was whole, -1 for none."""

    epoch: int = -1
    state: State = field(default_factory=State)

    def packed(self) -> dict[str, Any]:
        return {"e": self.epoch, "s": self.state.packed()}

    @staticmethod
    def unpacked(packed: Mapping[str, Any]) -> Copy:
        return Copy(packed["e"], State.unpacked(packed["s"]))


@dataclass(slots=True)
class Kept:
    """All of it, as read at the start of a process; an empty disk gives the defaults."""

    promised: int = 0
    view: View | None = None
    copy: Copy = field(default_factory=Copy)
    grants: dict[str, tuple[str, int]] = field(default_factory=dict)  # duty -> machine, term (`leases.Grantor`)
