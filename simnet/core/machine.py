"""A simulated core machine: a disk, a steady clock of its own, and a process while it runs."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from simnet.disk import Disk
from thistleusher.control.interface import ServiceOutput
from thistleusher.transport.state_updates import State

if TYPE_CHECKING:
    from thistleusher.control.node import ControlNode
    from thistleusher.control.service import ControlService

CLOCK_DRIFT = 0.01  # by which a steady clock runs fast or slow at most
SLOW_INPUT_S = 0.012  # that a slowed machine takes for one input

Feed = Callable[["ControlService", float], list[ServiceOutput]]


class SteadyClock:
    """A clock that began at some time of its own, and runs a little fast or slow."""

    def __init__(self, rng: random.Random) -> None:
        self._offset = rng.random() * 1e5
        self._rate = 1.0 + CLOCK_DRIFT * (2 * rng.random() - 1)

    def time(self, now: float) -> float:
        """What it shows."""
        return self._offset + now * self._rate


class Machine:
    """One machine; `address` names it."""

    def __init__(self, address: str, zone: str, rng: random.Random) -> None:
        self.address, self.zone = address, zone
        self.disk = Disk(rng)
        self.service: ControlService | None = None
        self.life = 0  # which life of its process this is
        self.gone = False  # for good
        self.dark = False  # without power: silent, where a dead process refuses connections
        self.terminating = False  # told to end, and not ended yet
        self.frozen_until = 0.0
        self.slow_until = 0.0
        self.busy_until = 0.0
        self.inbox: deque[Feed] = deque()  # what came and is not worked off
        self.heard: dict[str, float] = {}  # when what it heard last from each other machine was sent
        self.clock = SteadyClock(rng)
        self.published: State | None = None  # what it told to be in force last, and that state's number
        self.published_number = -1

    @property
    def node(self) -> ControlNode | None:
        """The control node, while its process runs."""
        return self.service.node if self.service is not None else None

    def time(self, now: float) -> float:
        """Its own steady clock."""
        return self.clock.time(now)

    def ready_at(self) -> float:
        """From when on its process takes the next input."""
        return max(self.frozen_until, self.busy_until)

    def work(self, now: float) -> None:
        """It takes an input."""
        if now < self.slow_until:
            self.busy_until = now + SLOW_INPUT_S

    def holds(self, now: float) -> bool:
        """Whether it is the leader and its lease stands, frozen or not."""
        return self.node is not None and self.node.leadership is not None and self.node.holds_lease(self.time(now))
