"""The ways in which a machine becomes a voter: as a founder, after the loss of its disk, or as a learner.

A machine whose disk is empty and that is not founding has *lost its state*: it may have promised or acknowledged
anything. It casts no vote until it has the status of so many voters that no majority could have decided without at
least one of them. A machine without a vote becomes *ready to vote* once a majority of the voters has sent its status:
it then knows the highest promise that may count.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.founding_view import FOUNDING_POSITION, is_founding
from thistleusher.control.interface import Records
from thistleusher.control.learners import Learners
from thistleusher.control.role import Role
from thistleusher.control.timing import FOUNDING_REPORT_INTERVAL_S, RETRY_INTERVAL_S
from thistleusher.transport.messages import FounderAnnouncement, Status, StatusRequest, ViewRecord


class Founder(NamedTuple):
    """A machine that takes part in founding the system: its zone, and when this process first heard it."""

    zone: str
    first_heard_at: float


class Joining:
    """One node's own steps to become a voter, and its answers to other machines that want to become voters."""

    def __init__(self, context: Context, durable: DurableState, role: Role) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self.state_lost = durable.view is None
        self.ready_to_vote = False
        self.founders = {context.me: Founder(context.zone, context.now)}
        self.corrected_zones: dict[str, str] = {}  # voter -> its zone, if the view has another one for it
        self.learners = Learners(context)
        self._statuses: dict[str, Status] = {}  # machine -> its latest status, while this node is not a voter
        self._next_request_at = context.now
        self._next_report_at = context.now + FOUNDING_REPORT_INTERVAL_S

    @property
    def founding(self) -> bool:
        """Whether this machine is a founder that knows of no epoch yet."""
        return is_founding(self._durable.view)

    @property
    def is_voter(self) -> bool:
        """Whether this machine is a voter in the newest view that it knows."""
        view = self._durable.view
        return not self.founding and not self.state_lost and view is not None and self._context.me in view.voters

    def known_peers(self) -> list[str]:
        """Return the addresses of all machines of the core that are known, except this one."""
        view = self._durable.view
        voters = view.voters if view is not None else {}
        return sorted({*self._context.seeds, *self._context.known_machines, *voters} - {self._context.me})

    def record_membership(self, is_voter: bool) -> None:
        """Record whether this machine is a voter in a view that it records."""
        if is_voter:
            self.state_lost = False
            self.ready_to_vote = False

    # Founding.

    def announce_founder(self) -> None:
        """Announce this founder to all seeds, at most once in `RETRY_INTERVAL_S`."""
        if self._context.now < self._next_request_at:
            return
        self._next_request_at = self._context.now + RETRY_INTERVAL_S
        seeds = self._durable.view.voters if self._durable.view is not None else {}
        for seed in sorted({*self._context.seeds, *seeds} - {self._context.me}):
            self._context.send(seed, FounderAnnouncement(self._context.zone))

    def on_founder_announcement(self, sender: str, message: FounderAnnouncement) -> None:
        """Record another founder, or answer with the status if the system has already been founded."""
        view = self._durable.view
        if self.founding:
            self.founders.setdefault(sender, Founder(message.zone, self._context.now))
            if view is not None and sender not in view.voters:  # it may hold a copy in the first epoch
                self.learners.record_heard(sender, message.zone, FOUNDING_POSITION, promised=0)
        elif view is not None and not self.state_lost:
            if view.voters.get(sender, message.zone) != message.zone:
                self.corrected_zones[sender] = message.zone
            self.send_status(sender)

    def correct_zone(self, leader: str, view: ViewRecord) -> None:
        """Tell the leader this machine's zone if its view has another: it was founded before this machine was heard."""
        if view.voters.get(self._context.me, self._context.zone) != self._context.zone:
            self._context.send(leader, FounderAnnouncement(self._context.zone))

    # Status requests of a machine that has lost its state or has no vote.

    def request_status(self) -> None:
        """Ask all known machines of the core for their status, at most once in `RETRY_INTERVAL_S`."""
        if self.state_lost:
            self.report_waiting(Event.STATE_LOST, self._statuses, "no machine")
        if self._context.now < self._next_request_at:
            return
        self._next_request_at = self._context.now + RETRY_INTERVAL_S
        position, promised = self._durable.position, self._durable.promised
        for peer in self.known_peers():
            self._context.send(peer, StatusRequest(self._context.zone, self.ready_to_vote, position, promised))

    def report_waiting(self, event: Event, machines: Iterable[str], none: str) -> None:
        """Log now and then that this machine cannot vote yet, with the names of machines, or `none`."""
        if self._context.now < self._next_report_at:
            return
        self._next_report_at = self._context.now + FOUNDING_REPORT_INTERVAL_S
        self._context.log(event, ", ".join(sorted(machines)) or none)

    def on_status(self, sender: str, message: Status) -> None:
        """Handle the status of another machine."""
        if message.leader_heard:
            self._role.leader_seen_at = self._context.now
            if sender == message.view.leader:
                self._role.confirmed_epoch = max(self._role.confirmed_epoch, message.view.epoch)
        if not self.state_lost:
            self._durable.adopt_view(message.view)
            if self.is_voter:
                return
        self._context.known_machines.update(message.view.voters)
        self._statuses[sender] = message
        self._evaluate_statuses()

    def _evaluate_statuses(self) -> None:
        """Become ready to vote, or a voter again, if enough machines have sent their status."""
        newest = max((status.view for status in self._statuses.values()), key=lambda view: view.epoch)
        answered = [name for name in self._statuses if name in newest.electorate and name != self._context.me]
        if self._context.me not in newest.voters:
            self._durable.adopt_view(newest)
            if newest.has_quorum(answered):
                self.ready_to_vote = True
                self._durable.promised = max(self._durable.promised, self._highest_promise())
                self._statuses = {}
        elif len(newest.voters.keys() & set(answered)) >= len(newest.voters) - newest.majority + 1:
            self._restore(newest)

    def _highest_promise(self) -> int:
        return max(status.promised for status in self._statuses.values())

    def _restore(self, newest: ViewRecord) -> None:
        """Write the newest view and promise to disk. Once they are on disk, this machine may vote again.

        No majority could have decided without one of the machines that answered. A copy on this machine's disk is kept:
        a copy of the newest epoch was installed before the epoch's view could be recorded.
        """
        durable = self._durable
        durable.promised = max(durable.promised, self._highest_promise())
        durable.adopt_view(newest)
        self._role.leader_heard_at = self._context.now
        self._statuses = {}
        durable.write(Records(promised=durable.promised, view=newest), partial(self._restored, newest))

    def _restored(self, newest: ViewRecord, ok: bool) -> None:
        if not ok:
            return
        self.state_lost = False
        self._durable.mark_view_recorded(newest.epoch)
        self._durable.log_view(newest)

    # Answers to status requests.

    def on_status_request(self, sender: str, message: StatusRequest) -> None:
        """Answer a machine without a vote, and record it as a learner if it is ready to vote."""
        view = self._durable.view
        if view is None or self.state_lost or self.founding:
            return
        self.send_status(sender)
        if sender in view.voters:
            self.learners.remove(sender)
        elif message.ready:
            self.learners.record_heard(sender, message.zone, message.position, message.promised)

    def send_status(self, destination: str) -> None:
        """Send this machine's status to another machine."""
        view = self._durable.view
        if view is None:
            return
        leader_heard = self._role.holds_lease(self._context.now) or self._role.leader_seen()
        self._context.send(destination, Status(view, self._durable.promised, leader_heard))
