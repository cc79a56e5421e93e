"""What a voter or learner answers: to candidates, to the record of a view, to a leader's copies and heartbeats.

A promise is on disk before it is told, and given to one candidate an epoch. A voter that has heard a leader helps
nobody else for `GUARD_S`, which is longer than the leader's lease.
"""

from __future__ import annotations

from functools import partial

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import YIELD_S
from thistleusher.transport.messages import (
    Append,
    Appended,
    Deposed,
    Heartbeat,
    HeartbeatAck,
    Install,
    Installed,
    InstallRejected,
    Position,
    RecordView,
    ViewRecord,
    ViewRecorded,
    Vote,
    VoteRejected,
    VoteRequest,
)


def _nothing() -> None:
    """Nothing follows from a promise that another write goes with."""


class Voting:
    """One node's."""

    def __init__(self, context: Context, durable: Durable, role: Role, joining: Joining) -> None:
        self._context, self._durable, self._role, self._joining = context, durable, role, joining
        self._recording: int | None = None  # the epoch of the view that is being written

    # Candidates.

    def on_vote_request(self, sender: str, message: VoteRequest) -> None:
        """A candidate asks for an epoch."""
        durable, role = self._durable, self._role
        if durable.view is None or self._joining.state_lost:
            return
        durable.adopt(message.view)
        view = durable.view
        if self._context.me not in view.electorate or sender not in view.voters:
            self._refuse(sender, message, view)
        elif message.epoch == durable.promised and sender == role.voted_for:
            if role.vote_told:  # its first answer was lost; else it is on its way to the disk
                self._vote(sender, message.epoch, view)
        elif message.epoch <= durable.promised or self._helps_another(sender, view):
            self._refuse(sender, message, view)
        else:
            self._promise(sender, message.epoch, view)

    def _helps_another(self, sender: str, view: ViewRecord) -> bool:
        guarded = self._role.guarded() and sender != view.leader
        return guarded or self._role.holds_lease(self._context.now)

    def _promise(self, sender: str, epoch: int, view: ViewRecord) -> None:
        role = self._role
        role.candidacy = None
        role.promise(epoch, Records(), partial(self._promised, sender, epoch, view))
        role.voted_for = sender
        # The candidate gets the time that its attempt takes on slow ways and disks: to stand at once would end it.
        role.stand_at = self._context.now + YIELD_S + self._context.rng.random() * YIELD_S

    def _promised(self, sender: str, epoch: int, view: ViewRecord) -> None:
        """A promise is on disk: it may be told."""
        self._role.vote_told = True
        self._vote(sender, epoch, view)

    def _vote(self, sender: str, epoch: int, view: ViewRecord) -> None:
        self._context.send(sender, Vote(epoch, view, self._durable.replica.position))

    def _refuse(self, sender: str, message: VoteRequest, view: ViewRecord) -> None:
        self._context.send(sender, VoteRejected(message.epoch, self._durable.promised, view))

    # Views.

    def on_record_view(self, sender: str, message: RecordView) -> None:
        """A view is to be on disk."""
        self.record(sender, message.view)

    def record(self, sender: str, view: ViewRecord) -> None:
        """Write a view down and tell its leader; one that loses its vote by it records it too."""
        durable, role, me = self._durable, self._role, self._context.me
        if view.epoch < durable.promised or not self._may_record(view):
            return
        if durable.recorded == view.epoch == durable.promised:
            self._context.send(sender, ViewRecorded(view.epoch))
            return
        if self._recording == view.epoch == durable.promised:
            return  # the answer follows the write
        role.candidacy = None
        self._recording = view.epoch
        durable.view = view
        self._context.known.update(view.voters)
        self._joining.has_vote(me in view.voters)
        role.hear_leader(view.leader)
        role.promise(view.epoch, Records(view=view), partial(self._recorded, sender, view.epoch), self._not_recorded)
        self._context.note(
            Event.VIEW_ADOPTED, view.epoch, view.leader, ", ".join(view.replicas), ", ".join(sorted(view.voters))
        )

    def _recorded(self, sender: str, epoch: int) -> None:
        self._durable.recorded = max(self._durable.recorded, epoch)
        self._context.send(sender, ViewRecorded(epoch))

    def _not_recorded(self) -> None:
        self._recording = None

    def _may_record(self, view: ViewRecord) -> bool:
        """A voter may, also one that is taken out; one without a vote if it is named and knows what was promised."""
        if self._joining.state_lost:
            return self._joining.ready and self._context.me in view.voters
        known = self._durable.view
        was_voter = known is not None and self._context.me in known.electorate
        return was_voter or self._context.me in view.voters

    # Copies.

    def on_install(self, sender: str, message: Install) -> None:
        """A copy, or what this copy lacks, from a candidate or, for a learner, from the leader."""
        replica = self._durable.replica
        if not self._may_install(sender, message):
            return
        if message.base is None:
            replica.install(message.position, message.floor, message.items)
        elif replica.position == message.base:
            replica.apply(message.position, message.items)
        elif replica.position != message.position:
            self._context.send(sender, InstallRejected(message.epoch, replica.position))
            return
        self._keep_installed(sender, message)

    def _may_install(self, sender: str, message: Install) -> bool:
        """From whom a copy is taken. A learner takes it whatever it has promised, as it decides nothing by that."""
        joining, view, me = self._joining, self._durable.view, self._context.me
        promised_more = message.epoch < self._durable.promised
        if joining.founding:
            return sender in self._context.seeds and not promised_more
        if view is None or (joining.state_lost and not joining.ready):
            return False
        if me not in view.voters:
            return joining.ready and (
                sender == view.leader if view.epoch == message.epoch else view.epoch < message.epoch
            )
        if promised_more:
            return False
        if view.epoch == message.epoch:
            return sender == view.leader and me in view.replicas
        return view.epoch < message.epoch

    def _may_tell(self, epoch: int) -> bool:
        """Whether what was written under an epoch may be told to its leader: no higher one was promised since."""
        durable = self._durable
        learner = durable.view is not None and self._context.me not in durable.view.voters
        return durable.replica.epoch == epoch and (learner or durable.promised <= epoch)

    def _keep_installed(self, sender: str, message: Install) -> None:
        durable, position = self._durable, message.position
        records = Records(
            view=self._view_of_learner(),
            position=position,
            floor=durable.replica.state.floor,
            items=message.items,
            complete=message.base is None,
        )
        if durable.view is None or message.epoch > durable.view.epoch:
            self._role.candidacy = None
            if message.epoch > durable.promised:
                self._role.promise(message.epoch, Records(), _nothing)
        durable.write(records, partial(self._installed, sender, message.epoch, position))

    def _view_of_learner(self) -> ViewRecord | None:
        """The view that a learner knows goes on disk with its copy: so a later life knows that it forgot nothing."""
        view = self._durable.view
        return view if view is not None and self._context.me not in view.voters else None

    def _installed(self, sender: str, epoch: int, position: Position, ok: bool) -> None:
        """The write of a copy has ended."""
        durable = self._durable
        if not ok:
            durable.replica.damaged()
            durable.failed("a copy")
        elif self._may_tell(epoch):
            self._context.send(sender, Installed(epoch, position))

    def on_append(self, sender: str, message: Append) -> None:
        """A change from the leader."""
        durable, view = self._durable, self._durable.view
        if view is None or view.epoch != message.epoch or view.leader != sender:
            return
        if not self._takes_changes(view):
            return
        position = durable.replica.position
        if position == message.position:
            durable.write(Records(), partial(self._appended, sender, message))
        elif position != message.base:
            self._context.send(sender, InstallRejected(message.epoch, position))
        else:
            durable.replica.apply(message.position, message.items)
            durable.keep_replica(message.items, False, partial(self._appended, sender, message))

    def _takes_changes(self, view: ViewRecord) -> bool:
        """A replica that has the view on disk and promised nothing higher; or a learner."""
        durable = self._durable
        if self._context.me in view.voters:
            return self._context.me in view.replicas and durable.recorded == view.epoch == durable.promised
        return self._joining.ready

    def _appended(self, sender: str, message: Append, ok: bool) -> None:
        durable = self._durable
        if not ok:
            durable.replica.damaged()
            durable.failed("a change")
        elif self._may_tell(message.epoch):
            self._context.send(sender, Appended(message.epoch, message.position.number))

    # Heartbeats.

    def on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        """The leader of an epoch is there."""
        durable, role, view = self._durable, self._role, message.view
        if self._joining.state_lost and not self._joining.ready:
            return
        if view.epoch < durable.promised:
            self._depose(sender, view)
            return
        if self._context.me not in view.voters:
            durable.adopt(view)
            return
        role.hear_leader(sender)
        role.confirmed = max(role.confirmed, view.epoch)
        if durable.view is not None and durable.view.epoch == view.epoch:
            durable.confirm()
        if message.in_contact:
            role.contact_at = self._context.now
        if durable.recorded < view.epoch:
            self.record(sender, view)
        self._context.send(sender, HeartbeatAck(view.epoch, message.sent, durable.replica.position))

    def _depose(self, sender: str, view: ViewRecord) -> None:
        durable = self._durable
        if durable.view is None:
            return
        durable.adopt(view)
        if view.epoch >= durable.view.epoch:
            self._role.leader_seen_at = self._context.now  # it has promised more, but callers are answered there
        self._context.send(sender, Deposed(view.epoch, durable.promised, durable.view))
