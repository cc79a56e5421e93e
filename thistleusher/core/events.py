"""Events that the driver passes to the decision module, which returns `core.actions`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Union


class Outcome(Enum):
    """Outcome of an attempt, a probe or a counter call."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class Phase(Enum):
    """A backend's state in the endpoint list."""

    RUNNING = "running"
    STOPPING = "stopping"
    DELETED = "deleted"


class ListKind(Enum):
    """Content of an endpoint list message."""

    CHANGE = "change"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class BackendEntry(NamedTuple):
    """One entry of the endpoint list. `born`: Unix time of the backend process's start, 0 if unknown."""

    backend: str
    phase: Phase
    weight: float = 1.0
    kind: str = ""
    cell: int = 0
    born: float = 0.0
    zone: str = ""


class ListUpdate(NamedTuple):
    """The endpoint list, or a change to it."""

    kind: ListKind
    version: int
    entries: tuple[BackendEntry, ...] = ()


class Request(NamedTuple):
    """A client's request, which must get exactly one final answer.

    `expires_in` is in seconds. `first` and `width` are the customer's ingress set.
    """

    id: str
    class_name: str
    plan: str
    customer: int
    expires_in: float
    units: float
    width: int = 1
    first: int = 0
    is_repeat: bool = False
    is_write: bool = False


class AttemptStarted(NamedTuple):
    """A streamed answer has started."""

    request: str
    attempt: int
    backend: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt. `done`: the request has its final answer."""

    request: str
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    done: bool
    metered: int = 0
    true_units: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


class ClientGone(NamedTuple):
    """The client has disconnected and gets no answer."""

    request: str


class TimerFired(NamedTuple):
    """A timer that the decision module has set has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    backend: str
    outcome: Outcome
    elapsed: float
    load: Mapping[str, float] = field(default_factory=dict)


class PeerMessage(NamedTuple):
    """A message from another ingress."""

    sender: int
    payload: bytes


class CounterReply(NamedTuple):
    """The answer to one counter call. `total` is valid only with OK. ERROR: added, but the total is unknown."""

    name: int
    outcome: Outcome
    elapsed: float
    total: float


class Leaving(NamedTuple):
    """This ingress shuts down in order: it accepts no more requests and has none in flight."""


Event = Union[
    Leaving,
    ListUpdate,
    Request,
    AttemptStarted,
    AttemptEnded,
    ClientGone,
    TimerFired,
    ProbeEnded,
    PeerMessage,
    CounterReply,
]
