"""State shared by all modules of a control node: its identity, the time of the current input, and pending outputs."""

from __future__ import annotations

import random
from collections.abc import Iterable

from thistleusher.common.events import Event
from thistleusher.control.interface import Answer, LogEvent, Output, Send
from thistleusher.transport.messages import AnyMessage


class Context:
    """One node's identity, clock and outputs. `now` is the time of the current input and never decreases."""

    def __init__(
        self, me: str, zone: str, seeds: Iterable[str], now: float, rng: random.Random, tolerance: int
    ) -> None:
        """Create the context. `tolerance` is the number of machines that may be lost at once, from the settings."""
        self.me = me
        self.zone = zone
        self.rng = rng
        self.tolerance = tolerance
        self.started_at = now
        self.now = now
        self.seeds = set(seeds)
        self.known_machines: set[str] = set()  # machines of the core that have sent a message or were named by a view
        self._outputs: list[Output] = []

    def set_time(self, now: float) -> None:
        """Set the time of the current input, in seconds of the steady clock."""
        self.now = max(self.now, now)

    def emit(self, output: Output) -> None:
        """Add an output."""
        self._outputs.append(output)

    def send(self, destination: str, message: AnyMessage) -> None:
        """Send a message to the control process on a machine."""
        self.emit(Send(destination, message))

    def answer(self, call_id: int, answer: object) -> None:
        """Answer a call. Each call is answered exactly once."""
        self.emit(Answer(call_id, answer))

    def log(self, event: Event, *fields: object) -> None:
        """Log an event."""
        self.emit(LogEvent(event, fields))

    def flush(self) -> list[Output]:
        """Return the outputs since the last flush, in order."""
        outputs = self._outputs
        self._outputs = []
        return outputs
