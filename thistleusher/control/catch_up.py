"""Catch-up within an epoch: the leader updates replicas and learners that lack more than the pending change.

On its own initiative the leader sends copies only while no change is pending, so that they contain exactly the
committed state. A copy that is sent in response to a rejection may include the pending change; a replica that has
installed it has acknowledged that change.
"""

from __future__ import annotations

from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import LaggingReplica, Leadership
from thistleusher.control.replication import Replication
from thistleusher.control.role import Role
from thistleusher.control.timing import INSTALL_TIMEOUT_S, NEVER, RETRY_INTERVAL_S
from thistleusher.transport.messages import Installed, InstallRejected, Position


class CatchUp:
    """One node's updates of other machines' copies while it leads."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, replication: Replication
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._replication = replication
        self._sent_at: dict[str, float] = {}  # machine -> when it was sent a copy that it has not acknowledged yet

    def restart(self) -> None:
        """Reset for a new leadership."""
        self._sent_at = {}

    def update_lagging(self, leadership: Leadership, sender: str, position: Position) -> None:
        """Update `Leadership.lagging` from the position of a replica's copy.

        While a change is pending, no replica counts as lagging: one that lacks earlier changes rejects the pending one.
        """
        same = position == self._durable.state_copy.position
        if same or leadership.pending is not None or sender not in leadership.view.replicas:
            leadership.lagging.pop(sender, None)
            return
        known = leadership.lagging.get(sender)
        since = known.differs_since if known is not None else self._context.now
        leadership.lagging[sender] = LaggingReplica(position, since)

    def repair_replicas(self, leadership: Leadership) -> None:
        """Send the copy to replicas that lost theirs with their disk or in a failed write."""
        now, state_copy = self._context.now, self._durable.state_copy
        if leadership.pending is not None:
            return
        for name, lagging in leadership.lagging.items():
            if now - max(lagging.differs_since, self._sent_at.get(name, NEVER)) > RETRY_INTERVAL_S:
                self._sent_at[name] = now
                self._context.send(name, state_copy.install_for(lagging.position))

    def update_learners(self, leadership: Leadership) -> None:
        """Send the copy to learners that lack it. They receive later changes as these are made."""
        now, state_copy = self._context.now, self._durable.state_copy
        if leadership.pending is not None:
            return
        for name, learner in self._joining.learners.present().items():
            waited_s = now - self._sent_at.get(name, NEVER)
            timeout_s = RETRY_INTERVAL_S if state_copy.has_changes_since(learner.position) else INSTALL_TIMEOUT_S
            if learner.position == state_copy.position or waited_s < timeout_s:
                continue
            self._sent_at[name] = now
            self._context.send(name, state_copy.install_for(learner.position))

    def on_installed(self, sender: str, message: Installed) -> None:
        """Handle the acknowledgement that a replica or learner has a copy on disk."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        self._sent_at.pop(sender, None)
        self._replication.record_copy(leadership, sender, message.position)

    def on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        """Send a replica or learner an update from the position that it reports."""
        leadership, state_copy = self._role.leadership, self._durable.state_copy
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        if sender not in leadership.view.voters:
            self._joining.learners.record_position(sender, message.position)
            self._sent_at[sender] = self._context.now
        elif sender not in leadership.view.replicas:
            return
        self._context.send(sender, state_copy.install_for(message.position))
