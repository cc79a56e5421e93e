"""Protocols that the driver's environment implements, and the driver's result records."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from thistleusher.core.actions import Action
from thistleusher.core.events import Event, Outcome


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> object:
        """Cancel the call."""


class Scheduler(Protocol):
    """Schedules calls on a monotonic clock in seconds; an asyncio event loop implements it."""

    def time(self) -> float:
        """Return the clock's time."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Schedule a call after a delay."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Schedule a call at a time of the clock."""


class Decisions(Protocol):
    """The decision module. `now` is Unix time in seconds and never decreases."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""


class CounterPort(Protocol):
    """The counter service. Each call results in one `CounterReply`; replies on one name keep the order of calls."""

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a count. A new count expires after `lifetime` seconds."""


class PeerPort(Protocol):
    """Messages to other ingresses, which may be lost."""

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one peer, or to all peers (None)."""


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    OVER_QUOTA = "over_quota"  # refused; a retry is harmless and may succeed after `retry_in`
    NO_ROOM = "no_room"  # refused; a retry is harmless
    FAILED = "failed"  # failed; the request may or may not have run
    FAULT = "fault"  # an internal error of the program
    INVALID = "invalid"  # an invalid request; nothing was charged


class Final(tuple[Verdict, float, Any]):
    """One final answer: the verdict, seconds until a retry may succeed (0: unknown), and a backend's answer."""

    __slots__ = ()

    def __new__(cls, verdict: Verdict, retry_in: float = 0.0, payload: Any = None) -> Final:
        """Return an answer; `payload` is the backend's answer if the request was served."""
        return super().__new__(cls, (verdict, retry_in, payload))

    @property
    def verdict(self) -> Verdict:
        """The verdict."""
        return self[0]

    @property
    def retry_in(self) -> float:
        """Seconds until a retry may succeed; 0: unknown."""
        return self[1]

    @property
    def payload(self) -> Any:
        """The backend's answer, or None."""
        return self[2]


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt. `elapsed` None: the driver measures the time since the attempt's start."""

    outcome: Outcome
    payload: Any = None
    true_units: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    elapsed: float | None = None


class AttemptPort(Protocol):
    """One attempt at a backend. It reports its end exactly once, possibly before `start` returns."""

    @property
    def may_have_run(self) -> bool:
        """Whether so much of the request was handed over that its backend may have begun to run it."""

    def start(self, timeout: float) -> None:
        """Send the request and wait at most `timeout` seconds for the answer."""

    def expire(self) -> None:
        """End as timed out, at the request's deadline."""

    def cancel(self) -> None:
        """End as CANCELLED, or as MOOT if it cannot have run, because the backend does not answer."""

    def abandon(self) -> None:
        """End like `cancel`, but because no client waits. Nothing is inferred about the backend."""


class BackendPort(Protocol):
    """Access to the backends."""

    def prepare(self, in_flight: Any, backend: str, on_end: Callable[[AttemptResult], None]) -> AttemptPort:
        """Return an attempt of an `InFlightRequest` without starting it."""

    def probe(self, backend: str) -> None:
        """Check a backend's health."""

    def close_idle(self, backend: str) -> None:
        """Close idle connections to a backend."""
