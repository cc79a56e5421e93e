"""What all parts of a control node share: who this machine is, what time it is, and what goes out."""

from __future__ import annotations

import random
from collections.abc import Iterable

from thistleusher.common.events import Event
from thistleusher.control.interface import Answer, LogEvent, Output, Send
from thistleusher.transport.messages import AnyMessage


class Context:
    """One node's. `now` is the time of the present input, and never falls."""

    def __init__(
        self, me: str, zone: str, seeds: Iterable[str], now: float, rng: random.Random, tolerance: int
    ) -> None:
        """`tolerance`: machines that may be lost at once, as the settings say."""
        self.me, self.zone, self.rng, self.tolerance = me, zone, rng, tolerance
        self.started = now
        self.now = now
        self.seeds = set(seeds)
        self.known: set[str] = set()  # machines of the core that anything came from or that a view named
        self._out: list[Output] = []

    def advance(self, now: float) -> None:
        """An input has come."""
        self.now = max(self.now, now)

    def emit(self, output: Output) -> None:
        """Something goes out."""
        self._out.append(output)

    def send(self, to: str, message: AnyMessage) -> None:
        """A message goes to the control process on a machine."""
        self.emit(Send(to, message))

    def answer(self, call: int, answer: object) -> None:
        """A call has its one answer."""
        self.emit(Answer(call, answer))

    def note(self, event: Event, *fields: object) -> None:
        """An event for the log."""
        self.emit(LogEvent(event, fields))

    def flush(self) -> list[Output]:
        """What has gone out since the last flush."""
        out, self._out = self._out, []
        return out
