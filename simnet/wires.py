"""Held connections between simulated machines: in order, or ended; cuts in one direction; bytes that hang and come
late."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from typing import Any

from simnet.clock import Clock

HANGS_S = 1.5  # for which what a cut holds up may still arrive


class Wires:
    """All links; `deliver(to, sender, table)` hands a message over."""

    def __init__(self, clock: Clock, rng: random.Random, deliver: Callable[[str, str, dict[str, Any]], None],
                 delay: Callable[[str, str], float]) -> None:
        self.clock, self.rng, self.deliver, self.delay = clock, rng, deliver, delay
        self.cuts: dict[tuple[str, str], float] = {}  # until when
        self.last: dict[tuple[str, str], float] = {}
        self.lives: dict[str, int] = {}  # a machine's lives: what was sent to an earlier one is lost

    def cut(self, a: str, b: str, for_s: float, both: bool = True) -> None:
        """Nothing passes from a to b for a while, nor back where both."""
        for pair in ((a, b), (b, a)) if both else ((a, b),):
            self.cuts[pair] = max(self.cuts.get(pair, 0.0), self.clock.now + for_s)

    def open(self, a: str, b: str) -> bool:
        """Whether something sent now would arrive."""
        return self.cuts.get((a, b), 0.0) <= self.clock.now

    def send(self, sender: str, to: str, table: dict[str, Any]) -> None:
        """Send a message; one that a cut meets hangs, and comes late or never."""
        table = copy.deepcopy(table)
        life = self.lives.get(to, 0)
        due = self.clock.now + self.delay(sender, to) * (0.8 + 0.6 * self.rng.random())
        until = self.cuts.get((sender, to), 0.0)
        if until > self.clock.now:
            if until - self.clock.now > HANGS_S or self.rng.random() < 0.5:
                return
            due = until + self.delay(sender, to)
        due = max(due, self.last.get((sender, to), 0.0))
        self.last[sender, to] = due

        def arrive() -> None:
            if self.lives.get(to, 0) == life:
                self.deliver(to, sender, table)
        self.clock.at(due, arrive)
