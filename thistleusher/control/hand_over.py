"""Graceful hand-over: a stopping process gives up leadership, vote and copy, and other machines take them over.

A leader steps down once a replica that is not stopping itself can lead. A learner, if there is one, replaces a voter;
another voter replaces a replica. The process exits once no machine depends on it, or when its grace period is over.
"""

from __future__ import annotations

from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.elections import Elections
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import CANDIDATE_STAGGER_S, LEASE_S, NEVER, RETRY_INTERVAL_S
from thistleusher.transport.messages import Leaving, StepDown


class HandOver:
    """One node's hand-over of its own roles, and its reaction to the hand-over of others."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, elections: Elections
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._elections = elections
        self._next_announcement_at = context.now

    # In the process that is stopping.

    def step_down_if_possible(self) -> None:
        """Step down if no change is pending and a replica that is not stopping has been heard within `LEASE_S`."""
        leadership, now = self._role.leadership, self._context.now
        if leadership is None:
            return
        last_heard = leadership.last_heard
        heard = (name for name in leadership.view.replicas if now - last_heard.get(name, NEVER) < LEASE_S)
        if leadership.pending is None and any(name not in self._role.leaving for name in heard):
            self._role.step_down("this process is stopping")

    def announce(self) -> None:
        """Announce to the leader, or as the last leader to all voters, that this process is stopping.

        Sends at most one announcement per `RETRY_INTERVAL_S`.
        """
        view, now = self._durable.view, self._context.now
        if view is None or now < self._next_announcement_at or self.can_stop:
            return
        self._next_announcement_at = now + RETRY_INTERVAL_S
        if view.leader == self._context.me:
            if self._role.leadership is None and self._role.candidacy is None:
                self._role.send_step_down(view)
        else:
            self._context.send(view.leader, Leaving(view.epoch))

    @property
    def can_stop(self) -> bool:
        """Whether no other machine depends on this process any more."""
        view, me = self._durable.view, self._context.me
        if view is None or self._joining.founding:  # nothing has been acknowledged yet
            return True
        if me in view.previous_voters:  # a candidate may still ask a previous voter for the view that follows
            return False
        if not self._joining.is_voter:  # a copy of a later epoch means that this machine is about to become a voter
            return self._durable.state_copy.epoch <= view.epoch
        if self._role.confirmed_epoch < view.epoch:  # the view's leader was not heard, so the epoch may not have begun
            return False
        has_leader = self._role.guards_leader()  # without a leader, a majority may need this machine's vote
        return has_leader and me not in view.replica_set and not self._joining.learners.present()

    # In the other processes.

    def on_step_down(self, sender: str, message: StepDown) -> None:
        """Become a candidate without waiting for a time-out if the leader has stepped down and this machine may lead.

        The first replica starts at once, the others after a stagger.
        """
        role, view = self._role, self._durable.view
        if message.leaving:
            role.leaving[sender] = self._context.now
        if view is None or view.epoch != message.epoch or view.leader != sender:
            return
        role.leader_heard_at = role.leader_seen_at = NEVER
        if role.is_eligible() and role.leadership is None and role.candidacy is None and not role.stopping:
            if view.replicas[0] == self._context.me:
                self._elections.start_candidacy("the leader has stepped down")
            else:  # several simultaneous candidates would end each other's attempts
                stagger_s = CANDIDATE_STAGGER_S * view.replica_set.index(self._context.me)
                role.next_candidacy_at = self._context.now + stagger_s
