"""A simulated process, and callbacks that reach it only in the incarnation that asked for them."""

from __future__ import annotations

from collections.abc import Callable

from simnet.clock import Clock
from thistleusher.transport.messages import AnyMessage


class Process:
    """One process on a machine. `incarnation` grows with every start and every end."""

    def __init__(self, kind: str, machine: str) -> None:
        self.kind = kind
        self.machine = machine
        self.name = f"{kind}@{machine}"
        self.incarnation = 0
        self.running = False
        self.connections: dict[str, int] = {}  # that it has opened: listener -> number of the connection
        self.frozen_until = 0.0  # it stands still, and then takes what came meanwhile, in order

    @property
    def client_name(self) -> str:
        """The name by which listeners know this process."""
        return self.machine

    def begin(self) -> None:
        """Begin a new incarnation."""

    def tick(self) -> None:
        """Let the process see that time has passed."""

    def connected(self, listener: str) -> None:
        """Take note that a connection that this process opened stands."""

    def receive(self, client: str, message: AnyMessage) -> None:
        """Take a message on a connection that another process opened; `client` is its name."""

    def receive_reply(self, listener: str, message: AnyMessage) -> None:
        """Take a message on a connection that this process opened."""

    def receive_datagram(self, sender: str, message: AnyMessage) -> None:
        """Take a datagram of another machine."""

    def disconnected(self, client: str) -> None:
        """Take note that a connection that another process opened has ended."""


class ProcessScheduler:
    """Runs callbacks in processes: never in a later incarnation, and not while a process is frozen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def run(self, process: Process, callback: Callable[[], None]) -> None:
        """Call back now, or as soon as a frozen process goes on."""
        incarnation = process.incarnation

        def attempt() -> None:
            if not process.running or process.incarnation != incarnation:
                return
            if process.frozen_until > self._clock.now:
                self._clock.at(process.frozen_until, attempt)  # what waits keeps its order
            else:
                callback()

        attempt()

    def later(self, process: Process, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a while."""
        incarnation = process.incarnation

        def due() -> None:
            if process.incarnation == incarnation:
                self.run(process, callback)

        self._clock.later(delay_s, due)
