"""Sizes the budget for bodies by what the rest of the process takes, which grows with the state of the system."""

from __future__ import annotations

import os
from pathlib import Path

from thistleusher.net.connection_limits import CONNECTION_BYTES
from thistleusher.net.memory_budget import MemoryBudget, body_capacity

STATM = Path("/proc/self/statm")  # sizes in pages; the second one is the resident size
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UPDATE_INTERVAL_S = 1.0


class BodyMemory:
    """The budget of one process for the bodies that it holds."""

    def __init__(self, memory_mb: float, max_connections: int = 0) -> None:
        """`memory_mb`: the limit of the process's memory. `max_connections`: how many clients may connect."""
        self._memory_mb = memory_mb
        self._connection_bytes = max_connections * CONNECTION_BYTES
        self._next_update = 0.0
        self.budget = MemoryBudget(body_capacity(memory_mb))

    def update(self, now: float) -> None:
        """Size the budget anew, at most every `UPDATE_INTERVAL_S`."""
        if now < self._next_update:
            return
        self._next_update = now + UPDATE_INTERVAL_S
        own_bytes = max(0, resident_bytes() - self.budget.held) + self._connection_bytes
        self.budget.resize(body_capacity(self._memory_mb, own_bytes))


def resident_bytes() -> int:
    """Return the resident size of this process in bytes; 0 where the system does not tell."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
