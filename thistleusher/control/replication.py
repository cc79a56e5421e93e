"""Replication by the leader: a change is written to its own disk and to all replicas, then committed and acknowledged.

Guarantee: a change is acknowledged only once it is on the disks of the leader and of all replicas of the current epoch,
and only if the lease is valid at the time of the input that completes it. One change is pending at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Change, PublishChange
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import Leadership, PendingChange
from thistleusher.control.role import Role
from thistleusher.control.timing import RETRY_INTERVAL_S
from thistleusher.transport.messages import Append, Appended, Position


class Replication:
    """One node's replication of changes while it leads."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, serve: Callable[[], None]
    ) -> None:
        """Create the replication; `serve` serves waiting calls, and is called after each possible commit."""
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._serve = serve

    def begin_change(self, leadership: Leadership, change: Change) -> None:
        """Apply a change in memory, write it to disk, and send it to the replicas and to up-to-date learners."""
        state_copy, now = self._durable.state_copy, self._context.now
        base = state_copy.position
        position = state_copy.next_position()
        items = {name: (position.number, value) for name, value in change.items(state_copy.state).items()}
        undo = state_copy.apply(position, items)
        leadership.pending = PendingChange(change, base, position, items, undo, begun_at=now, sent_at=now)
        leadership.own_write_since = now
        self._durable.write_state_copy(items, False, partial(self._own_write_ended, leadership))
        self._send_pending(leadership)
        append = Append(leadership.view.epoch, base, position, items)
        for name, learner in self._joining.learners.present().items():
            if learner.position == base:
                self._context.send(name, append)

    def _own_write_ended(self, leadership: Leadership, ok: bool) -> None:
        pending, state_copy = leadership.pending, self._durable.state_copy
        assert pending is not None
        leadership.own_write_since = None
        if ok:
            pending.on_own_disk = True
            self.commit_and_serve()
        elif self._role.leadership is leadership and state_copy.position == pending.position:
            # Replicas may have the change, and a later leader may commit it. This machine's disk lacks it, so the copy
            # in memory reverts to the position before it.
            state_copy.revert(pending.undo)
            self._role.step_down("a disk write failed")
        else:
            state_copy.mark_damaged()
            self._role.candidacy = None

    def _send_pending(self, leadership: Leadership) -> None:
        pending = leadership.pending
        assert pending is not None
        append = Append(leadership.view.epoch, pending.base, pending.position, pending.items)
        for name in leadership.view.replicas:
            if name not in pending.on_replicas:
                self._context.send(name, append)

    def repeat_pending(self, leadership: Leadership) -> None:
        """Send the pending change again to replicas that have not acknowledged it within `RETRY_INTERVAL_S`."""
        pending, now = leadership.pending, self._context.now
        if pending is None or pending.on_replicas >= set(leadership.view.replicas):
            return
        if now - pending.sent_at > RETRY_INTERVAL_S:
            pending.sent_at = now
            self._send_pending(leadership)

    def on_appended(self, sender: str, message: Appended) -> None:
        """Handle the acknowledgement that a replica or learner has a change on disk."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        if message.number == self._durable.state_copy.position.number:
            self.record_copy(leadership, sender, self._durable.state_copy.position)

    def record_copy(self, leadership: Leadership, sender: str, position: Position) -> None:
        """Record that a machine's copy on disk is at `position`; commit the pending change if all replicas have it."""
        if sender not in leadership.view.voters:
            self._joining.learners.record_position(sender, position)
            return
        leadership.record_heard(sender, self._context.now)
        pending = leadership.pending
        if pending is not None and sender in leadership.view.replicas and position == pending.position:
            pending.on_replicas.add(sender)
            self.commit_and_serve()

    def commit_and_serve(self) -> None:
        """Commit the pending change if it is on all required disks, and serve the next calls."""
        self._commit_if_replicated()
        self._serve()

    def _commit_if_replicated(self) -> None:
        leadership = self._role.leadership
        if leadership is None or leadership.pending is None:
            return
        pending = leadership.pending
        everywhere = pending.on_own_disk and pending.on_replicas >= set(leadership.view.replicas)
        if not everywhere or self._context.now >= leadership.expires_at():
            return
        leadership.pending = None
        self._context.log(Event.CHANGE_COMMITTED, pending.position.number, pending.change.description)
        self._context.answer(pending.change.call_id, None)
        self._context.emit(PublishChange(pending.position.number, pending.items))
