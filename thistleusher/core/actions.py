"""Actions that the decision module returns and the driver carries out."""

from __future__ import annotations

from typing import NamedTuple, Union


class Attempt(NamedTuple):
    """Send the request to a backend. `timeout` None means until the request's deadline."""

    request: str
    backend: str
    timeout: float | None = None


class CancelAttempt(NamedTuple):
    """Cancel an outstanding attempt; `attempt` is its number."""

    request: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: refused. A retry is harmless, and may succeed after `retry_in` seconds."""

    request: str
    retry_in: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed. The request may or may not have run."""

    request: str


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` event with this token after `delay` seconds."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Check a backend's health."""

    backend: str


class CloseIdle(NamedTuple):
    """Close idle connections to a backend."""

    backend: str


class SendToPeer(NamedTuple):
    """Send a datagram to one peer, or to all peers (None)."""

    peer: int | None
    payload: bytes


class CounterAdd(NamedTuple):
    """Add to a named count. A new count expires after `lifetime` seconds."""

    name: int
    amount: float
    lifetime: float


class Subscribe(NamedTuple):
    """Subscribe to the endpoint list, or unsubscribe from it."""

    on: bool


class FetchList(NamedTuple):
    """Fetch the complete endpoint list once."""


class Log(NamedTuple):
    """Write one log line for operators."""

    text: str


Action = Union[
    Attempt, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, SendToPeer, CounterAdd, Subscribe, FetchList, Log
]
