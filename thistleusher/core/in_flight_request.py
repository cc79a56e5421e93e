"""A request that is owed one final answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thistleusher.core import events
from thistleusher.core.ports import AttemptPort, Final, Timer
from thistleusher.core.settings import ClassSettings, Effect, Group


class InFlightRequest:
    """A request from `Driver.accept` to its end. `context` is the caller's own; `deadline` on the scheduler's clock."""

    __slots__ = (
        "request",
        "on_final",
        "context",
        "deadline",
        "timer",
        "attempts",
        "attempt",
        "answered",
        "may_have_run",
        "over",
    )

    def __init__(
        self, request: events.Request, on_final: Callable[[Final], None], context: Any, deadline: float
    ) -> None:
        self.request = request
        self.on_final = on_final
        self.context = context
        self.deadline = deadline
        self.timer: Timer | None = None  # rings at the deadline
        self.attempts = 0
        self.attempt: AttemptPort | None = None  # the one that is out
        self.answered = False
        self.may_have_run = False
        self.over = False  # its time is up: no attempt is started any more, whatever the module makes of the last one

    def may_refuse(self, cls: ClassSettings) -> bool:
        """Return whether it may be refused, which says that a retry is harmless: nothing ran, or repeats are safe."""
        if not self.may_have_run and (self.attempt is None or not self.attempt.written):
            return True
        return cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)

    def cancel_unwritten(self) -> None:
        """End the attempt unless it is written: no cancel stops a backend's work, which goes on counting as load."""
        if self.attempt is not None and not self.attempt.written:
            self.attempt.cancel()
