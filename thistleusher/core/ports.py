"""What the driver asks of its surroundings, as protocols, and the records in which it answers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from thistleusher.core.actions import Action
from thistleusher.core.events import Event, Outcome


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> object:
        """Have it not called any more."""


class Scheduler(Protocol):
    """Delays, in seconds on a clock that never goes back; an asyncio event loop is one."""

    def time(self) -> float:
        """Return the time on that clock."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call back after a delay."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call back at a time of that clock."""


class Decisions(Protocol):
    """The decision module. `now` is Unix time in seconds and never goes back."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event, and return the actions it calls for."""


class CounterPort(Protocol):
    """The counter service: each call brings about one `CounterReply`, those on one name in their order."""

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add to a count; a new one expires after `lifetime` seconds."""


class PeerPort(Protocol):
    """Messages to other ingresses; they may be lost."""

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one peer, or to all (None)."""


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    OVER_QUOTA = "over_quota"  # refused: trying again is harmless, and has a chance after `retry_in`
    NO_ROOM = "no_room"  # refused: trying again is harmless
    FAILED = "failed"  # nothing is promised
    FAULT = "fault"  # a fault of the program
    INVALID = "invalid"  # no request that could be decided on; nothing was charged


class Final(tuple[Verdict, float, Any]):
    """One final answer: the verdict, seconds after which to try again (0: unknown), a backend's answer."""

    __slots__ = ()

    def __new__(cls, verdict: Verdict, retry_in: float = 0.0, payload: Any = None) -> Final:
        """Return an answer; `payload` is the backend's, where it was served."""
        return super().__new__(cls, (verdict, retry_in, payload))

    @property
    def verdict(self) -> Verdict:
        """What was decided."""
        return self[0]

    @property
    def retry_in(self) -> float:
        """Seconds after which to try again; 0: unknown."""
        return self[1]

    @property
    def payload(self) -> Any:
        """A backend's answer."""
        return self[2]


@dataclass(slots=True)
class Ended:
    """How an attempt ended. `elapsed` None: since the attempt was started, by the driver's clock."""

    outcome: Outcome
    payload: Any = None
    true_units: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    elapsed: float | None = None


class AttemptPort(Protocol):
    """One attempt at a backend; it reports its end once, maybe before `start` returns."""

    @property
    def written(self) -> bool:
        """True from when the last byte is handed over: from then on the request may have run."""

    def start(self, timeout: float) -> None:
        """Send the request, and wait for the answer for at most `timeout` seconds."""

    def expire(self) -> None:
        """End as timed out: the client's time is up."""

    def cancel(self) -> None:
        """End as cancelled, or as moot where nothing was written: the backend does not answer."""

    def abandon(self) -> None:
        """End as `cancel` does, but because nobody waits for the answer: nothing is inferred about the backend."""


class BackendPort(Protocol):
    """Where attempts go."""

    def prepare(self, in_flight: Any, backend: str, on_end: Callable[[Ended], None]) -> AttemptPort:
        """Return an attempt of an `InFlightRequest` that is yet to be started."""

    def probe(self, backend: str) -> None:
        """Check a backend's health."""

    def close_idle(self, backend: str) -> None:
        """Close idle connections to a backend."""
