"""The last stages of a candidacy: the replicas install the candidate's copy and the voters record its view.

This module also sends the copy when a leader replaces a replica, as that takes a new epoch. `catch_up` sends copies
within an epoch.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control import membership
from thistleusher.control.candidacy import Candidacy, Stage
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import FOUNDING_RECORD_WAIT_S, REPLICA_EXCLUSION_S
from thistleusher.transport.messages import (
    Install,
    Installed,
    InstallRejected,
    RecordView,
    ViewRecord,
    ViewRecorded,
)


class ViewChange:
    """The last stages of one node's candidacies."""

    def __init__(
        self,
        context: Context,
        durable: DurableState,
        role: Role,
        joining: Joining,
        on_elected: Callable[[Candidacy], None],
    ) -> None:
        """Create the view change; `on_elected` is called with each candidacy that succeeds."""
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._on_elected = on_elected

    # Replicas.

    def install(self) -> None:
        """Choose the replicas of the next epoch and bring their copies up to date."""
        candidacy, context = self._role.candidacy, self._context
        if candidacy is None:
            return
        candidacy.stage = Stage.INSTALL
        candidacy.last_request_at = context.now
        voters = candidacy.next_voters()
        replicas = membership.choose_replicas(context.me, voters, context.tolerance, self._preference(candidacy))
        candidacy.chosen_replicas |= set(replicas)
        same_voters = voters.keys() == candidacy.view.voters.keys()
        # If the voters change, the previous ones stay in the electorate until the leader of the new epoch is heard.
        before = candidacy.view.previous_voters if same_voters else candidacy.view.voters
        candidacy.next_view = ViewRecord(candidacy.epoch, context.me, replicas, dict(voters), before)
        for name in replicas:
            if name not in candidacy.installed:
                self._send_copy(name, candidacy)
        self._record_if_installed()

    def _preference(self, candidacy: Candidacy) -> membership.Preference:
        return membership.Preference(
            installed=candidacy.installed,
            chosen_replicas=candidacy.chosen_replicas,
            excluded=self._role.excluded_replicas(),
            leaving=set(self._role.leaving),
            answered={*candidacy.votes, *self._joining.learners.present()},
        )

    def _send_copy(self, destination: str, candidacy: Candidacy) -> None:
        learner = self._joining.learners.present().get(destination)
        position = candidacy.positions.get(destination, learner.position if learner is not None else None)
        self._context.send(destination, self._durable.state_copy.install_for(position))

    def on_installed(self, sender: str, message: Installed) -> None:
        """Handle the acknowledgement that a replica has the copy on disk."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage is not Stage.INSTALL:
            return
        if message.position.same_change(self._durable.state_copy.position):
            candidacy.installed.add(sender)
            self._record_if_installed()

    def on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        """Send a replica an update from the position that it reports."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage is not Stage.INSTALL:
            return
        candidacy.positions[sender] = message.position
        install: Install = self._durable.state_copy.install_for(message.position)
        self._context.send(sender, install)

    # The view.

    def _record_if_installed(self) -> None:
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.next_view is None:
            return
        view = candidacy.next_view
        if not candidacy.installed >= set(view.replicas):
            return
        candidacy.stage = Stage.RECORD
        candidacy.last_request_at = candidacy.record_requested_at = self._context.now
        self._durable.write(Records(view=view, promised=candidacy.epoch), partial(self._recorded, candidacy))
        self._request_records(candidacy, view)

    def _recorded(self, candidacy: Candidacy, ok: bool) -> None:
        """Count the candidate among the machines that have the view on disk."""
        if ok and self._role.is_current(candidacy):
            self._durable.mark_view_recorded(candidacy.epoch)
            candidacy.recorded.add(self._context.me)
            self._count_records(candidacy)

    def _request_records(self, candidacy: Candidacy, view: ViewRecord) -> None:
        for voter in {**candidacy.view.electorate, **view.voters}:
            if voter not in candidacy.recorded and voter != self._context.me:
                self._context.send(voter, RecordView(view))

    def on_view_recorded(self, sender: str, message: ViewRecorded) -> None:
        """Handle the acknowledgement that a voter has the view on disk."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage is not Stage.RECORD:
            return
        candidacy.recorded.add(sender)
        self._count_records(candidacy)

    def _count_records(self, candidacy: Candidacy) -> None:
        """Begin the leadership once this machine, all replicas and both majorities have the view on disk."""
        view, recorded = candidacy.next_view, candidacy.recorded
        assert view is not None
        if not {self._context.me, *view.replicas} <= recorded:
            return
        if not (view.has_majority(recorded) and candidacy.view.has_quorum(recorded)):
            return
        if self._joining.founding:
            waited_s = self._context.now - candidacy.begun_at
            if waited_s < FOUNDING_RECORD_WAIT_S and len(recorded) < len(view.voters):
                return
            self._context.log(Event.CLUSTER_FOUNDED, ", ".join(sorted(view.voters)))
        self._durable.view = view
        self._durable.confirm_view()
        self._joining.record_membership(True)
        self._role.candidacy = None
        self._on_elected(candidacy)

    # Time.

    def repeat(self, candidacy: Candidacy) -> None:
        """Repeat unanswered requests. Replicas that did not answer are excluded for a while, and others chosen."""
        if candidacy.stage is Stage.INSTALL:
            assert candidacy.next_view is not None
            for silent in set(candidacy.next_view.replicas) - candidacy.installed:
                self._role.excluded_until[silent] = self._context.now + REPLICA_EXCLUSION_S
            self.install()
        elif candidacy.stage is Stage.RECORD:
            assert candidacy.next_view is not None
            self._request_records(candidacy, candidacy.next_view)
            if self._joining.founding:
                self._count_records(candidacy)
