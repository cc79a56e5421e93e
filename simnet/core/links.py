"""Connections between simulated machines.

Messages arrive in order until the connection is reset. Partitions affect one direction or both, and delay messages or
lose them. Each message is encoded and decoded by the codec, as on a real connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from simnet.clock import Clock
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import AnyMessage

MAX_PARTITION_DELAY_S = 1.5  # a message is lost if the partition it meets lasts longer than this
LOST_SHARE = 0.5  # fraction of messages that a shorter partition loses; the others arrive after it
MIN_DELAY_FACTOR, DELAY_FACTOR_SPREAD = 0.8, 0.6  # minimum delay and range above it, as factors on the usual delay

Deliver = Callable[[str, str, AnyMessage], None]
Delay = Callable[[str, str], float]


class Links:
    """All connections.

    `deliver(to, sender, message)` receives each message. `delay(a, b)` returns the usual one-way delay in seconds.
    """

    def __init__(self, clock: Clock, rng: random.Random, deliver: Deliver, delay: Delay) -> None:
        self.partitions: dict[tuple[str, str], float] = {}  # (sender, receiver) -> end of the partition
        self.incarnations: dict[str, int] = {}  # name -> current incarnation; messages to earlier ones are lost
        self.sent_at = 0.0  # time at which the message that is being delivered was sent
        self.sent_bytes = 0
        self._clock = clock
        self._rng = rng
        self._deliver = deliver
        self._delay = delay
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._resets: dict[tuple[str, str], int] = {}  # (sender, receiver) -> number of resets

    def partition(self, a: str, b: str, duration_s: float, both: bool = True) -> None:
        """Block messages from a to b for `duration_s` seconds, and from b to a too if `both` is set."""
        for pair in ((a, b), (b, a)) if both else ((a, b),):
            self.partitions[pair] = max(self.partitions.get(pair, 0.0), self._clock.now + duration_s)

    def is_open(self, a: str, b: str) -> bool:
        """Return whether no partition blocks messages from a to b now."""
        return self.partitions.get((a, b), 0.0) <= self._clock.now

    def reset(self, a: str, b: str) -> None:
        """Reset the connection from a to b: messages in flight on it are lost."""
        self._resets[a, b] = self._resets.get((a, b), 0) + 1

    def send(self, sender: str, to: str, message: AnyMessage) -> None:
        """Send a message; a partition delays it or loses it."""
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
        """Return when a message that is sent now arrives, or None if it is lost."""
        now = self._clock.now
        due = now + self._delay(sender, to) * (MIN_DELAY_FACTOR + DELAY_FACTOR_SPREAD * self._rng.random())
        until = self.partitions.get((sender, to), 0.0)
        if until > now:
            if until - now > MAX_PARTITION_DELAY_S or self._rng.random() < LOST_SHARE:
                return None
            due = until + self._delay(sender, to)
        due = max(due, self._last_arrival.get((sender, to), 0.0))
        self._last_arrival[sender, to] = due
        return due
