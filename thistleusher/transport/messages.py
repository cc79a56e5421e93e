"""Every message between the system's own processes, each with the fields that it has.

This is the one place where their form is stated. On the wire a message is an array in msgpack that begins with its
tag; `codec` packs, unpacks and checks it. Times are seconds on the steady clock of the machine that the field's
comment names, and mean nothing on another one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Union

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A message; its subclasses have a tag each."""


class ViewRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One epoch's leader, replicas and voters (address -> zone)."""

    epoch: int
    leader: str
    replicas: tuple[str, ...]  # that hold a copy beside the leader's
    voters: dict[str, str]
    before: dict[str, str] = {}  # the voters before, where these are others and its leader is not known to lead

    @property
    def majority(self) -> int:
        """How many of the voters decide."""
        return len(self.voters) // 2 + 1

    @property
    def holders(self) -> tuple[str, ...]:
        """Who has everything that was acknowledged in this epoch."""
        return self.leader, *self.replicas

    def has_majority(self, names: Iterable[str]) -> bool:
        """Whether a majority of the voters is among some machines."""
        return len(self.voters.keys() & set(names)) >= self.majority

    @property
    def deciders(self) -> dict[str, str]:
        """Who is asked for what follows this view."""
        return {**self.before, **self.voters}

    def decided_by(self, names: Iterable[str]) -> bool:
        """Whether some machines may decide on what follows this view.

        As long as it is not known whether the voters before it agreed, a majority of these is needed too.
        """
        agreed = set(names)
        known = not self.before or 2 * len(self.before.keys() & agreed) > len(self.before)
        return known and self.has_majority(agreed)

    def confirmed(self) -> ViewRecord:
        """The same view, whose leader is known to lead."""
        return msgspec.structs.replace(self, before={})


class Position(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """How far a copy of the control state is.

    The leader of an epoch gives each number once, so a number and the epoch that it was written in name one change,
    and two copies whose newest change is the same one have the same history.
    """

    epoch: int  # in which the copy was last whole; -1 for none
    number: int
    written_in: int  # the epoch of the newest change

    def same_change(self, other: Position) -> bool:
        """Whether both copies end with the same change."""
        return self.number == other.number and self.written_in == other.written_in


Items = dict[str, tuple[int, Any]]  # name -> number of the change that set it, value (None: removed)


# Any connection.


class Hello(Message, tag="hello", frozen=True):
    """The first message on a connection between control processes."""

    me: str


class KeepAlive(Message, tag="beat", frozen=True):
    """Nothing to say, and still there."""


# Control process to control process: bootstrap and recovery.


class FounderAnnouncement(Message, tag="found", frozen=True):
    """A founder tells the first seed that it is there."""

    zone: str


class StatusRequest(Message, tag="status-request", frozen=True):
    """One without a vote asks what the others know.

    `ready`: it knows by a majority what was promised; `position`: of the copy that it has on disk.
    """

    zone: str
    ready: bool
    position: Position
    promised: int


class Status(Message, tag="status", frozen=True):
    """The answer: the newest view, the newest promise, whether a leader was heard of late."""

    view: ViewRecord
    promised: int
    leader_heard: bool


# Control process to control process: elections.


class VoteRequest(Message, tag="vote-request", frozen=True):
    """A holder of the newest view that it knows asks for an epoch."""

    epoch: int
    view: ViewRecord


class Vote(Message, tag="vote", frozen=True):
    """The promise of an epoch, on disk, with the newest view that the voter knows and how far its copy is."""

    epoch: int
    view: ViewRecord
    position: Position


class VoteRejected(Message, tag="vote-refused", frozen=True):
    """No promise: a live leader, or a higher promise."""

    epoch: int
    promised: int
    view: ViewRecord


class RecordView(Message, tag="record-view", frozen=True):
    """The view of a new epoch, to be on disk."""

    view: ViewRecord


class ViewRecorded(Message, tag="view-recorded", frozen=True):
    """It is on disk."""

    epoch: int


# Control process to control process: replication.


class Install(Message, tag="install", frozen=True):
    """A copy of the control state for a replica or learner, to be on disk.

    `base` is the position that `items` go on from; None: they are the whole state.
    """

    epoch: int
    base: Position | None
    position: Position
    floor: int
    items: Items


class Installed(Message, tag="installed", frozen=True):
    """The copy is on disk."""

    epoch: int
    position: Position


class InstallRejected(Message, tag="install-refused", frozen=True):
    """The copy here is at `position`, which what was sent does not go on from."""

    epoch: int
    position: Position


class Append(Message, tag="append", frozen=True):
    """One change, after `base`, to be on disk."""

    epoch: int
    base: Position
    position: Position
    items: Items


class Appended(Message, tag="appended", frozen=True):
    """The change is on disk."""

    epoch: int
    number: int


# Control process to control process: leadership.


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """The leader's heartbeat: `sent` on its clock; `in_contact`: a majority and this voter have answered of late."""

    view: ViewRecord
    sent: float
    in_contact: bool


class HeartbeatAck(Message, tag="heartbeat-ack", frozen=True):
    """The answer: when it was sent, by the leader's clock, and how far the copy here is."""

    epoch: int
    sent: float
    position: Position


class Deposed(Message, tag="deposed", frozen=True):
    """A heartbeat of an old epoch: what was promised and recorded since."""

    epoch: int
    promised: int
    view: ViewRecord


class StepDown(Message, tag="step-down", frozen=True):
    """The leader of an epoch leads no more; `leaving`: its process ends."""

    epoch: int
    leaving: bool


class Leaving(Message, tag="leaving", frozen=True):
    """A voter's process is about to end, and hands over what it holds first."""

    epoch: int


# Followers (proxies, registries) and the control process.


class SubscribeRequest(Message, tag="follow", frozen=True):
    """The first message of a follower: who it is, and the number that it has (0: nothing)."""

    me: str
    number: int


class StateUpdate(Message, tag="news", frozen=True):
    """Numbered changes: items that changed after `previous` (None: the whole state)."""

    number: int
    previous: int | None
    items: Items


class StateUpdateAck(Message, tag="news-ack", frozen=True):
    """A follower has taken a number in."""

    number: int


class CoreInfo(Message, tag="core", frozen=True):
    """Who votes, in which epoch, and who leads."""

    voters: tuple[str, ...]
    epoch: int
    leader: str


class LeaseRequest(Message, tag="lease-request", frozen=True):
    """A holder asks for a duty or goes on with it; `sent` on its clock. The term is the fencing token."""

    duty: str
    holder: str
    term: int
    sent: float


class LeaseGranted(Message, tag="lease-granted", frozen=True):
    """One voter grants the duty under a term, for the lease's time from `sent`."""

    duty: str
    term: int
    sent: float


class LeaseRejected(Message, tag="lease-taken", frozen=True):
    """Not granted: the highest term seen, and whether the duty is free under a higher one."""

    duty: str
    term: int
    free: bool


class LeaseReleased(Message, tag="lease-released", frozen=True):
    """A holder asks no more under a term."""

    duty: str
    holder: str
    term: int


class PersistItems(Message, tag="keep", frozen=True):
    """The registry asks that items be kept; `request` names the call."""

    request: str
    items: dict[str, Any]


class ItemsPersisted(Message, tag="kept", frozen=True):
    """Whether they are."""

    request: str
    ok: bool


# Proxies and the registry.


class ProxyHeartbeat(Message, tag="presence", frozen=True):
    """A proxy's short beat: its life, when it was sent, and the newest echo that it has had (who, its time)."""

    life: str
    sent: float
    echo: tuple[str, float] | None


class ProxyStatusReport(Message, tag="presence-report", frozen=True):
    """The full beat: also whether it is ready, whom it watches in vain, and what others are told of it."""

    life: str
    sent: float
    echo: tuple[str, float] | None
    ready: bool
    silent: tuple[str, ...]
    about: dict[str, str]


class HeartbeatEcho(Message, tag="echo", frozen=True):
    """The counter's answer to a beat: who, the beat's own time, the counter's time, the proxy's share."""

    by: str
    sent: float
    now: float
    share: float


class Charge(Message, tag="charge", frozen=True):
    """Charge a tenant's one count.

    `life` and `number` name the charge: an answer finds its caller by them, and a charge that comes twice counts once.
    `amount` below 0 gives a charge of `window` back.
    """

    life: str
    number: int
    tenant: str
    amount: float
    window: int


class ChargeResult(Message, tag="charge-result", frozen=True):
    """The verdict, seconds (see `counts.Counts.add`), and the window that was charged."""

    life: str
    number: int
    verdict: int
    left: float
    window: int


# Proxy to proxy.


class RingHeartbeat(Message, tag="ring-beat", frozen=True):
    """A datagram of the ring: who, and the numbers of the news that it has."""

    name: str
    control: int
    registry: int


class HandOver(Message, tag="hand-over", frozen=True):
    """A watcher's copy of the news, for a proxy that has lacked it."""

    me: str
    control: StateUpdate
    registry: StateUpdate


class HandOverAccepted(Message, tag="hand-over-taken", frozen=True):
    """It was taken in."""


AnyMessage = Union[
    Hello,
    KeepAlive,
    FounderAnnouncement,
    StatusRequest,
    Status,
    VoteRequest,
    Vote,
    VoteRejected,
    RecordView,
    ViewRecorded,
    Install,
    Installed,
    InstallRejected,
    Append,
    Appended,
    Heartbeat,
    HeartbeatAck,
    Deposed,
    StepDown,
    Leaving,
    SubscribeRequest,
    StateUpdate,
    StateUpdateAck,
    CoreInfo,
    LeaseRequest,
    LeaseGranted,
    LeaseRejected,
    LeaseReleased,
    PersistItems,
    ItemsPersisted,
    ProxyHeartbeat,
    ProxyStatusReport,
    HeartbeatEcho,
    Charge,
    ChargeResult,
    RingHeartbeat,
    HandOver,
    HandOverAccepted,
]
