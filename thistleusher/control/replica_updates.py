"""A replica's or learner's handling of copies and changes from a candidate or leader.

An acknowledgement is sent only after the write has ended, and only if no higher epoch has been promised since.
"""

from __future__ import annotations

from functools import partial

from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.transport.messages import (
    Append,
    Appended,
    Install,
    Installed,
    InstallRejected,
    Position,
    ViewRecord,
)


def _do_nothing() -> None:
    """Do nothing: the write of the copy, which follows the promise, has its own callback."""


class ReplicaUpdates:
    """One node's handling of messages to a replica or learner."""

    def __init__(self, context: Context, durable: DurableState, role: Role, joining: Joining) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining

    # Copies.

    def on_install(self, sender: str, message: Install) -> None:
        """Install a complete copy, or the changes that this machine's copy lacks, from a candidate or the leader."""
        state_copy = self._durable.state_copy
        if not self._may_install(sender, message):
            return
        if message.base is None:
            state_copy.install(message.position, message.floor, message.items)
        elif state_copy.position == message.base:
            state_copy.apply(message.position, message.items)
        elif state_copy.position != message.position:
            self._context.send(sender, InstallRejected(message.epoch, state_copy.position))
            return
        self._write_installed(sender, message)

    def _may_install(self, sender: str, message: Install) -> bool:
        """Return whether this machine accepts a copy from its sender."""
        joining, view = self._joining, self._durable.view
        below_promise = message.epoch < self._durable.promised
        if view is not None and joining.founding:  # the sender is a seed: only seeds are candidates for the first epoch
            return sender in view.voters and not below_promise
        if view is None or (joining.state_lost and not joining.ready_to_vote):
            return False
        if self._context.me not in view.voters:
            return joining.ready_to_vote and self._is_from_leader_or_candidate(sender, message, view)
        if below_promise:
            return False
        if view.epoch == message.epoch:
            return sender == view.leader and self._context.me in view.replicas
        return view.epoch < message.epoch

    @staticmethod
    def _is_from_leader_or_candidate(sender: str, message: Install, view: ViewRecord) -> bool:
        """Return whether a learner accepts a copy. Its promise does not matter: its copy has no effect on decisions."""
        if view.epoch == message.epoch:
            return sender == view.leader
        return view.epoch < message.epoch

    def _write_installed(self, sender: str, message: Install) -> None:
        durable, position = self._durable, message.position
        records = Records(
            view=self._view_of_learner(),
            position=position,
            floor=durable.state_copy.state.floor,
            items=message.items,
            complete=message.base is None,
        )
        if durable.view is None or message.epoch > durable.view.epoch:
            self._role.candidacy = None
            if message.epoch > durable.promised:
                self._role.promise(message.epoch, Records(), _do_nothing)
        durable.write(records, partial(self._installed, sender, message.epoch, position))

    def _view_of_learner(self) -> ViewRecord | None:
        """Return the view that a learner writes with its copy, so that a restart does not count as a loss of state."""
        view = self._durable.view
        return view if view is not None and self._context.me not in view.voters else None

    def _installed(self, sender: str, epoch: int, position: Position, ok: bool) -> None:
        durable = self._durable
        if not ok:
            durable.state_copy.mark_damaged()
            durable.log_write_failure("a copy")
        elif self._may_acknowledge(epoch):
            self._context.send(sender, Installed(epoch, position))

    # Changes.

    def on_append(self, sender: str, message: Append) -> None:
        """Apply a change from the leader."""
        durable, view = self._durable, self._durable.view
        if view is None or view.epoch != message.epoch or view.leader != sender:
            return
        if not self._accepts_changes(view):
            return
        position = durable.state_copy.position
        if position == message.position:  # a repeat: acknowledge it after the write that is under way
            durable.write(Records(), partial(self._appended, sender, message))
        elif position != message.base:
            self._context.send(sender, InstallRejected(message.epoch, position))
        else:
            durable.state_copy.apply(message.position, message.items)
            durable.write_state_copy(message.items, False, partial(self._appended, sender, message))

    def _accepts_changes(self, view: ViewRecord) -> bool:
        """Return whether this machine is a learner, or a replica with the view on disk and no higher promise."""
        durable = self._durable
        if self._context.me in view.voters:
            return self._context.me in view.replicas and durable.recorded_epoch == view.epoch == durable.promised
        return self._joining.ready_to_vote

    def _appended(self, sender: str, message: Append, ok: bool) -> None:
        durable = self._durable
        if not ok:
            durable.state_copy.mark_damaged()
            durable.log_write_failure("a change")
        elif self._may_acknowledge(message.epoch):
            self._context.send(sender, Appended(message.epoch, message.position.number))

    def _may_acknowledge(self, epoch: int) -> bool:
        """Return whether a write of an epoch may be acknowledged: no higher epoch has been promised since."""
        durable = self._durable
        learner = durable.view is not None and self._context.me not in durable.view.voters
        return durable.state_copy.epoch == epoch and (learner or durable.promised <= epoch)
