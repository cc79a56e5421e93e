"""What a leader does: heartbeats and the lease, changes, replicas and learners, and when to begin anew.

Guaranteed: a change is acknowledged only once it is on the disks of the leader and of all replicas of the present
epoch, and a read is answered only from what is on all of these, both while the lease stands on the clock of that very
input. The lease ends before a voter helps another (`LEASE_S` from sending, `GUARD_S` from hearing).
"""

from __future__ import annotations

from functools import partial

from thistleusher.common.errors import ServiceError
from thistleusher.common.events import Event
from thistleusher.control import membership
from thistleusher.control.calls import Calls
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.elections import Elections
from thistleusher.control.interface import Call, Change, DeferredChange, Publish, PublishChange, Read
from thistleusher.control.joining import Joining, Learner
from thistleusher.control.role import Candidacy, Leadership, Pending, Role
from thistleusher.control.timing import (
    ABROAD_S,
    DISK_S,
    HEARTBEAT_S,
    INSTALL_S,
    LAG_MOST,
    LEASE_S,
    NEVER,
    REPLICA_S,
    RETRY_S,
    SETTLE_S,
    SHUN_S,
    STEADY_S,
    TURN_S,
)
from thistleusher.transport.messages import (
    Append,
    Appended,
    Deposed,
    Heartbeat,
    HeartbeatAck,
    Installed,
    InstallRejected,
    Leaving,
    Position,
    StepDown,
)


class Leading:
    """One node's leadership, while it has one."""

    def __init__(self, context: Context, durable: Durable, role: Role, joining: Joining, calls: Calls) -> None:
        self._context, self._durable, self._role = context, durable, role
        self._joining, self._calls = joining, calls
        self.elections = Elections(context, durable, role, joining, self.begin)
        self._heartbeat_at = self._status_at = context.now
        self._installing: dict[str, float] = {}  # learners that a copy was sent to, and when

    # Beginning and time.

    def begin(self, candidacy: Candidacy) -> None:
        """This machine was elected."""
        view, now = self._durable.view, self._context.now
        assert view is not None
        acked = {voter: candidacy.record_asked for voter in candidacy.recorded}
        acked[self._context.me] = now
        leadership = Leadership(view, now, acked, dict.fromkeys(view.voters, now), {}, now)
        self._carry_over(leadership)
        for voter in candidacy.recorded:
            leadership.heard[voter] = now
        self._role.leadership = leadership
        self._heartbeat_at = self._status_at = now
        self._installing = {}
        self._context.note(Event.LEADERSHIP_GAINED, view.epoch, ", ".join(view.replicas))
        self._context.emit(Publish(self._durable.replica.state.copy()))
        self._send_heartbeats(leadership)
        self.serve()

    def _carry_over(self, leadership: Leadership) -> None:
        """What this machine knew of the voters before: silence goes on counting through an election."""
        last, role = self._role.last, self._role
        if last is not None:
            leadership.heard.update({voter: at for voter, at in last.heard.items() if voter in leadership.heard})
            leadership.steady.update(last.steady)
            if last.view.voters == leadership.view.voters:
                leadership.voters_since = last.voters_since
        elif role.followed and role.followed in leadership.heard:
            leadership.heard[role.followed] = min(self._context.now, max(role.followed_at, self._context.started))

    def lead(self) -> None:
        """Time has passed, or something has come."""
        leadership = self._role.leadership
        assert leadership is not None
        now = self._context.now
        if now >= self._heartbeat_at:
            self._send_heartbeats(leadership)
        if now > leadership.expires_at() + LEASE_S:
            self._role.step_down("no majority")
        elif leadership.disk_since is not None and now - leadership.disk_since > DISK_S:
            self._role.step_down("the disk is slow")
        elif now < leadership.expires_at():
            self._repeat_pending(leadership)
            self._reconsider(leadership)
            if self._role.leadership is leadership and self._role.stopping:
                self.hand_over()
            if self._role.leadership is leadership:
                self._mend_replicas(leadership)
                self._feed_learners(leadership)
                self.serve()

    def _send_heartbeats(self, leadership: Leadership) -> None:
        now = self._context.now
        self._heartbeat_at = now + HEARTBEAT_S
        leadership.acked[self._context.me] = leadership.heard[self._context.me] = now
        holds = now < leadership.expires_at()
        for voter in leadership.view.voters:
            if voter != self._context.me:
                hears = now - leadership.heard.get(voter, NEVER) < LEASE_S
                self._context.send(voter, Heartbeat(leadership.view, now, holds and hears))
        if now >= self._status_at:  # machines without a vote must know whom to ask for one
            self._status_at = now + 2 * RETRY_S
            for other in self._joining.known_peers():
                if other not in leadership.view.voters:
                    self._joining.tell_status(other)

    def hand_over(self) -> None:
        """This process is to end: lead no more as soon as a replica may lead whose process stays."""
        leadership, now = self._role.leadership, self._context.now
        if leadership is None:
            return
        heard = (name for name in leadership.view.replicas if now - leadership.heard.get(name, NEVER) < LEASE_S)
        if leadership.pending is None and any(name not in self._role.leaving for name in heard):
            self._role.step_down("this process ends")

    # Voters and replicas.

    def _reconsider(self, leadership: Leadership) -> None:
        """Begin the next epoch where other replicas or voters are due."""
        self._forget_leaving()
        why = self._replicas_due(leadership)
        change = self._voters_due(leadership)
        if change is not None:
            self.elections.stand(change.why, change.voters)
        elif why:
            self.elections.stand(why)

    def _replicas_due(self, leadership: Leadership) -> str:
        """Why other machines are to hold the copies; empty where they are not."""
        view, role = leadership.view, self._role
        late = [name for name in view.replicas if self._is_late(name, leadership)]
        leaving = [name for name in view.replicas if name in role.leaving]
        free = [name for name in view.voters if self._is_free(name, leadership)]
        if late and free:
            for name in late:
                role.shunned[name] = self._context.now + SHUN_S
            return f"{', '.join(late)} is silent"
        if leaving and free:
            return f"{', '.join(leaving)} is about to end"
        if leadership.pending is None and not late and self._abroad(leadership, free):
            return "all copies are in one zone"
        return ""

    def _is_late(self, name: str, leadership: Leadership) -> bool:
        now, pending = self._context.now, leadership.pending
        if now - leadership.heard.get(name, NEVER) > REPLICA_S:
            return True
        return pending is not None and name not in pending.there and now - pending.since > REPLICA_S

    def _is_free(self, name: str, leadership: Leadership) -> bool:
        """A voter that may hold a copy in the place of another."""
        acked = self._context.now - leadership.acked.get(name, NEVER) < LEASE_S
        return acked and name not in leadership.view.replica_set and name not in self._role.leaving

    def _abroad(self, leadership: Leadership, free: list[str]) -> bool:
        """Whether all copies are in one zone, and a voter of another one has been there for long enough."""
        view, now = leadership.view, self._context.now
        zones = {view.voters[name] for name in view.replica_set if name in view.voters}
        if len(zones) > 1:
            return False
        return any(
            view.voters[name] not in zones
            and now - leadership.steady.get(name, now) > ABROAD_S
            and self._role.shunned.get(name, NEVER) < now
            for name in free
        )

    def _voters_due(self, leadership: Leadership) -> membership.VoterChange | None:
        now, view = self._context.now, leadership.view
        if leadership.pending is not None and self._context.now - leadership.pending.since < REPLICA_S:
            return None  # the change first, if it can be kept
        if now - leadership.voters_since < SETTLE_S:
            return None
        silent = {voter: now - leadership.heard.get(voter, NEVER) for voter in view.voters if voter != self._context.me}
        learners = {name: each for name, each in self._joining.learners.steady().items() if self._caught_up(each)}
        watch = membership.Watch(self._context.me, silent, set(self._role.leaving), learners)
        change = membership.next_voters(view.voters, watch)
        return change if change is not None and self._can_decide(change, leadership) else None

    def _can_decide(self, change: membership.VoterChange, leadership: Leadership) -> bool:
        """Whether majorities of the voters before and after are there."""
        now = self._context.now
        there = {name for name, at in leadership.heard.items() if now - at < LEASE_S}
        there |= self._joining.learners.present().keys()
        after = change.voters.keys() & there
        return leadership.view.has_majority(there) and len(after) > len(change.voters) // 2

    def _caught_up(self, learner: Learner) -> bool:
        replica = self._durable.replica
        return replica.follows(learner.position) and replica.position.number - learner.position.number <= LAG_MOST

    def _forget_leaving(self) -> None:
        now, leaving = self._context.now, self._role.leaving
        for name in [name for name, at in leaving.items() if now - at > 4 * RETRY_S]:
            del leaving[name]

    def on_leaving(self, sender: str, message: Leaving) -> None:
        """A voter's process is about to end."""
        self._role.leaving[sender] = self._context.now
        if self._role.holds_lease(self._context.now):
            self.lead()

    def on_step_down(self, sender: str, message: StepDown) -> None:
        """The leader leads no more: whoever holds its copy stands at once."""
        role, view = self._role, self._durable.view
        if message.leaving:
            role.leaving[sender] = self._context.now
        if view is None or view.epoch != message.epoch or view.leader != sender:
            return
        role.leader_heard_at = role.leader_seen_at = NEVER
        if role.eligible() and role.leadership is None and role.candidacy is None and not role.stopping:
            if view.replicas[0] == self._context.me:
                self.elections.stand("the leader has stepped down")
            else:  # all standing at once would only hinder each other
                role.stand_at = self._context.now + TURN_S * view.replica_set.index(self._context.me)

    def _mend_replicas(self, leadership: Leadership) -> None:
        """Give replicas the copy that they lost, with their disk or by a write that failed; no change may be due."""
        now, replica = self._context.now, self._durable.replica
        if leadership.pending is not None:
            return
        for name, (position, since) in leadership.behind.items():
            if now - max(since, self._installing.get(name, NEVER)) > RETRY_S:
                self._installing[name] = now
                self._context.send(name, replica.install_for(position))

    # Learners.

    def _feed_learners(self, leadership: Leadership) -> None:
        """Give learners the copy that they lack; changes follow by themselves."""
        now, replica = self._context.now, self._durable.replica
        if leadership.pending is not None:
            return
        for name, learner in self._joining.learners.present().items():
            waited = now - self._installing.get(name, NEVER)
            patience = RETRY_S if replica.follows(learner.position) else INSTALL_S
            if learner.position == replica.position or waited < patience:
                continue
            self._installing[name] = now
            self._context.send(name, replica.install_for(learner.position))

    # Answers of voters and replicas.

    def on_heartbeat_ack(self, sender: str, message: HeartbeatAck) -> None:
        """A voter has answered a heartbeat."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        leadership.acked[sender] = max(leadership.acked.get(sender, NEVER), message.sent)
        self._heard(leadership, sender)
        self._compare(leadership, sender, message.position)
        self._commit()
        self.serve()

    def _compare(self, leadership: Leadership, sender: str, position: Position) -> None:
        """Whether a replica has the leader's copy; while a change is pending it is told by that."""
        same = position == self._durable.replica.position
        if same or leadership.pending is not None or sender not in leadership.view.replicas:
            leadership.behind.pop(sender, None)
            return
        _, since = leadership.behind.get(sender, (position, self._context.now))
        leadership.behind[sender] = position, since

    def _heard(self, leadership: Leadership, sender: str) -> None:
        now = self._context.now
        if now - leadership.heard.get(sender, NEVER) > LEASE_S or sender not in leadership.steady:
            leadership.steady[sender] = now
        leadership.heard[sender] = now

    def on_deposed(self, sender: str, message: Deposed) -> None:
        """A voter has promised a higher epoch, and is lost to this leadership; a recorded one ends it."""
        leadership, now = self._role.leadership, self._context.now
        if leadership is None:
            return
        if message.view.epoch > leadership.view.epoch:
            self._role.step_down(f"epoch {message.view.epoch} has begun")
            self._durable.adopt(message.view)
            self._role.leader_heard_at = now
        elif message.epoch == leadership.view.epoch:
            # The others go on with it until it may begin anew above that promise.
            calm = leadership.pending is None and now - leadership.since > STEADY_S
            if now > leadership.expires_at() or calm:
                self._durable.promised = max(self._durable.promised, message.promised)
                self.elections.stand("a voter has promised more")

    def on_appended(self, sender: str, message: Appended) -> None:
        """A replica or learner has a change on disk."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        if message.number == self._durable.replica.position.number:
            self._has_copy(leadership, sender, self._durable.replica.position)

    def on_installed(self, sender: str, message: Installed) -> None:
        """A replica or learner has a copy on disk."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        self._installing.pop(sender, None)
        self._has_copy(leadership, sender, message.position)

    def _has_copy(self, leadership: Leadership, sender: str, position: Position) -> None:
        if sender not in leadership.view.voters:
            self._joining.learners.moved(sender, position)
            return
        self._heard(leadership, sender)
        pending = leadership.pending
        if pending is not None and sender in leadership.view.replicas and position == pending.position:
            pending.there.add(sender)
            self._commit()
            self.serve()

    def on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        """What was sent does not go on from the copy there."""
        leadership, replica = self._role.leadership, self._durable.replica
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        if sender not in leadership.view.voters:
            self._joining.learners.moved(sender, message.position)
            self._installing[sender] = self._context.now
        elif sender not in leadership.view.replicas:
            return
        self._context.send(sender, replica.install_for(message.position))

    # Changes.

    def serve(self) -> None:
        """Answer what can be answered; begin the next change."""
        leadership = self._role.leadership
        while leadership is not None and self._calls and self._may_serve(leadership):
            self._serve_one(leadership, self._calls.take())

    def _may_serve(self, leadership: Leadership) -> bool:
        current = self._role.leadership is leadership and not self._role.stopping
        return current and leadership.pending is None and self._context.now < leadership.expires_at()

    def _serve_one(self, leadership: Leadership, call: Call) -> None:
        state = self._durable.replica.state
        try:
            if isinstance(call, Read):
                self._context.answer(call.call_id, call.answer(state))
            else:
                self._serve_change(leadership, call.change(state) if isinstance(call, DeferredChange) else call)
        except ServiceError as failure:
            self._context.answer(call.call_id, failure)

    def _serve_change(self, leadership: Leadership, change: Change) -> None:
        """Keep a change, or acknowledge one that the state in force makes needless."""
        if change.is_redundant(self._durable.replica.state):
            self._context.note(Event.CHANGE_WITHOUT_EFFECT, change.description)
            self._context.answer(change.call_id, None)
        else:
            self._begin_change(leadership, change)

    def _begin_change(self, leadership: Leadership, change: Change) -> None:
        replica, now = self._durable.replica, self._context.now
        base, position = replica.position, replica.next_position()
        items = {name: (position.number, value) for name, value in change.items(replica.state).items()}
        undo = replica.apply(position, items)
        leadership.pending = Pending(change, base, position, items, undo, now, now)
        leadership.disk_since = now
        self._durable.keep_replica(items, False, partial(self._written, leadership))
        self._send_pending(leadership)
        append = Append(leadership.view.epoch, base, position, items)
        for name, learner in self._joining.learners.present().items():
            if learner.position == base:
                self._context.send(name, append)

    def _written(self, leadership: Leadership, ok: bool) -> None:
        """The leader's own disk has ended its write of the pending change."""
        pending, replica = leadership.pending, self._durable.replica
        assert pending is not None
        leadership.disk_since = None
        if ok:
            pending.here = True
            self._commit()
            self.serve()
        elif self._role.leadership is leadership and replica.position == pending.position:
            replica.revert(pending.undo)
            self._role.step_down("the disk refuses")
        else:
            replica.damaged()
            self._role.candidacy = None

    def _send_pending(self, leadership: Leadership) -> None:
        pending = leadership.pending
        assert pending is not None
        append = Append(leadership.view.epoch, pending.base, pending.position, pending.items)
        for replica in leadership.view.replicas:
            if replica not in pending.there:
                self._context.send(replica, append)

    def _repeat_pending(self, leadership: Leadership) -> None:
        pending, now = leadership.pending, self._context.now
        if pending is not None and not pending.there >= set(leadership.view.replicas) and now - pending.asked > RETRY_S:
            pending.asked = now
            self._send_pending(leadership)

    def _commit(self) -> None:
        """On all disks that it is to be on, and the lease stands: it is in force, and acknowledged."""
        leadership = self._role.leadership
        if leadership is None or leadership.pending is None:
            return
        pending = leadership.pending
        everywhere = pending.here and pending.there >= set(leadership.view.replicas)
        if not everywhere or self._context.now >= leadership.expires_at():
            return
        leadership.pending = None
        self._context.note(Event.CHANGE_COMMITTED, pending.position.number, pending.change.description)
        self._context.answer(pending.change.call_id, None)
        self._context.emit(PublishChange(pending.position.number, pending.items))
