"""The first stages of a candidacy: the candidate requests votes and counts them; `view_change` runs the later stages.

Guarantees: an epoch begins only once a majority of the previous voters and a majority of its own voters have its view
on disk, and all of its replicas have its view and its leader's complete copy on disk. Only a holder of the newest view
that the voting majority knows may begin it. Every leader therefore has all changes that were ever acknowledged.

Any epoch may therefore replace voters. A candidate that does not know of such an epoch still asks the old voters. Its
majority of them and the majority that records the new view share at least one voter. If that voter recorded the new
view first, it sends the view with its vote. If it promised the candidate's epoch first, it does not record the new
view, which then gets no majority.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control import membership
from thistleusher.control.candidacy import Candidacy, Stage
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import (
    ABANDONED_RETRY_DELAY_S,
    ABANDONED_RETRY_JITTER_S,
    BETTER_REPLICA_WAIT_S,
    CANDIDACY_TIMEOUT_S,
    LATE_VOTER_EXCLUSION_S,
    REJECTED_RETRY_DELAY_S,
    REJECTED_RETRY_JITTER_S,
    RENEWAL_BETTER_REPLICA_WAIT_S,
    RETRY_INTERVAL_S,
    VOTER_GUARD_S,
)
from thistleusher.control.view_change import ViewChange
from thistleusher.transport.messages import ViewRecord, Vote, VoteRejected, VoteRequest


class Elections:
    """One node's candidacies."""

    def __init__(
        self,
        context: Context,
        durable: DurableState,
        role: Role,
        joining: Joining,
        on_elected: Callable[[Candidacy], None],
    ) -> None:
        """Create the elections; `on_elected` is called with each candidacy that succeeds."""
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self.view_change = ViewChange(context, durable, role, joining, on_elected)

    # Candidacies.

    def start_candidacy(self, reason: str, voters: Mapping[str, str] | None = None) -> None:
        """Become a candidate for the next epoch. `voters` (address -> zone) replaces the voters, None keeps them."""
        durable, role = self._durable, self._role
        assert durable.view is not None
        epoch = max(durable.promised, durable.view.epoch, self._promised_by(voters or {})) + 1
        self._context.log(Event.CANDIDACY_STARTED, epoch, reason)
        if role.leadership is not None:  # the voters still guard this leader, so they vote for it
            role.start_renewal()
        else:
            role.forget_stale_leadership()
        role.candidacy = Candidacy(epoch, durable.view, self._context.now, self._context.now, voters=voters)
        role.promise(epoch, Records(), self._begin_voting)

    def _promised_by(self, voters: Mapping[str, str]) -> int:
        """Return the highest promise of the learners among `voters`: one that was partitioned may be far ahead."""
        learners = self._joining.learners.present()
        return max((learners[name].promised for name in voters if name in learners), default=0)

    def _begin_voting(self) -> None:
        if self._role.candidacy is not None and self._role.is_current(self._role.candidacy):
            self._role.candidacy.stage = Stage.VOTE
            self._request_votes()

    def connected(self, peer: str) -> None:
        """Request a vote again over a new connection, as earlier messages to the voter may have been lost."""
        candidacy = self._role.candidacy
        if candidacy is not None and candidacy.stage is Stage.VOTE and peer not in candidacy.votes:
            self._request_votes()

    # Votes.

    def _request_votes(self) -> None:
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != self._durable.promised:
            return
        candidacy.votes[self._context.me] = self._durable.view
        for voter in candidacy.view.electorate:
            if voter not in candidacy.votes:
                self._context.send(voter, VoteRequest(candidacy.epoch, candidacy.view))

    def on_vote_rejected(self, sender: str, message: VoteRejected) -> None:
        """Abandon the candidacy if a voter has promised a higher epoch.

        A voter that rejected it only because it guards a leader may still vote later.
        """
        candidacy, durable = self._role.candidacy, self._durable
        if candidacy is None or candidacy.epoch != message.epoch:
            return
        durable.adopt_view(message.view)
        if message.promised >= candidacy.epoch:
            self._role.candidacy = None
            # This machine has given no vote in that epoch; the number goes to disk with the next promise.
            durable.promised = max(durable.promised, message.promised)
            self._role.postpone_candidacy(REJECTED_RETRY_DELAY_S, REJECTED_RETRY_JITTER_S)

    def on_vote(self, sender: str, message: Vote) -> None:
        """Count a voter's vote."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage is not Stage.VOTE:
            return
        candidacy.votes[sender] = message.view
        candidacy.positions[sender] = message.position
        self._count_votes(candidacy)

    def _count_votes(self, candidacy: Candidacy) -> None:
        """Adopt the newest view among the votes, and enter the epoch once a quorum of its electorate has voted."""
        newest = self._follow_newest_view(candidacy)
        if not newest.has_quorum(candidacy.votes):
            return
        self._enter_if_eligible(candidacy)

    def _follow_newest_view(self, candidacy: Candidacy) -> ViewRecord:
        """Adopt and return the newest view among the votes. If it was not known, request votes from its voters too."""
        newest = max((view for view in candidacy.votes.values() if view is not None), key=lambda view: view.epoch)
        self._durable.adopt_view(newest)
        if newest.epoch > candidacy.view.epoch:  # its voters may differ from those asked so far
            candidacy.view = newest
            candidacy.voters = None
            self._request_votes()
        return newest

    def _enter_if_eligible(self, candidacy: Candidacy) -> None:
        """Proceed to `Stage.ENTER`, unless the candidate waits for better replicas.

        End the candidacy if this machine lacks the state of the newest view and therefore must not lead.
        """
        if not self._role.is_eligible():
            self._role.candidacy = None
            self._role.postpone_candidacy(VOTER_GUARD_S)
            return
        if self._awaits_replicas(candidacy):
            return
        # This machine's copy must be on disk as one of the new epoch before any view names this machine as leader.
        candidacy.stage = Stage.ENTER
        self._durable.state_copy.enter_epoch(candidacy.epoch)
        self._durable.write_state_copy(None, False, partial(self._entered, candidacy))

    def _awaits_replicas(self, candidacy: Candidacy) -> bool:
        """Return whether to wait for better replicas: too few voters have answered, or all of them are in this zone.

        Once the wait is over, exclude the voters that did not answer, so that later candidacies do not wait for them.
        """
        better = self._better_replicas(candidacy)
        if not better:
            return False
        renewal = self._role.previous_leadership is not None
        wait_s = RENEWAL_BETTER_REPLICA_WAIT_S if renewal else BETTER_REPLICA_WAIT_S
        if self._context.now - candidacy.begun_at < wait_s:
            return True
        for name in better:
            self._role.excluded_until[name] = self._context.now + LATE_VOTER_EXCLUSION_S
        return False

    def _better_replicas(self, candidacy: Candidacy) -> set[str]:
        """Return the voters that have not answered and would improve the choice of replicas."""
        context, voters = self._context, candidacy.next_voters()
        unfit = self._role.excluded_replicas() | self._role.leaving.keys()
        fit = {name: zone for name, zone in voters.items() if name != context.me and name not in unfit}
        heard = candidacy.votes.keys() | self._joining.learners.present().keys()
        answered = {name: zone for name, zone in fit.items() if name in heard}
        too_few = len(answered) < membership.replica_count(len(voters), context.tolerance)
        one_zone = all(zone == context.zone for zone in answered.values())
        if not (too_few or one_zone):
            return set()
        return {name for name, zone in fit.items() if name not in answered and (too_few or zone != context.zone)}

    def _entered(self, candidacy: Candidacy, ok: bool) -> None:
        if ok and self._role.is_current(candidacy):
            self.view_change.install()

    # Time.

    def tick(self) -> None:
        """Repeat unanswered requests, and abandon the candidacy if it takes too long."""
        candidacy, now = self._role.candidacy, self._context.now
        assert candidacy is not None
        if now - candidacy.begun_at > CANDIDACY_TIMEOUT_S:
            self._role.candidacy = None
            self._role.postpone_candidacy(ABANDONED_RETRY_DELAY_S, ABANDONED_RETRY_JITTER_S)
        elif candidacy.stage is Stage.VOTE and now - candidacy.begun_at > BETTER_REPLICA_WAIT_S:
            self._count_votes(candidacy)
        if self._role.candidacy is candidacy and now - candidacy.last_request_at > RETRY_INTERVAL_S:
            candidacy.last_request_at = now
            if candidacy.stage is Stage.VOTE:
                self._request_votes()
            else:
                self.view_change.repeat(candidacy)
