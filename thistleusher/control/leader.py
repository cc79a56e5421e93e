"""The leader's periodic work, and the beginning, renewal and end of its leadership.

Each task has its own module: `heartbeats` renews the lease, `serving` and `replication` serve reads and changes,
`catch_up` sends copies, `reconfiguration` decides on replicas and voters, and `hand_over` ends a leadership gracefully.
The lease ends before any voter votes for another candidate: it lasts `LEASE_S` from the sending of a heartbeat, while
voters guard the leader for `VOTER_GUARD_S` from its receipt.
"""

from __future__ import annotations

from thistleusher.common.events import Event
from thistleusher.control.calls import CallQueue
from thistleusher.control.candidacy import Candidacy
from thistleusher.control.catch_up import CatchUp
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.elections import Elections
from thistleusher.control.hand_over import HandOver
from thistleusher.control.heartbeats import Heartbeats
from thistleusher.control.interface import Publish
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import Leadership
from thistleusher.control.reconfiguration import Reconfiguration
from thistleusher.control.role import Role
from thistleusher.control.serving import Serving
from thistleusher.control.timing import LEASE_S, OWN_WRITE_TIMEOUT_S, RENEWAL_MIN_AGE_S
from thistleusher.transport.messages import Deposed, HeartbeatAck, Leaving


class Leader:
    """One node's work as a leader; does nothing while the node does not lead."""

    def __init__(self, context: Context, durable: DurableState, role: Role, joining: Joining, calls: CallQueue) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self.elections = Elections(context, durable, role, joining, self._begin)
        self.serving = Serving(context, durable, role, joining, calls)
        self.replication = self.serving.replication
        self.catch_up = CatchUp(context, durable, role, joining, self.replication)
        self.hand_over = HandOver(context, durable, role, joining, self.elections)
        self._heartbeats = Heartbeats(context, joining)
        self._reconfiguration = Reconfiguration(context, durable, role, joining, self.elections)

    # Beginning.

    def _begin(self, candidacy: Candidacy) -> None:
        """Begin to lead the epoch of a candidacy that has succeeded."""
        view, now = self._durable.view, self._context.now
        assert view is not None
        # The voters guard this leader from when they recorded its view, so its lease starts at the first request to
        # record it.
        acked = {voter: candidacy.record_requested_at for voter in candidacy.recorded}
        acked[self._context.me] = now
        last_heard = dict.fromkeys(view.voters, now)
        leadership = Leadership(view, now, acked, last_heard, heard_since={}, voters_since=now)
        self._keep_contact_times(leadership)
        for voter in candidacy.recorded:
            leadership.last_heard[voter] = now
        self._role.leadership = leadership
        self._heartbeats.restart()
        self.catch_up.restart()
        self._context.log(Event.LEADERSHIP_GAINED, view.epoch, ", ".join(view.replicas))
        # Published as a copy, because the next change modifies the node's own state before it is committed.
        self._context.emit(Publish(self._durable.state_copy.state.copy()))
        self._heartbeats.send(leadership)
        self.serving.serve()

    def _keep_contact_times(self, leadership: Leadership) -> None:
        """Keep the known contact times of the voters, so that an election does not restart their time-outs."""
        previous, role = self._role.previous_leadership, self._role
        if previous is not None:
            known = {voter: at for voter, at in previous.last_heard.items() if voter in leadership.last_heard}
            leadership.last_heard.update(known)
            leadership.heard_since.update(previous.heard_since)
            if previous.view.voters == leadership.view.voters:
                leadership.voters_since = previous.voters_since
        elif role.last_leader and role.last_leader in leadership.last_heard:
            heard_at = max(role.last_leader_heard_at, self._context.started_at)
            leadership.last_heard[role.last_leader] = min(self._context.now, heard_at)

    # Time.

    def tick(self) -> None:
        """Run all actions of the leader that are due, or step down."""
        leadership = self._role.leadership
        assert leadership is not None
        now = self._context.now
        self._heartbeats.send_if_due(leadership)
        if now > leadership.expires_at() + LEASE_S:
            self._role.step_down("no majority of the voters answers")
        elif leadership.own_write_since is not None and now - leadership.own_write_since > OWN_WRITE_TIMEOUT_S:
            self._role.step_down("a disk write takes too long")
        elif now < leadership.expires_at():
            self._run_leased_actions(leadership)

    def _run_leased_actions(self, leadership: Leadership) -> None:
        """Run the actions that need a valid lease. Each may end the leadership, so the later ones check it again."""
        self.replication.repeat_pending(leadership)
        self._reconfiguration.start_candidacy_if_due(leadership)
        if self._role.leadership is leadership and self._role.stopping:
            self.hand_over.step_down_if_possible()
        if self._role.leadership is leadership:
            self.catch_up.repair_replicas(leadership)
            self.catch_up.update_learners(leadership)
            self.serving.serve()

    # Answers of voters.

    def on_heartbeat_ack(self, sender: str, message: HeartbeatAck) -> None:
        """Handle a voter's heartbeat acknowledgement, which may renew the lease."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        self._heartbeats.record_ack(leadership, sender, message)
        self.catch_up.update_lagging(leadership, sender, message.position)
        self.replication.commit_and_serve()

    def on_deposed(self, sender: str, message: Deposed) -> None:
        """Step down if a later epoch has begun.

        A voter that has only promised a higher epoch no longer supports this leadership. The leadership continues with
        the other voters until it may start a new epoch above that promise, which wins the voter back.
        """
        leadership, now = self._role.leadership, self._context.now
        if leadership is None:
            return
        if message.view.epoch > leadership.view.epoch:
            self._role.step_down(f"epoch {message.view.epoch} has begun")
            self._durable.adopt_view(message.view)
            self._role.leader_heard_at = now
        elif message.epoch == leadership.view.epoch:
            stable = leadership.pending is None and now - leadership.begun_at > RENEWAL_MIN_AGE_S
            if now > leadership.expires_at() or stable:
                self._durable.promised = max(self._durable.promised, message.promised)
                self.elections.start_candidacy("a voter has promised a higher epoch")

    def on_leaving(self, sender: str, message: Leaving) -> None:
        """Record that a voter's process is stopping, and replace the voter at once if possible."""
        self._role.leaving[sender] = self._context.now
        if self._role.holds_lease(self._context.now):
            self.tick()
