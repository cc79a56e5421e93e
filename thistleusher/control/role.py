"""What a control node is at present: a follower of a leader, a candidate, or the leader; and whom it has heard.

The parts of a node (`voting`, `elections`, `leading`, `joining`) meet here: each changes the role by the methods below
only, so that a promise of a higher epoch, for one, ends a leadership whoever gives it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control.calls import Calls
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.interface import Change, Records
from thistleusher.control.replica import Undo
from thistleusher.control.timing import (
    CONTACT_S,
    GUARD_S,
    LEADER_SEEN_S,
    LEASE_S,
    NEVER,
    RETURN_S,
    TURN_S,
)
from thistleusher.transport.messages import Items, Position, StepDown, ViewRecord


@dataclass(slots=True)
class Pending:
    """A change that is being kept: on which disks it is, and what it replaced."""

    change: Change
    base: Position
    position: Position
    items: Items
    undo: Undo
    since: float
    asked: float
    here: bool = False
    there: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Leadership:
    """What a leader knows of its voters and replicas, and what it is doing."""

    view: ViewRecord
    since: float
    acked: dict[str, float]  # voter -> when the newest heartbeat that it has answered was sent
    heard: dict[str, float]  # voter -> when it was last heard
    steady: dict[str, float]  # voter -> since when it has been heard without a gap
    voters_since: float  # since when these are the voters
    pending: Pending | None = None
    disk_since: float | None = None  # since when the leader's own disk has been writing a change
    behind: dict[str, tuple[Position, float]] = field(default_factory=dict)  # replicas: where their copy is, since when

    def expires_at(self) -> float:
        """To when the lease stands."""
        acked = sorted((self.acked.get(voter, NEVER) for voter in self.view.voters), reverse=True)
        return acked[self.view.majority - 1] + LEASE_S


@dataclass(slots=True)
class Candidacy:
    """An attempt to lead an epoch.

    Its stages: 'promise' (on the own disk), 'vote', 'enter' (the own copy on disk), 'install' (the replicas' copies on
    their disks), 'record' (the view on disks).
    """

    epoch: int
    view: ViewRecord  # the newest known, to be followed by the next
    since: float
    asked: float
    stage: str = "promise"
    votes: dict[str, ViewRecord | None] = field(default_factory=dict)
    next: ViewRecord | None = None
    tried: set[str] = field(default_factory=set)
    installed: set[str] = field(default_factory=set)
    recorded: set[str] = field(default_factory=set)
    record_asked: float = NEVER  # when voters were first asked to record the view: those that did guard it since
    voters: Mapping[str, str] | None = None  # other voters than those of `view`
    positions: dict[str, Position] = field(default_factory=dict)  # how far copies elsewhere are


class Role:
    """One node's."""

    def __init__(self, context: Context, durable: Durable, calls: Calls) -> None:
        self._context, self._durable, self._calls = context, durable, calls
        self.leadership: Leadership | None = None
        self.candidacy: Candidacy | None = None
        self.last: Leadership | None = None  # the newest leadership that was given up to begin another
        self.stopping = False
        self.voted_for, self.vote_told = "", False  # whom the newest promise was given to in this life
        self.leader_heard_at = context.now  # a voter that starts may have heard a leader just before
        self.leader_seen_at = NEVER  # the same, for sending callers there
        self.contact_at = NEVER  # when a leader was heard that hears this voter
        self.confirmed = 0  # the newest epoch whose leader has been heard
        self.followed, self.followed_at = "", NEVER  # the leader that was heard last, and when
        self.leaving: dict[str, float] = {}  # voters whose process is about to end, and when they last said so
        self.shunned: dict[str, float] = {}  # machines that failed as replicas, and until when
        self.stand_at = context.now + GUARD_S + context.rng.random() * TURN_S
        view = durable.view
        if view is not None and view.leader == context.me:
            # The leader was an earlier life of this very process: nobody guards that from its own machine.
            self.leader_heard_at, self.stand_at = NEVER, context.now + RETURN_S

    def holds_lease(self, now: float) -> bool:
        """Whether this machine leads, and its lease stands at that time."""
        return self.leadership is not None and now < self.leadership.expires_at()

    def in_contact(self, now: float) -> bool:
        """Whether this machine votes and was in contact with a leader that has a majority, or is that leader."""
        view = self._durable.view
        if view is None or self._context.me not in view.voters:
            return False
        return self.holds_lease(now) or now - self.contact_at < CONTACT_S

    def leader_seen(self) -> bool:
        """Whether callers may be sent to the leader."""
        return self._context.now - self.leader_seen_at < LEADER_SEEN_S

    def guarded(self) -> bool:
        """Whether a leader was heard so lately that its lease may stand."""
        return self._context.now - self.leader_heard_at < GUARD_S

    def eligible(self) -> bool:
        """Whether this machine holds everything that was acknowledged in the newest epoch that it knows."""
        view, replica = self._durable.view, self._durable.replica
        return view is not None and self._context.me in view.replica_set and replica.epoch >= view.epoch

    def hear_leader(self, leader: str) -> None:
        """A leader's heartbeat, or the record of its view, has come."""
        self.leader_heard_at = self.leader_seen_at = self._context.now
        self.followed, self.followed_at = leader, self._context.now

    def promise(
        self, epoch: int, records: Records, after: Callable[[], None], otherwise: Callable[[], None] | None = None
    ) -> None:
        """Promise an epoch; `after` follows where it is on disk and no higher one was promised meanwhile.

        `otherwise` follows where the disk did not take it.
        """
        durable = self._durable
        durable.promised, self.voted_for, self.vote_told = epoch, "", False
        if self.leadership is not None and epoch > self.leadership.view.epoch:
            self.step_down(f"epoch {epoch} was promised")
        durable.write(records._replace(promised=epoch), partial(self._promised, epoch, after, otherwise))

    def _promised(self, epoch: int, after: Callable[[], None], otherwise: Callable[[], None] | None, ok: bool) -> None:
        """The write of a promise has ended."""
        if not ok:
            self._durable.failed(f"promise of epoch {epoch}")
            if otherwise is not None:
                otherwise()
        elif self._durable.promised == epoch:
            after()

    def begin_anew(self) -> None:
        """The leadership ends as its holder stands for the next epoch; what is pending waits for that."""
        self.last, self.leadership = self.leadership, None
        if self.last is not None and self.last.pending is not None:
            self._calls.put_back(self.last.pending.change)

    def forget_last(self) -> None:
        """What an earlier leadership heard counts only while it is fresh."""
        if self.last is not None and self._context.now - max(self.last.heard.values()) > CONTACT_S:
            self.last = None

    def step_down(self, why: str) -> None:
        """Lead no more, and tell the voters; what is pending may be in force later or not."""
        leadership, self.leadership = self.leadership, None
        self.candidacy = None
        if leadership is None:
            return
        self._context.note(Event.LEADERSHIP_LOST, leadership.view.epoch, why)
        if leadership.pending is not None:
            self._calls.put_back(leadership.pending.change)
        self.tell_step_down(leadership.view)
        self.stand_at = self._context.now + 2 * GUARD_S + self._context.rng.random()
        self.leader_seen_at = NEVER

    def tell_step_down(self, view: ViewRecord) -> None:
        """Tell the voters that the leader of a view, this machine, leads no more."""
        for voter in view.voters:
            if voter != self._context.me:
                self._context.send(voter, StepDown(view.epoch, self.stopping))
