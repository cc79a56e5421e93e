"""A request from its acceptance by the driver to its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thistleusher.core import events
from thistleusher.core.ports import AttemptPort, Final, Timer
from thistleusher.core.settings import ClassSettings, Effect, Group


class InFlightRequest:
    """A request from `Driver.accept` to its end. `context` is opaque caller data; `deadline` is scheduler time."""

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
        "deadline_passed",
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
        self.request_class = request_class  # class at arrival; later changes do not apply
        self.on_final = on_final
        self.context = context
        self.deadline = deadline
        self.timer: Timer | None = None  # fires at the deadline
        self.attempts = 0
        self.attempt: AttemptPort | None = None  # the outstanding attempt
        self.answered = False
        self.may_have_run = False
        self.deadline_passed = False  # its deadline has passed, so the driver starts no further attempt of the module

    def may_refuse(self) -> bool:
        """Return whether the request may be refused, i.e. a retry is harmless: nothing ran, or it is idempotent."""
        if not self.may_have_run and (self.attempt is None or not self.attempt.may_have_run):
            return True
        effect = self.request_class.effect
        return effect is Effect.SAFE or (effect is Effect.KEYED and self.request_class.group is Group.ALL)

    def abandon_attempt(self, cancel_stops_work: bool) -> None:
        """End an attempt that no client waits for, unless that has no effect or may do harm.

        An attempt that may have started continues in two cases. If cancellation does not stop the work, the attempt
        still counts as load until it ends. If its class is not SAFE, an aborted attempt (such as a payment) would
        leave its client uncertain about the outcome for good.
        """
        if self.attempt is None:
            return
        if not self.attempt.may_have_run or (cancel_stops_work and self.request_class.effect is Effect.SAFE):
            self.attempt.abandon()
