"""A leader's decision to start a new epoch in order to change the replicas or the voters."""

from __future__ import annotations

from thistleusher.control import membership
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.elections import Elections
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import Leadership
from thistleusher.control.learners import Learner
from thistleusher.control.role import Role
from thistleusher.control.timing import (
    LEASE_S,
    MAX_LEARNER_LAG,
    NEVER,
    OTHER_ZONE_MIN_HEARD_S,
    REPLICA_EXCLUSION_S,
    REPLICA_TIMEOUT_S,
    RETRY_INTERVAL_S,
    VOTER_CHANGE_INTERVAL_S,
)
from thistleusher.transport.messages import ViewRecord

LEAVING_TIMEOUT_S = 4 * RETRY_INTERVAL_S  # a voter's announcement that its process is stopping expires after this time


class Reconfiguration:
    """One node's decisions on replicas and voters while it leads."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, elections: Elections
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._elections = elections

    def start_candidacy_if_due(self, leadership: Leadership) -> None:
        """Start a candidacy for the next epoch if the replicas or voters have to change."""
        self._forget_stale_leaving()
        late = [name for name in leadership.view.replicas if self._is_late(name, leadership)]
        available = [name for name in leadership.view.voters if self._is_available(name, leadership)]
        if late and available:
            self._exclude(late)
        reason = self._replica_change_reason(leadership, late, available)
        change = self._next_voter_change(leadership)
        if change is not None:
            self._elections.start_candidacy(change.reason, change.voters)
        elif reason:
            self._elections.start_candidacy(reason)

    def _forget_stale_leaving(self) -> None:
        now, leaving = self._context.now, self._role.leaving
        for name in [name for name, at in leaving.items() if now - at > LEAVING_TIMEOUT_S]:
            del leaving[name]

    # Replicas.

    def _exclude(self, late: list[str]) -> None:
        """Exclude late replicas for a while, so that the next candidacy chooses others."""
        for name in late:
            self._role.excluded_until[name] = self._context.now + REPLICA_EXCLUSION_S

    def _replica_change_reason(self, leadership: Leadership, late: list[str], available: list[str]) -> str:
        """Return the reason to choose other replicas, or an empty string if there is none.

        `late`: replicas that are late; `available`: voters that may replace a replica.
        """
        leaving = [name for name in leadership.view.replicas if name in self._role.leaving]
        if late and available:
            return f"no answer in time from {', '.join(late)}"
        if leaving and available:
            return f"{', '.join(leaving)} is stopping"
        if leadership.pending is None and not late and self._can_spread(leadership, available):
            return "all copies are in one zone"
        return ""

    def _is_late(self, name: str, leadership: Leadership) -> bool:
        """Return whether a replica is silent, or has not acknowledged the pending change in time."""
        now, pending = self._context.now, leadership.pending
        if now - leadership.last_heard.get(name, NEVER) > REPLICA_TIMEOUT_S:
            return True
        return pending is not None and name not in pending.on_replicas and now - pending.begun_at > REPLICA_TIMEOUT_S

    def _is_available(self, name: str, leadership: Leadership) -> bool:
        """Return whether a voter may replace a replica."""
        acked = self._context.now - leadership.acked.get(name, NEVER) < LEASE_S
        return acked and name not in leadership.view.replica_set and name not in self._role.leaving

    def _can_spread(self, leadership: Leadership, available: list[str]) -> bool:
        """Return whether all copies are in one zone and a voter of another zone has been heard for long enough."""
        view, now = leadership.view, self._context.now
        zones = {view.voters[name] for name in view.replica_set if name in view.voters}
        if len(zones) > 1:
            return False
        return any(
            view.voters[name] not in zones
            and now - leadership.heard_since.get(name, now) > OTHER_ZONE_MIN_HEARD_S
            and self._role.excluded_until.get(name, NEVER) < now
            for name in available
        )

    # Voters.

    def _next_voter_change(self, leadership: Leadership) -> membership.VoterChange | None:
        now, view = self._context.now, leadership.view
        if leadership.pending is not None and now - leadership.pending.begun_at < REPLICA_TIMEOUT_S:
            return None  # let the pending change be committed first
        if now - leadership.voters_since < VOTER_CHANGE_INTERVAL_S:
            return None
        last_heard, me = leadership.last_heard, self._context.me
        silent_s = {voter: now - last_heard.get(voter, NEVER) for voter in view.voters if voter != me}
        learners = {name: each for name, each in self._joining.learners.stable().items() if self._caught_up(each)}
        fewest = membership.min_voters(self._context.tolerance)
        observation = membership.Observation(me, silent_s, set(self._role.leaving), learners, fewest)
        change = self._zone_correction(view) or membership.next_voters(view.voters, observation)
        return change if change is not None and self._can_decide(change, leadership) else None

    def _zone_correction(self, view: ViewRecord) -> membership.VoterChange | None:
        """Return the voters with the zones of those that were not heard when the system was founded, if known now."""
        heard = self._joining.corrected_zones
        known = {name: zone for name, zone in heard.items() if view.voters.get(name, zone) != zone}
        if not known:
            return None
        return membership.VoterChange({**view.voters, **known}, f"the zone of {', '.join(sorted(known))} is known")

    def _can_decide(self, change: membership.VoterChange, leadership: Leadership) -> bool:
        """Return whether a majority of the voters before a change and a majority of those after it are available."""
        now = self._context.now
        present = {name for name, at in leadership.last_heard.items() if now - at < LEASE_S}
        present |= self._joining.learners.present().keys()
        after = change.voters.keys() & present
        return leadership.view.has_majority(present) and len(after) > len(change.voters) // 2

    def _caught_up(self, learner: Learner) -> bool:
        state_copy = self._durable.state_copy
        lag = state_copy.position.number - learner.position.number
        return state_copy.has_changes_since(learner.position) and lag <= MAX_LEARNER_LAG
