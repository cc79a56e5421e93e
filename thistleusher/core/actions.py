"""Actions: what the decision module wants done; the driver carries them out."""

from __future__ import annotations

from typing import NamedTuple, Union


class Attempt(NamedTuple):
    """Send the request to a backend; `timeout` None: until the client gives up."""

    request: str
    backend: str
    timeout: float | None = None


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: refused, a retry is harmless."""

    request: str
    retry_in: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed, nothing promised."""

    request: str


class SetTimer(NamedTuple):
    """Have a TimerFired with this token come after `delay` seconds."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Check a backend's health."""

    backend: str


class CloseIdle(NamedTuple):
    """Close idle connections to a backend."""

    backend: str


class SendToPeer(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer: int | None
    payload: bytes


class CounterAdd(NamedTuple):
    """Add to a named count; a new name expires after `lifetime` seconds."""

    name: int
    amount: float
    lifetime: float


class Subscribe(NamedTuple):
    """Follow the list of servers, or stop following it."""

    on: bool


class FetchList(NamedTuple):
    """Fetch the complete list of servers once."""


class Log(NamedTuple):
    """One line for the people on call."""

    text: str


Action = Union[
    Attempt, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, SendToPeer, CounterAdd, Subscribe, FetchList, Log
]
