"""Settings, events and actions of the decision module, in the terms of the field."""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol, Union

TELL_S = 0.1  # between tellings to peers of what was let in
TELL_PART = 0.75  # of the messages that an ingress takes in, that its peers' tellings may make up
LEVELS = 100.0  # steps of a burst in which a telling says what is left in a store
TOLD = struct.Struct(">5sHbb")  # customer, plan; quarter units let in so far, since last told; level
TOLD_MARK = b"\x01"
ESCROW_MARKS = (b"\x02", b"\x03", b"\x04", b"\x05", b"\x06")  # of messages that the escrow reads
GIFTS = (b"\x03", b"\x06")  # of these, those that bring shares
HOME_MARKS = (b"\x07", b"\x08", b"\x09")  # of messages that go between a member's home and other ingresses
TOLD_MOST = (256 - len(TOLD_MARK)) // TOLD.size  # customers that a message of 256 bytes tells of


def name_of(plan: int, customer: int) -> bytes:
    """A customer (below 2^33) and its plan's number (below 128) in five bytes, as ingresses name it to one another."""
    return (customer << 7 | plan).to_bytes(5)


def plan_of(name: bytes) -> tuple[int, int]:
    """Plan's number and customer of such a name."""
    number = int.from_bytes(name)
    return number & 127, number >> 7


def mix(a: int, b: int) -> int:
    """A 63-bit name out of two numbers, the same at every instance."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1


class Effect(Enum):
    """What repeating a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends that together drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


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


def _need(ok: bool, name: str, wanted: str, value: object) -> None:
    if not ok:
        raise ValueError(f"{name}: expected {wanted}, got {value!r}")


def _not_negative(owner: object, prefix: str, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _need(math.isfinite(value) and value >= 0, prefix + name, "a finite number of 0 or more", value)


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of request. Times are in seconds."""

    name: str
    effect: Effect
    objective: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: float = 0.0

    def __post_init__(self) -> None:
        _need(isinstance(self.effect, Effect), "classes.effect", "an Effect", self.effect)
        _need(isinstance(self.group, Group), "classes.group", "a Group", self.group)
        _not_negative(self, "classes.", "objective", "deadline", "worth", "late_worth", "window")


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """One plan: quota (rate and burst), ceiling (a second store) and price."""

    name: str
    rate: float
    burst: float
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    max_open: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(
            self,
            "plans.",
            "rate",
            "burst",
            "price",
            "over_worth",
            "over_cost",
            "max_open",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        )

    def wide(self, width: int) -> bool:
        """Whether a set is so wide that an even share of the burst is less than a unit."""
        return width > self.burst


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    instances: int = 1
    me: int = 0
    zone: str = ""
    step: float = 0.0
    counter: bool = False
    counter_timeout: float = 0.05
    counter_price: float = 0.0
    max_units: float = 1.0
    settles: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after: float = 0.0
    may_probe: bool = False
    may_cancel: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    second_copies: bool = False
    own_backends: bool = False  # the backends serve this instance alone
    own_counter: bool = False  # the counter began with this instance and serves it alone
    list_on_request: bool = False
    ask_every: float = 10.0
    load_in_answers: bool = False
    load_in_probes: bool = False
    drain_grace: float = 0.0
    fall_multiple: float = 1.0
    fall_after: float = 1.0
    start_capacity: float = 1.0
    cold_time: float = 0.0
    connect_timeout: float = 0.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0
    probe_price: float = 0.0

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _need(len(self.plans) > 0, "plans", "at least one plan", self.plans)
        _need(self.instances >= 1, "instances", "1 or more", self.instances)
        _need(self.max_attempts >= 1, "max_attempts", "1 or more", self.max_attempts)
        _not_negative(
            self,
            "",
            "me",
            "step",
            "counter_timeout",
            "counter_price",
            "max_units",
            "max_retry_after",
            "peer_in_per_s",
            "ask_every",
            "drain_grace",
            "fall_multiple",
            "fall_after",
            "start_capacity",
            "cold_time",
            "connect_timeout",
            "late_fail_price",
            "waste_price",
            "cross_zone_price",
            "probe_price",
        )

    @property
    def large(self) -> bool:
        """Whether not everything can be told to everybody within a tick, so that words go to sets and homes."""
        return self.peers and self.counter and 0 < TELL_S * TELL_PART * self.peer_in_per_s < self.instances - 1


class BackendEntry(NamedTuple):
    """One line of the list of servers."""

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
    """A client's request; exactly one final answer is owed."""

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
    """A timer of this gateway's has come up."""

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
    """This ingress ends in order: it takes no request any more, and holds none."""


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
    """Ask for a TimerFired."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Look at a backend."""

    backend: str


class CloseIdle(NamedTuple):
    """Close idle connections to a backend."""

    backend: str


class Tell(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer: int | None
    payload: bytes


class CounterAdd(NamedTuple):
    """Add to a named count; a new name lives `lifetime` seconds."""

    name: int
    amount: float
    lifetime: float


class Subscribe(NamedTuple):
    """Follow the list of servers, or stop."""

    on: bool


class FetchList(NamedTuple):
    """Ask for the whole list of servers once."""


class Log(NamedTuple):
    """One line for the people on call."""

    text: str


Action = Union[
    Attempt, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, Tell, CounterAdd, Subscribe, FetchList, Log
]


class SavedMember(NamedTuple):
    """What one ingress knew of a member's count, to be kept or put back; the fields of `policy.store.Customer`."""

    key: int
    plan: str
    level: float
    at: float
    window: int
    told: float
    pending: float
    mine: int
    theirs: dict[int, int]
    heard: float = 0.0
    heard_in: int = -1
    excess: float = 0.0
    doubt: float = 0.0  # of `pending`: added to the count of the window `doubted`, or not
    doubted: int = -1


class LearnedClass(NamedTuple):
    """Usual time of a class's answers in seconds, and as it was when nothing was pressed; its line over units."""

    latency: float
    base: float
    seen: int = 0
    units: float = 0.0
    time: float = 0.0
    spread: float = 0.0
    both: float = 0.0


class LearnedBackend(NamedTuple):
    """What an ingress knows of one backend's process, that was born at `born`."""

    born: float
    ratio: float
    errors: float
    proof: float
    resting: float
    trial: bool


class Learned(NamedTuple):
    """What an ingress had learned of its backends by a time: speeds, ejections, how many attempts may be out."""

    at: float
    slots: float
    usable: int
    rate: float
    classes: dict[str, LearnedClass]
    backends: dict[str, LearnedBackend]


class SavedRoom(NamedTuple):
    """What one ingress leaves alone of a member's allowance for its next life (`ledger.reserve`).

    `plan`: its number in the settings; `room` in units at Unix time `at`, -inf where it was forgotten.
    """

    plan: int
    customer: int
    first: int
    width: int
    room: float
    at: float


class Routed(Protocol):
    """What the choice of a backend asks of a request."""

    req: Request
    cls: ClassSettings
    work: float
    bad: set[str]
    ran_on: BackendEntry | None


class Escrow(Protocol):
    """What holds members to an ingress's own share of their allowance; `thistleusher.ledger` is one.

    Plans by their number in the settings, times as Unix seconds, units as charged. Pure.
    """

    def take(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Whether a request may be let in; `spent`: what is known to be gone of the whole allowance."""

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Units were let in on another's word."""

    def wanting(self, now: float) -> list[tuple[int | None, bytes]]:
        """Messages that are due, to whom; None: to all peers."""

    def heard(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """A peer's message; the answers to it, if any."""

    def greetings(self, now: float) -> list[tuple[int, bytes]]:
        """What an ingress that has begun has to say now, to whom."""

    def greet_in(self, now: float) -> float | None:
        """Seconds until more of that is due; None where nothing is any more."""

    def over(self, peer: int) -> bool:
        """Whether a peer has ended in order and not begun again: it lets nothing in."""

    def returned(self) -> bool:
        """Whether a peer has known an earlier life of this ingress."""

    def leaving(self, now: float) -> list[tuple[int, bytes]]:
        """The last words of an ingress that ends in order, to whom."""

    def keep(self, notes: Iterable[SavedRoom], active: float | None) -> None:
        """Keep rooms from now on; `notes` of an earlier life that was at work at `active`, None without one."""

    def saved(self, now: float, most: int) -> list[SavedRoom]:
        """Notes to be written to disk, of allowances that have changed."""

    def lost(self, key: tuple[int, int]) -> None:
        """The last note of this (plan, customer) will never be on disk."""

    def landed(self, keys: Iterable[tuple[int, int]]) -> None:
        """The last notes of these (plan, customer) are on disk."""


class Asked(NamedTuple):
    """A peer's question to the home of a member: its number, member, plan's number, set, and units asked for.

    `answer`: the one that it has had, where it comes again.
    """

    number: int
    customer: int
    plan: int
    first: int
    width: int
    units: float
    answer: bytes = b""


class Talk(Protocol):
    """Who is told and asked what in a large fleet; `thistleusher.talk` is one. Times in seconds."""

    def note(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Something of a member has changed; `lazy`: it may wait for company."""

    def heard(self, now: float, peer: int, telling: bool) -> None:
        """A peer has sent a message; `telling`: of use by members that are common to both."""

    def meet(self, now: float, first: int, width: int) -> None:
        """A member of this set was seen."""

    def busy(self) -> bool:
        """Whether the next tick has anything to say."""

    def tellings(self, now: float) -> list[tuple[int, list[int]]]:
        """The tellings that leave now: to whom, of which members."""

    def home(self, now: float, customer: int, first: int, width: int) -> int | None:
        """The ingress that keeps a member's account; None where none of its candidates answers."""

    def ask(self, now: float, home: int, r: Request, plan: int) -> bytes | None:
        """A question for a request; None where too many are out."""

    def asked(self, now: float, peer: int, payload: bytes) -> Asked | None:
        """A question of a peer's; None where it cannot be one, or is one that is being decided on."""

    def answer(self, peer: int, number: int, good: bool, room: float) -> bytes:
        """The answer to a peer's."""

    def answered(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Whose request a home has decided on, how, and the room that it told; None where nobody waits for it."""

    def again(self, now: float) -> list[tuple[int, bytes]]:
        """Questions to be put once more, to whom: they or their answers were likely lost."""

    def overdue(self, now: float) -> list[str]:
        """Requests whose home has not answered in time, or that were held until now."""

    def hold(self, request: str, due: float) -> bool:
        """Keep a request until then, or until a peer has given anything; whether there is room for it."""

    def held(self) -> list[str]:
        """All that are kept; they are kept no longer."""

    def wait_for(self, now: float) -> float | None:
        """Seconds until a question is overdue; None where none is out."""

    def settle(self, home: int, customer: int, plan: int, units: float) -> None:
        """Units more (or less) than a home was asked for."""

    def settlements(self) -> list[tuple[int, bytes]]:
        """The messages of all that waits to be settled."""

    def settled(self, payload: bytes) -> list[tuple[int, int, float]]:
        """Members, their plans' numbers, and units, of a peer's settlements."""


class CounterOf(Protocol):
    """Where several counters share the names: which of them holds one, by its number. Pure."""

    def of(self, name: int) -> int:
        """The same at every ingress."""
