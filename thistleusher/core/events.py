"""Events: what has happened, as the driver hands it to the decision module, which answers with `core.actions`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Union


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class Phase(Enum):
    """A backend's stage in the list of servers."""

    RUNNING = "running"
    STOPPING = "stopping"
    DELETED = "deleted"


class ListKind(Enum):
    """What a message of the list of servers holds."""

    CHANGE = "change"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class BackendEntry(NamedTuple):
    """One line of the list of servers. `born`: Unix time of its process's start, 0 where it is not known."""

    backend: str
    phase: Phase
    weight: float = 1.0
    kind: str = ""
    cell: int = 0
    born: float = 0.0
    zone: str = ""


class ListUpdate(NamedTuple):
    """The list of servers, or a change to it."""

    kind: ListKind
    version: int
    entries: tuple[BackendEntry, ...] = ()


class Request(NamedTuple):
    """A client's request; exactly one final answer is owed.

    `expires_in` in seconds; `first` and `width`: the ingresses that the customer's requests come through.
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
    """A streamed answer has begun."""

    request: str
    attempt: int
    backend: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended. `done`: the request has its final answer."""

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
    """The client left; nothing more is owed."""

    request: str


class TimerFired(NamedTuple):
    """A timer that this gateway has set rings."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    backend: str
    outcome: Outcome
    elapsed: float
    load: Mapping[str, float] = field(default_factory=dict)


class PeerMessage(NamedTuple):
    """A message from another instance."""

    sender: int
    payload: bytes


class CounterReply(NamedTuple):
    """The answer to one counter call; `total` is valid with OK. ERROR: it was added, the total is unknown."""

    name: int
    outcome: Outcome
    elapsed: float
    total: float


class Leaving(NamedTuple):
    """This ingress shuts down in order: it takes no request any more, and has none in flight."""


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
