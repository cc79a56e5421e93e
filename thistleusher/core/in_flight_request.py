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
        "request_class",
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
        self,
        request: events.Request,
        request_class: ClassSettings,
        on_final: Callable[[Final], None],
        context: Any,
        deadline: float,
    ) -> None:
        self.request = request
        self.request_class = request_class  # as it was when the request came, whatever is configured since
        self.on_final = on_final
        self.context = context
        self.deadline = deadline
        self.timer: Timer | None = None  # rings at the deadline
        self.attempts = 0
        self.attempt: AttemptPort | None = None  # the one that is out
        self.answered = False
        self.may_have_run = False
        self.over = False  # its time is up: no attempt is started any more, whatever the module makes of the last one

    def may_refuse(self) -> bool:
        """Return whether it may be refused, which says that a retry is harmless: nothing ran, or repeats are safe."""
        if not self.may_have_run and (self.attempt is None or not self.attempt.written):
            return True
        effect = self.request_class.effect
        return effect is Effect.SAFE or (effect is Effect.KEYED and self.request_class.group is Group.ALL)

    def abandon_attempt(self, cancel_stops_work: bool) -> None:
        """End the attempt, as nobody waits for its answer, unless that does no good or may do harm.

        One that may have begun runs on where a cancel does not stop it, as it is load until it ends; and where its
        class may not be repeated, as a payment that is broken off midway leaves its client unsure for good.
        """
        if self.attempt is None:
            return
        if not self.attempt.written or (cancel_stops_work and self.request_class.effect is Effect.SAFE):
            self.attempt.abandon()
