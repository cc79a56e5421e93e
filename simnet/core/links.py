"""Connections between simulated machines: in order or ended, with partitions in one direction and late messages.

Each message passes through the codec, as it does on a real connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from simnet.clock import Clock
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import AnyMessage

HANG_S = 1.5  # of a partition, after which what it has held up is lost
LATE_SHARE = 0.5  # of the messages held up by a shorter partition, that arrive after it
LEAST_DELAY, DELAY_SPREAD = 0.8, 0.6  # times the usual delay

Deliver = Callable[[str, str, AnyMessage], None]
Delay = Callable[[str, str], float]


class Links:
    """All connections. `deliver(to, sender, message)` takes what arrives; `delay(a, b)` is the usual one in seconds."""

    def __init__(self, clock: Clock, rng: random.Random, deliver: Deliver, delay: Delay) -> None:
        self.partitions: dict[tuple[str, str], float] = {}  # (sender, receiver) -> until when
        self.incarnations: dict[str, int] = {}  # what was sent to an earlier incarnation is lost
        self.sent_at = 0.0  # when the message that is being delivered was sent
        self.sent_bytes = 0
        self._clock = clock
        self._rng = rng
        self._deliver = deliver
        self._delay = delay
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._resets: dict[tuple[str, str], int] = {}  # how often each connection was reset

    def partition(self, a: str, b: str, duration_s: float, both: bool = True) -> None:
        """Let nothing pass from a to b for a while, nor back where `both`."""
        for pair in ((a, b), (b, a)) if both else ((a, b),):
            self.partitions[pair] = max(self.partitions.get(pair, 0.0), self._clock.now + duration_s)

    def is_open(self, a: str, b: str) -> bool:
        """Return whether something sent now would arrive."""
        return self.partitions.get((a, b), 0.0) <= self._clock.now

    def reset(self, a: str, b: str) -> None:
        """Reset the connection from a to b: what is in flight on it is lost."""
        self._resets[a, b] = self._resets.get((a, b), 0) + 1

    def send(self, sender: str, to: str, message: AnyMessage) -> None:
        """Send a message; one that meets a partition hangs, and comes late or never."""
        data = encode(message)
        self.sent_bytes += len(data)
        due = self._arrival(sender, to)
        if due is None:
            return
        sent_at = self._clock.now
        incarnation = self.incarnations.get(to, 0)
        resets = self._resets.get((sender, to), 0)

        def arrive() -> None:
            same_process = self.incarnations.get(to, 0) == incarnation
            if same_process and self._resets.get((sender, to), 0) == resets:
                self.sent_at = sent_at
                self._deliver(to, sender, decode(data))

        self._clock.at(due, arrive)

    def _arrival(self, sender: str, to: str) -> float | None:
        """Return when a message that is sent now arrives; None for never."""
        now = self._clock.now
        due = now + self._delay(sender, to) * (LEAST_DELAY + DELAY_SPREAD * self._rng.random())
        until = self.partitions.get((sender, to), 0.0)
        if until > now:
            if until - now > HANG_S or self._rng.random() < LATE_SHARE:
                return None
            due = until + self._delay(sender, to)
        due = max(due, self._last_arrival.get((sender, to), 0.0))
        self._last_arrival[sender, to] = due
        return due
