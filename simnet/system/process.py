"""The base class of simulated processes, and a scheduler that binds callbacks to one incarnation of a process."""

from __future__ import annotations

from collections.abc import Callable

from simnet.clock import Clock
from thistleusher.transport.messages import AnyMessage


class Process:
    """One process on a machine. `incarnation` is incremented at every start and at every end."""

    def __init__(self, kind: str, machine: str) -> None:
        self.kind = kind
        self.machine = machine
        self.name = f"{kind}@{machine}"
        self.incarnation = 0
        self.running = False
        self.connections: dict[str, int] = {}  # connections that this process opened: listener -> connection number
        self.frozen_until = 0.0  # until this time all inputs are deferred; then they are processed in order

    @property
    def client_name(self) -> str:
        """The name under which listeners register this process's connections."""
        return self.machine

    def begin(self) -> None:
        """Initialize the state of a new incarnation."""

    def tick(self) -> None:
        """Process the timeouts that are due."""

    def connected(self, listener: str) -> None:
        """Handle the establishment of a connection that this process opened."""

    def receive(self, client: str, message: AnyMessage) -> None:
        """Handle a message on a connection that another process, `client`, opened."""

    def receive_reply(self, listener: str, message: AnyMessage) -> None:
        """Handle a message on a connection that this process opened."""

    def receive_datagram(self, sender: str, message: AnyMessage) -> None:
        """Handle a datagram from another machine."""

    def disconnected(self, client: str) -> None:
        """Handle the end of a connection that another process, `client`, opened."""


class ProcessScheduler:
    """Runs callbacks in processes.

    A callback never runs in a later incarnation than the one that scheduled it, nor while the process is frozen.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def run(self, process: Process, callback: Callable[[], None]) -> None:
        """Run `callback` now or, if the process is frozen, when the freeze ends."""
        incarnation = process.incarnation

        def attempt() -> None:
            if not process.running or process.incarnation != incarnation:
                return
            if process.frozen_until > self._clock.now:
                self._clock.at(process.frozen_until, attempt)  # deferred callbacks keep their order
            else:
                callback()

        attempt()

    def later(self, process: Process, delay_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` in the process after `delay_s` seconds."""
        incarnation = process.incarnation

        def due() -> None:
            if process.incarnation == incarnation:
                self.run(process, callback)

        self._clock.later(delay_s, due)
