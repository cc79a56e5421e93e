"""The memory of the responses that one connection's transport holds until its client has taken them.

A transport holds a body as a whole until its last byte is handed to the kernel, so that is what counts.
"""

from __future__ import annotations

from collections import deque

from thistleusher.net.memory_budget import MemoryBudget, Reservation, Stage


class UnsentResponses:
    """The responses of one connection whose last byte is still to be handed on."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._reservation = Reservation(budget, Stage.RESPONSE, bool)
        self._written_bytes = 0  # Offset of the newest response's end since the connection was opened.
        self._bodies: deque[tuple[int, int]] = deque()  # Offset of a response's end, and the size of its body.

    def add(self, head_bytes: int, body_bytes: int) -> None:
        """Add a response that was written to the transport; `update` is to follow."""
        self._written_bytes += head_bytes + body_bytes
        self._bodies.append((self._written_bytes, body_bytes))

    def update(self, buffered_bytes: int) -> None:
        """Hold what the transport does; `buffered_bytes`: the size of its write buffer."""
        if not self._bodies:
            return
        sent_bytes = self._written_bytes - buffered_bytes
        while self._bodies and self._bodies[0][0] <= sent_bytes:
            self._bodies.popleft()
        size = sum(body_bytes for _, body_bytes in self._bodies)
        if size != self._reservation.held:
            self._reservation.resize(size)
