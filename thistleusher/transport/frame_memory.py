"""The memory that the incomplete messages on all links of one process may take together.

Anybody can connect to a port and announce a large message. A link from which nothing valid has come may hold a short
message only (`MAX_FIRST_BYTES`), unless its port expects a complete state first; then all such links together may hold
`UNIDENTIFIED_SHARE` of the capacity, so that the rest is left to links with known peers.

Pure. Cost: constant per read of an incomplete message.
"""

from __future__ import annotations

MAX_FIRST_BYTES = 4096  # a `Hello` or a `SubscribeRequest`
MEMORY_SHARE = 0.1  # fraction of a process's memory
MIN_CAPACITY_BYTES = 8 * 1024 * 1024  # the complete state of the target in two years takes 6.4 MB (docs/CAPACITY.md)
UNIDENTIFIED_SHARE = 0.5  # fraction of the capacity
BYTES_PER_MB = 1024 * 1024


class FrameMemory:
    """The bytes of incomplete messages that the links of one process hold."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0

    @classmethod
    def of_process(cls, memory_mb: float) -> FrameMemory:
        """Return the memory of a process; `memory_mb`: the limit of all its memory."""
        return cls(max(MIN_CAPACITY_BYTES, int(memory_mb * BYTES_PER_MB * MEMORY_SHARE)))

    def take(self, more_bytes: int, *, identified: bool) -> bool:
        """Hold more bytes; return False if there is no room. A negative number releases bytes."""
        limit = self.capacity_bytes if identified else int(self.capacity_bytes * UNIDENTIFIED_SHARE)
        if more_bytes > 0 and self.held_bytes + more_bytes > limit:
            return False
        self.held_bytes += more_bytes
        return True
