"""The voter's side of the protocol: votes for candidates, records of views, and answers to a leader's heartbeats.

A promise is on disk before the vote is sent, and each epoch is promised to one candidate only. A voter that has heard
a leader votes for no other machine for `VOTER_GUARD_S`, which is longer than the leader's lease.
"""

from __future__ import annotations

from functools import partial

from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import VOTE_YIELD_MIN_S
from thistleusher.transport.messages import (
    Deposed,
    Heartbeat,
    HeartbeatAck,
    RecordView,
    ViewRecord,
    ViewRecorded,
    Vote,
    VoteRejected,
    VoteRequest,
)


class Voting:
    """One node's handling of messages to a voter."""

    def __init__(self, context: Context, durable: DurableState, role: Role, joining: Joining) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._recording_epoch: int | None = None  # epoch of the view that is being written to disk

    # Candidates.

    def on_vote_request(self, sender: str, message: VoteRequest) -> None:
        """Vote for a candidate's epoch, or reject it."""
        durable, role = self._durable, self._role
        if durable.view is None or self._joining.state_lost:
            return
        durable.adopt_view(message.view)
        view = durable.view
        if self._context.me not in view.electorate or sender not in view.voters:
            self._reject(sender, message, view)
        elif message.epoch == durable.promised and sender == role.voted_for:
            if role.vote_on_disk:  # the first answer was lost; before that, the answer follows the write
                self._send_vote(sender, message.epoch, view)
        elif message.epoch <= durable.promised or self._supports_other_leader(sender, view):
            self._reject(sender, message, view)
        else:
            self._promise(sender, message.epoch, view)

    def _supports_other_leader(self, sender: str, view: ViewRecord) -> bool:
        guarded = self._role.guards_leader() and sender != view.leader
        return guarded or self._role.holds_lease(self._context.now)

    def _promise(self, sender: str, epoch: int, view: ViewRecord) -> None:
        role = self._role
        role.candidacy = None
        role.promise(epoch, Records(), partial(self._promised, sender, epoch, view))
        role.voted_for = sender
        # Leave the candidate the time that its attempt takes on slow networks and disks: an immediate candidacy of this
        # machine would end it.
        role.postpone_candidacy(VOTE_YIELD_MIN_S, VOTE_YIELD_MIN_S)

    def _promised(self, sender: str, epoch: int, view: ViewRecord) -> None:
        self._role.vote_on_disk = True
        self._send_vote(sender, epoch, view)

    def _send_vote(self, sender: str, epoch: int, view: ViewRecord) -> None:
        self._context.send(sender, Vote(epoch, view, self._durable.state_copy.position))

    def _reject(self, sender: str, message: VoteRequest, view: ViewRecord) -> None:
        self._context.send(sender, VoteRejected(message.epoch, self._durable.promised, view))

    # Views.

    def on_record_view(self, sender: str, message: RecordView) -> None:
        """Record a view on disk at its candidate's request."""
        self._record_view(sender, message.view)

    def _record_view(self, sender: str, view: ViewRecord) -> None:
        """Write a view to disk and acknowledge it. A machine that the view removes from the voters records it too."""
        durable, role, me = self._durable, self._role, self._context.me
        if view.epoch < durable.promised or not self._may_record(view):
            return
        if durable.recorded_epoch == view.epoch == durable.promised:
            self._context.send(sender, ViewRecorded(view.epoch))
            return
        if self._recording_epoch == view.epoch == durable.promised:
            return  # the answer follows the write
        role.candidacy = None
        self._recording_epoch = view.epoch
        durable.view = view
        self._context.known_machines.update(view.voters)
        self._joining.record_membership(me in view.voters)
        role.record_leader_heard(view.leader)
        recorded = partial(self._recorded, sender, view.epoch)
        role.promise(view.epoch, Records(view=view), recorded, self._record_failed)
        durable.log_view(view)

    def _recorded(self, sender: str, epoch: int) -> None:
        self._durable.mark_view_recorded(epoch)
        self._context.send(sender, ViewRecorded(epoch))

    def _record_failed(self) -> None:
        self._recording_epoch = None

    def _may_record(self, view: ViewRecord) -> bool:
        """Return whether this machine may record a view.

        A voter may, even if the view removes it. A machine without a vote may if it is a voter of the view and knows
        the highest promise.
        """
        if self._joining.state_lost:
            return self._joining.ready_to_vote and self._context.me in view.voters
        known = self._durable.view
        was_voter = known is not None and self._context.me in known.electorate
        return was_voter or self._context.me in view.voters

    # Heartbeats.

    def on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        """Answer the leader of an epoch, or depose it if this machine has promised a higher epoch."""
        durable, role, view = self._durable, self._role, message.view
        if self._joining.state_lost and not self._joining.ready_to_vote:
            return
        if view.epoch < durable.promised:
            self._depose(sender, view)
            return
        if self._context.me not in view.voters:
            durable.adopt_view(view)
            return
        self._joining.correct_zone(sender, view)
        role.record_leader_heard(sender)
        role.confirmed_epoch = max(role.confirmed_epoch, view.epoch)
        if durable.view is not None and durable.view.epoch == view.epoch:
            durable.confirm_view()
        if message.in_contact:
            role.contact_at = self._context.now
        if durable.recorded_epoch < view.epoch:
            self._record_view(sender, view)
        self._context.send(sender, HeartbeatAck(view.epoch, message.sent, durable.state_copy.position))

    def _depose(self, sender: str, view: ViewRecord) -> None:
        durable = self._durable
        if durable.view is None:
            return
        durable.adopt_view(view)
        if view.epoch >= durable.view.epoch:
            # This machine has promised a higher epoch, but knows of none that has begun: that leader still answers
            # callers.
            self._role.leader_seen_at = self._context.now
        self._context.send(sender, Deposed(view.epoch, durable.promised, durable.view))
