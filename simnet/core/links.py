"""Held connections between simulated machines: in order, or ended; cuts in one direction; bytes that hang and come
late.

Each message passes through the codec, as it does on a real connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from simnet.clock import Clock
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import AnyMessage

HANGS_S = 1.5  # for which what a cut holds up may still arrive

Deliver = Callable[[str, str, AnyMessage], None]
Delay = Callable[[str, str], float]


class Links:
    """All connections; `deliver(to, sender, message)` hands a message over."""

    def __init__(self, clock: Clock, rng: random.Random, deliver: Deliver, delay: Delay) -> None:
        self.clock, self.rng, self.deliver, self.delay = clock, rng, deliver, delay
        self.cuts: dict[tuple[str, str], float] = {}  # until when
        self.lives: dict[str, int] = {}  # a machine's lives: what was sent to an earlier one is lost
        self.sent_at = 0.0  # when the message that is being delivered was sent
        self.sent_bytes = 0
        self._last: dict[tuple[str, str], float] = {}
        self._connections: dict[tuple[str, str], int] = {}  # how often each was reset

    def cut(self, a: str, b: str, for_s: float, both: bool = True) -> None:
        """Nothing passes from a to b for a while, nor back where both."""
        for pair in ((a, b), (b, a)) if both else ((a, b),):
            self.cuts[pair] = max(self.cuts.get(pair, 0.0), self.clock.now + for_s)

    def open(self, a: str, b: str) -> bool:
        """Whether something sent now would arrive."""
        return self.cuts.get((a, b), 0.0) <= self.clock.now

    def reset(self, a: str, b: str) -> None:
        """The connection from a to b is reset: what is under way on it is lost."""
        self._connections[a, b] = self._connections.get((a, b), 0) + 1

    def send(self, sender: str, to: str, message: AnyMessage) -> None:
        """Send a message; one that a cut meets hangs, and comes late or never."""
        data = encode(message)
        self.sent_bytes += len(data)
        due = self._due(sender, to)
        if due is None:
            return
        sent_at = self.clock.now
        life = self.lives.get(to, 0)
        connection = self._connections.get((sender, to), 0)

        def arrive() -> None:
            if self.lives.get(to, 0) == life and self._connections.get((sender, to), 0) == connection:
                self.sent_at = sent_at
                self.deliver(to, sender, decode(data))

        self.clock.at(due, arrive)

    def _due(self, sender: str, to: str) -> float | None:
        """When a message that is sent now arrives; None for never."""
        due = self.clock.now + self.delay(sender, to) * (0.8 + 0.6 * self.rng.random())
        until = self.cuts.get((sender, to), 0.0)
        if until > self.clock.now:
            if until - self.clock.now > HANGS_S or self.rng.random() < 0.5:
                return None
            due = until + self.delay(sender, to)
        due = max(due, self._last.get((sender, to), 0.0))
        self._last[sender, to] = due
        return due
