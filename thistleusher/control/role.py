"""The role of a control node (follower, candidate or leader) and the machines that it has heard.

All modules of a node share this state and change it through the methods below only. For example, the promise of a
higher epoch ends a leadership, whichever module makes the promise.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control.calls import CallQueue
from thistleusher.control.candidacy import Candidacy
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Records
from thistleusher.control.leadership import Leadership
from thistleusher.control.timing import (
    CANDIDATE_STAGGER_S,
    CONTACT_TIMEOUT_S,
    LEADER_SEEN_TIMEOUT_S,
    NEVER,
    RETURNING_LEADER_DELAY_S,
    VOTER_GUARD_S,
)
from thistleusher.transport.messages import StepDown, ViewRecord


class Role:
    """One node's current role, leadership and candidacy."""

    def __init__(self, context: Context, durable: DurableState, calls: CallQueue) -> None:
        self._context = context
        self._durable = durable
        self._calls = calls
        self.leadership: Leadership | None = None
        self.candidacy: Candidacy | None = None
        # The latest leadership that was ended in order to start a new epoch.
        self.previous_leadership: Leadership | None = None
        self.stopping = False
        self.voted_for = ""  # the candidate that received this process's latest promise
        self.vote_on_disk = False  # whether that promise is on disk, so that the vote may be sent
        # When a leader's heartbeat or view last arrived; this voter guards the leader from then on. The initial value
        # is the start time, as the voter may have heard a leader just before its previous process ended.
        self.leader_heard_at = context.now
        self.leader_seen_at = NEVER  # the same, but only for a leader to which callers can be redirected
        self.contact_at = NEVER  # when a leader was last heard that also hears this voter
        self.confirmed_epoch = 0  # the newest epoch whose leader has been heard
        self.last_leader = ""  # the leader that was heard most recently
        self.last_leader_heard_at = NEVER
        self.leaving: dict[str, float] = {}  # voters whose process is stopping -> when they last announced it
        self.excluded_until: dict[str, float] = {}  # machine that failed as a replica -> when it may be chosen again
        self.next_candidacy_at = NEVER
        self.postpone_candidacy(VOTER_GUARD_S, CANDIDATE_STAGGER_S)
        view = durable.view
        if view is not None and view.leader == context.me:
            # The leader was an earlier incarnation of this process, so no other machine can hold its lease.
            self.leader_heard_at = NEVER
            self.next_candidacy_at = context.now + RETURNING_LEADER_DELAY_S

    # Queries.

    def holds_lease(self, now: float) -> bool:
        """Return whether this machine leads and its lease is valid at time `now`."""
        return self.leadership is not None and now < self.leadership.expires_at()

    def in_contact(self, now: float) -> bool:
        """Return whether this machine votes, and leads or was recently in contact with a leader that has a majority."""
        view = self._durable.view
        if view is None or self._context.me not in view.voters:
            return False
        return self.holds_lease(now) or now - self.contact_at < CONTACT_TIMEOUT_S

    def leader_seen(self) -> bool:
        """Return whether callers may be redirected to the leader."""
        return self._context.now - self.leader_seen_at < LEADER_SEEN_TIMEOUT_S

    def guards_leader(self) -> bool:
        """Return whether a leader was heard so recently that its lease may still be valid."""
        return self._context.now - self.leader_heard_at < VOTER_GUARD_S

    def is_eligible(self) -> bool:
        """Return whether this machine has all changes that were acknowledged up to the newest epoch that it knows."""
        view, state_copy = self._durable.view, self._durable.state_copy
        return view is not None and self._context.me in view.replica_set and state_copy.epoch >= view.epoch

    def is_current(self, candidacy: Candidacy) -> bool:
        """Return whether a candidacy is still active and no higher epoch has been promised since it started."""
        return self.candidacy is candidacy and candidacy.epoch == self._durable.promised

    def excluded_replicas(self) -> set[str]:
        """Return the machines that failed as replicas and must not be chosen again yet."""
        return {name for name, until in self.excluded_until.items() if until > self._context.now}

    # Changes.

    def record_leader_heard(self, leader: str) -> None:
        """Record that a leader's heartbeat or view has arrived."""
        self.leader_heard_at = self.leader_seen_at = self._context.now
        self.last_leader = leader
        self.last_leader_heard_at = self._context.now

    def promise(
        self,
        epoch: int,
        records: Records,
        on_promised: Callable[[], None],
        on_failed: Callable[[], None] | None = None,
    ) -> None:
        """Promise an epoch and write the promise to disk together with `records`.

        `on_promised` is called once both are on disk, unless a higher epoch has been promised meanwhile. `on_failed` is
        called if the write fails.
        """
        durable = self._durable
        durable.promised = epoch
        self.voted_for = ""
        self.vote_on_disk = False
        if self.leadership is not None and epoch > self.leadership.view.epoch:
            self.step_down(f"this machine promised epoch {epoch}")
        durable.write(records._replace(promised=epoch), partial(self._promise_written, epoch, on_promised, on_failed))

    def _promise_written(
        self, epoch: int, on_promised: Callable[[], None], on_failed: Callable[[], None] | None, ok: bool
    ) -> None:
        if not ok:
            self._durable.log_write_failure(f"the promise of epoch {epoch}")
            if on_failed is not None:
                on_failed()
        elif self._durable.promised == epoch:
            on_promised()

    def postpone_candidacy(self, minimum_s: float, spread_s: float = 1.0) -> None:
        """Start no candidacy for `minimum_s` plus a random delay of up to `spread_s`, both in seconds.

        The random delay prevents two candidates from ending each other's attempts repeatedly.
        """
        self.next_candidacy_at = self._context.now + minimum_s + self._context.rng.random() * spread_s

    def start_renewal(self) -> None:
        """End the leadership so that this machine can win the next epoch. The pending change is queued until then."""
        self.previous_leadership = self.leadership
        self.leadership = None
        if self.previous_leadership is not None and self.previous_leadership.pending is not None:
            self._calls.requeue(self.previous_leadership.pending.change)

    def forget_stale_leadership(self) -> None:
        """Drop the previous leadership if its contact times are too old to be carried over to the next one."""
        if self.previous_leadership is None:
            return
        if self._context.now - max(self.previous_leadership.last_heard.values()) > CONTACT_TIMEOUT_S:
            self.previous_leadership = None

    def step_down(self, reason: str) -> None:
        """End the leadership and notify the voters. The pending change may or may not be committed later."""
        leadership = self.leadership
        self.leadership = None
        self.candidacy = None
        if leadership is None:
            return
        self._context.log(Event.LEADERSHIP_LOST, leadership.view.epoch, reason)
        if leadership.pending is not None:
            self._calls.requeue(leadership.pending.change)
        self.send_step_down(leadership.view)
        self.postpone_candidacy(2 * VOTER_GUARD_S)
        self.leader_seen_at = NEVER

    def send_step_down(self, view: ViewRecord) -> None:
        """Notify the voters that this machine, the leader of `view`, has stepped down."""
        for voter in view.voters:
            if voter != self._context.me:
                self._context.send(voter, StepDown(view.epoch, self.stopping))
