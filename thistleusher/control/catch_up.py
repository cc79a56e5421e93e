"""How a leader brings replicas and learners of its epoch up to date that lack more than the pending change.

Unasked, copies are sent only while no change is pending: they then hold exactly what is in force. One that answers a
rejection may hold the pending change too; a replica that has installed it has acknowledged that change.
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
    """One node's copies to others, while it leads."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, replication: Replication
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._replication = replication
        self._sent_at: dict[str, float] = {}  # machine -> when a copy was sent that it has not acknowledged

    def restart(self) -> None:
        """Begin anew with a leadership."""
        self._sent_at = {}

    def compare(self, leadership: Leadership, sender: str, position: Position) -> None:
        """Keep `lagging` up to date by the position of a replica's copy.

        While a change is pending nobody counts as lagging: a replica that lacks more answers the change by a rejection.
        """
        same = position == self._durable.state_copy.position
        if same or leadership.pending is not None or sender not in leadership.view.replicas:
            leadership.lagging.pop(sender, None)
            return
        known = leadership.lagging.get(sender)
        since = known.since if known is not None else self._context.now
        leadership.lagging[sender] = LaggingReplica(position, since)

    def repair_replicas(self, leadership: Leadership) -> None:
        """Send replicas the copy that they lost with their disk or by a failed write."""
        now, state_copy = self._context.now, self._durable.state_copy
        if leadership.pending is not None:
            return
        for name, lagging in leadership.lagging.items():
            if now - max(lagging.since, self._sent_at.get(name, NEVER)) > RETRY_INTERVAL_S:
                self._sent_at[name] = now
                self._context.send(name, state_copy.install_for(lagging.position))

    def feed_learners(self, leadership: Leadership) -> None:
        """Send learners the copy that they lack; later changes reach them as they are made."""
        now, state_copy = self._context.now, self._durable.state_copy
        if leadership.pending is not None:
            return
        for name, learner in self._joining.learners.present().items():
            waited_s = now - self._sent_at.get(name, NEVER)
            timeout_s = RETRY_INTERVAL_S if state_copy.follows(learner.position) else INSTALL_TIMEOUT_S
            if learner.position == state_copy.position or waited_s < timeout_s:
                continue
            self._sent_at[name] = now
            self._context.send(name, state_copy.install_for(learner.position))

    def on_installed(self, sender: str, message: Installed) -> None:
        """Take note that a replica or learner has a copy on disk."""
        leadership = self._role.leadership
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        self._sent_at.pop(sender, None)
        self._replication.record_copy(leadership, sender, message.position)

    def on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        """Send a replica or learner what its copy lacks, from where it says that its copy is."""
        leadership, state_copy = self._role.leadership, self._durable.state_copy
        if leadership is None or message.epoch != leadership.view.epoch:
            return
        if sender not in leadership.view.voters:
            self._joining.learners.record_position(sender, message.position)
            self._sent_at[sender] = self._context.now
        elif sender not in leadership.view.replicas:
            return
        self._context.send(sender, state_copy.install_for(message.position))
