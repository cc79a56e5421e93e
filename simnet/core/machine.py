"""A simulated machine of the core: a disk, a steady clock of its own, and a process while it runs."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from simnet.core.steady_clock import SteadyClock
from simnet.disk import Disk
from thistleusher.control.interface import ServiceOutput
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.transport.state_updates import State

SLOW_INPUT_S = 0.012  # that a slowed machine takes for one input

Input = Callable[[ControlService, float], list[ServiceOutput]]  # called with the service and the machine's time


class Machine:
    """One machine; `address` names it."""

    def __init__(self, address: str, zone: str, rng: random.Random) -> None:
        self.address = address
        self.zone = zone
        self.disk = Disk(rng)
        self.service: ControlService | None = None
        self.incarnation = 0  # of its process; grows with every start and every end
        self.gone = False  # for good
        self.dark = False  # without power: silent, where the machine of a dead process refuses connections
        self.terminating = False  # SIGTERM was sent, and the process has not ended yet
        self.frozen_until = 0.0
        self.slow_until = 0.0
        self.busy_until = 0.0
        self.inbox: deque[Input] = deque()  # what has come and is not processed
        self.last_heard: dict[str, float] = {}  # other machine -> when the newest message processed was sent
        self.clock = SteadyClock(rng)
        self.published: State | None = None  # what it has published last
        self.published_number = -1

    @property
    def node(self) -> ControlNode | None:
        """The control node, while its process runs."""
        return self.service.node if self.service is not None else None

    def time(self, now: float) -> float:
        """Return what its own steady clock shows at a virtual time."""
        return self.clock.time(now)

    def ready_at(self) -> float:
        """Return the time from which on its process takes the next input."""
        return max(self.frozen_until, self.busy_until)

    def begin_input(self, now: float) -> None:
        """Take an input; a slowed machine is busy with it."""
        if now < self.slow_until:
            self.busy_until = now + SLOW_INPUT_S

    def begin_incarnation(self) -> None:
        """Forget what the process that has ended had not processed."""
        self.incarnation += 1
        self.inbox.clear()
        self.last_heard.clear()
        self.busy_until = 0.0

    def holds_lease(self, now: float) -> bool:
        """Return whether it is the leader and its lease stands, frozen or not."""
        node = self.node
        return node is not None and node.leadership is not None and node.holds_lease(self.time(now))
