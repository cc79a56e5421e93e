"""All sections of the operator's file, registered in one place; each struct is its own direction's.

A section is imported only when it is there: the platform's ingress has no operator's file and needs none of this.
"""

from __future__ import annotations

import importlib
from typing import Any, NamedTuple


class Section(NamedTuple):
    """Where a section's struct is, and what it is for in one sentence."""

    module: str
    struct: str
    about: str

    def load(self) -> Any:
        """Its msgspec struct."""
        return getattr(importlib.import_module(self.module), self.struct)


SECTIONS = {
    "state": Section(
        "thistleusher.state.options",
        "StateOptions",
        "A folder in which members' stores, rooms, learned speeds and the list outlive the process.",
    ),
    "counters": Section(
        "thistleusher.services.options",
        "CounterGroupOptions",
        "Several counters that share the names by rendezvous hashing, in place of the platform's one.",
    ),
    "log": Section(
        "thistleusher.log.options", "LogOptions", "How log lines look, and how many wait while nobody reads them."
    ),
}
