"""What the driver asks of its surroundings, as protocols, and the words in which it answers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from thistleusher.core.actions import Action
from thistleusher.core.events import Event, Outcome


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> object: ...


class Scheduler(Protocol):
    """Delays, in seconds on a clock that never goes back; an asyncio event loop is one."""

    def time(self) -> float: ...

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer: ...

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Timer: ...


class Decisions(Protocol):
    """The decision module. `now` is Unix time in seconds and never goes back."""

    def handle(self, now: float, event: Event) -> list[Action]: ...


class CounterPort(Protocol):
    """The counter service: each call brings about one `CounterReply`, those on one name in their order."""

    def add(self, name: int, amount: float, lifetime: float) -> None: ...


class PeerPort(Protocol):
    """Messages to other ingresses; they may be lost."""

    def send(self, peer: int | None, payload: bytes) -> None: ...


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
        return super().__new__(cls, (verdict, retry_in, payload))

    @property
    def verdict(self) -> Verdict:
        return self[0]

    @property
    def retry_in(self) -> float:
        return self[1]

    @property
    def payload(self) -> Any:
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
    """One attempt at a backend; it tells its end once, maybe before `start` returns.

    `written` turns true as the last byte is handed over: from then on the request may have run.
    """

    @property
    def written(self) -> bool: ...

    def start(self, timeout: float) -> None: ...

    def expire(self) -> None: ...

    def cancel(self) -> None: ...


class BackendPort(Protocol):
    """Where attempts go."""

    def prepare(self, held: Any, backend: str, on_end: Callable[[Ended], None]) -> AttemptPort: ...

    def probe(self, backend: str) -> None: ...

    def close_idle(self, backend: str) -> None: ...
