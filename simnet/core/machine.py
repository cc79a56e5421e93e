"""A simulated machine of the core: a disk, a steady clock, and a process."""

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

SLOW_INPUT_S = 0.012  # time in which a slow machine processes one input

Input = Callable[[ControlService, float], list[ServiceOutput]]  # arguments: the service and the machine's time


class Machine:
    """One machine, identified by `address`."""

    def __init__(self, address: str, zone: str, rng: random.Random) -> None:
        self.address = address
        self.zone = zone
        self.disk = Disk(rng)
        self.service: ControlService | None = None
        self.starting = False  # its process writes the founder's record; there is no node yet
        self.incarnation = 0  # incremented at every start and every end of its process
        self.removed = False  # removed, or terminated in order to be removed
        # A machine without power does not answer; one whose process has ended refuses connections.
        self.powered_off = False
        self.terminating = False  # SIGTERM was sent and the process still runs
        self.frozen_until = 0.0
        self.slow_until = 0.0
        self.busy_until = 0.0  # when the input in progress is completed
        self.inbox: deque[Input] = deque()  # inputs that are not processed yet
        self.last_heard: dict[str, float] = {}  # other machine -> time at which its newest processed message was sent
        self.clock = SteadyClock(rng)
        self.published: State | None = None  # state that its process published last
        self.published_number = -1

    @property
    def node(self) -> ControlNode | None:
        """The control node, or None if the process does not run."""
        return self.service.node if self.service is not None else None

    def time(self, now: float) -> float:
        """Return the reading of the steady clock at the virtual time `now`."""
        return self.clock.time(now)

    def ready_at(self) -> float:
        """Return the time from which the process can accept its next input."""
        return max(self.frozen_until, self.busy_until)

    def begin_input(self, now: float) -> None:
        """Begin an input; a slow machine is then busy for `SLOW_INPUT_S`."""
        if now < self.slow_until:
            self.busy_until = now + SLOW_INPUT_S

    def begin_incarnation(self) -> None:
        """Begin a new incarnation, and discard the inputs of the previous one."""
        self.incarnation += 1
        self.inbox.clear()
        self.last_heard.clear()
        self.busy_until = 0.0

    def holds_lease(self, now: float) -> bool:
        """Return whether it is the leader with a valid lease, even if it is frozen."""
        node = self.node
        return node is not None and node.leadership is not None and node.holds_lease(self.time(now))
