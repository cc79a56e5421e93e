"""The registry of all sections of the operator's file. Each section's dataclass is part of the package it configures.

A section's module is imported only if the file has the section, so an ingress without an operator's file imports none.
"""

from __future__ import annotations

import importlib
from typing import Any, NamedTuple


class Section(NamedTuple):
    """The module and name of a section's dataclass, and a description of the section in one sentence."""

    module: str
    dataclass_name: str
    description: str

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
        "thistleusher.log.options", "LogOptions", "Format and level of the log lines, and the size of their queue."
    ),
}
