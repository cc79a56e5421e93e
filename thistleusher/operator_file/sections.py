"""All sections of the operator's file, registered in one place; each section's dataclass belongs to its own package.

A section's module is imported only when the file has the section: an ingress without an operator's file needs none.
"""

from __future__ import annotations

import importlib
from typing import Any, NamedTuple


class Section(NamedTuple):
    """Where a section's dataclass is, and what the section is for in one sentence."""

    module: str
    dataclass_name: str
    about: str

    def load(self) -> Any:
        """Import and return the section's dataclass."""
        return getattr(importlib.import_module(self.module), self.dataclass_name)


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
