"""A simulated core machine: a disk, a steady clock of its own, and a process while it runs."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from roadspur.control.interface import Output
from roadspur.transport.news import Publisher, State
from simnet.disk import Disk

if TYPE_CHECKING:
    from roadspur.control.node import ControlNode

CLOCK_DRIFT = 0.01  # by which a steady clock runs fast or slow at most
SLOW_INPUT_S = 0.012  # that a slowed machine takes for one input

Feed = Callable[["ControlNode", float], list[Output]]


class Machine:
    """One machine; `address` names it."""

    def __init__(self, address: str, zone: str, rng: random.Random) -> None:
        self.address, self.zone = address, zone
        self.disk = Disk(rng)
        self.node: ControlNode | None = None
        self.life = 0  # which life of its process this is
        self.gone = False  # for good
        self.dark = False  # without power: silent, where a dead process refuses connections
        self.terminating = False  # told to end, and not ended yet
        self.frozen_until = 0.0
        self.slow_until = 0.0
        self.busy_until = 0.0
        self.inbox: deque[Feed] = deque()  # what came and is not worked off
        self.heard: dict[str, float] = {}  # when what it heard last from each other machine was sent
        self.publisher = Publisher(State())
        self._offset = rng.random() * 1e5
        self._rate = 1.0 + CLOCK_DRIFT * (2 * rng.random() - 1)

    def time(self, now: float) -> float:
        """Its own steady clock: it began when the machine did, and runs a little fast or slow."""
        return self._offset + now * self._rate

    def ready_at(self) -> float:
        """From when on its process takes the next input."""
        return max(self.frozen_until, self.busy_until)

    def work(self, now: float) -> None:
        """It takes an input."""
        if now < self.slow_until:
            self.busy_until = now + SLOW_INPUT_S

    def holds(self, now: float) -> bool:
        """Whether it is the leader and its lease stands, frozen or not."""
        return self.node is not None and self.node.leadership is not None and self.node.holds(self.time(now))
