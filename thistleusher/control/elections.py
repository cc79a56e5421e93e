"""How an epoch begins: a holder asks for votes, gives the replicas its copy, has the view recorded, and leads.

Guaranteed: an epoch begins only when a majority of the voters before it and a majority of its own have its view on
disk, and all of its replicas have its view and its leader's whole copy on disk; and only a holder of the newest view
that the voting majority knows may begin it. So whoever leads has everything that was ever acknowledged, and the voters
may be exchanged by any epoch: who asks the voters before it meets one that recorded the exchange and tells of it, or
one that promised first, without which the exchange never had its majority.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

from thistleusher.common.events import Event
from thistleusher.control import membership
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Candidacy, Role
from thistleusher.control.timing import (
    CANDIDACY_S,
    FOUND_S,
    GUARD_S,
    LATE_SHUN_S,
    REPLICAS_COME_S,
    REPLICAS_HEARD_S,
    RETRY_S,
    SHUN_S,
)
from thistleusher.transport.messages import (
    FounderAnnouncement,
    Install,
    Installed,
    InstallRejected,
    RecordView,
    ViewRecord,
    ViewRecorded,
    Vote,
    VoteRejected,
    VoteRequest,
)

FIRST_EPOCH = 1


class Elections:
    """One node's attempts to lead."""

    def __init__(
        self, context: Context, durable: Durable, role: Role, joining: Joining, elected: Callable[[Candidacy], None]
    ) -> None:
        """`elected` is told of a candidacy that has led to the leadership."""
        self._context, self._durable, self._role, self._joining = context, durable, role, joining
        self._elected = elected

    # Founding.

    def found(self) -> None:
        """All founders tell the first seed; it begins once all seeds have come and nobody else does."""
        joining, context = self._joining, self._context
        joining.tell_founders()
        if min(context.seeds) != context.me:
            return
        if self._role.candidacy is not None:
            self.press()
        elif self._all_have_come():
            self._begin_founding()

    def _all_have_come(self) -> bool:
        joining, context = self._joining, self._context
        joining.on_found(context.me, FounderAnnouncement(context.zone))
        newest = max(founder.since for founder in joining.founders.values())
        whole = context.seeds <= joining.founders.keys()
        return whole and context.now - context.started > FOUND_S and context.now - newest > FOUND_S / 2

    def _begin_founding(self) -> None:
        context = self._context
        voters = {name: founder.zone for name, founder in self._joining.founders.items()}
        nothing = ViewRecord(0, context.me, (), voters)
        candidacy = Candidacy(FIRST_EPOCH, nothing, context.now, context.now)
        candidacy.votes = dict.fromkeys(voters, None)
        self._role.candidacy = candidacy
        position = self._durable.replica.enter(FIRST_EPOCH)
        context.note(Event.CANDIDACY_STARTED, FIRST_EPOCH, "founding")
        records = Records(position=position, items={}, complete=True)
        self._role.promise(FIRST_EPOCH, records, self._install)

    # Standing.

    def stand(self, why: str, voters: Mapping[str, str] | None = None) -> None:
        """Ask for the next epoch, with other voters where they are given."""
        durable, role = self._durable, self._role
        assert durable.view is not None
        epoch = max(durable.promised, durable.view.epoch, self._promised_by(voters or {})) + 1
        self._context.note(Event.CANDIDACY_STARTED, epoch, why)
        if role.leadership is not None:  # its voters still guard it, and know it as the one that asks
            role.begin_anew()
        else:
            role.forget_last()
        role.candidacy = Candidacy(epoch, durable.view, self._context.now, self._context.now, voters=voters)
        role.promise(epoch, Records(), self._begin_asking)

    def _promised_by(self, voters: Mapping[str, str]) -> int:
        """What the learners among some voters have promised: one that was cut off may have stood again and again."""
        learners = self._joining.learners.present()
        return max((learners[name].promised for name in voters if name in learners), default=0)

    def connected(self, other: str) -> None:
        """A connection to another machine stands anew: what was said to it before may be lost."""
        candidacy = self._role.candidacy
        if candidacy is not None and candidacy.stage == "vote" and other not in candidacy.votes:
            self._ask()

    def _begin_asking(self) -> None:
        """The own promise is on disk."""
        if self._role.candidacy is not None and self._current(self._role.candidacy):
            self._role.candidacy.stage = "vote"
            self._ask()

    def _ask(self) -> None:
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != self._durable.promised:
            return
        candidacy.votes[self._context.me] = self._durable.view
        for voter in candidacy.view.electorate:
            if voter not in candidacy.votes:
                self._context.send(voter, VoteRequest(candidacy.epoch, candidacy.view))

    def on_vote_rejected(self, sender: str, message: VoteRejected) -> None:
        """A voter has promised more, or helps another."""
        candidacy, durable = self._role.candidacy, self._durable
        if candidacy is None or candidacy.epoch != message.epoch:
            return
        durable.adopt(message.view)
        if message.promised >= candidacy.epoch:
            self._role.candidacy = None
            durable.promised = max(durable.promised, message.promised)  # kept with the next promise; it is no vote
            self._role.stand_at = self._context.now + 0.1 + self._context.rng.random() * 0.4

    def on_vote(self, sender: str, message: Vote) -> None:
        """A voter has promised the epoch."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage != "vote":
            return
        candidacy.votes[sender] = message.view
        candidacy.positions[sender] = message.position
        self._count_votes(candidacy)

    def _count_votes(self, candidacy: Candidacy) -> None:
        """With a majority's votes: follow the newest view that it knows, if this machine holds that one's state."""
        newest = max((view for view in candidacy.votes.values() if view is not None), key=lambda view: view.epoch)
        self._durable.adopt(newest)
        if newest.epoch > candidacy.view.epoch:  # others may vote by now: they are asked too
            candidacy.view, candidacy.voters = newest, None
            self._ask()
        if not newest.has_quorum(candidacy.votes):
            return
        if not self._role.eligible():
            self._role.candidacy = None
            self._role.stand_at = self._context.now + GUARD_S + self._context.rng.random()
            return
        if self._awaits_replicas(candidacy):
            return
        candidacy.stage = "enter"
        self._durable.replica.enter(candidacy.epoch)
        self._durable.keep_replica(None, False, partial(self._entered, candidacy))

    def _awaits_replicas(self, candidacy: Candidacy) -> bool:
        """Whether those that answered are too few to hold copies for long, or of one zone, and others may answer."""
        context, voters = self._context, candidacy.voters or candidacy.view.voters
        unfit = {name for name, until in self._role.shunned.items() if until > context.now} | self._role.leaving.keys()
        fit = {name: zone for name, zone in voters.items() if name != context.me and name not in unfit}
        heard = candidacy.votes.keys() | self._joining.learners.present().keys()
        answered = {name: zone for name, zone in fit.items() if name in heard}
        few = len(answered) < membership.replica_count(len(voters), context.tolerance)
        one_zone = all(zone == context.zone for zone in answered.values())
        better = {name for name, zone in fit.items() if name not in answered and (few or zone != context.zone)}
        if not (few or one_zone) or not better:
            return False
        patience = REPLICAS_HEARD_S if self._role.last is not None else REPLICAS_COME_S
        if context.now - candidacy.since < patience:
            return True
        for name in better:
            self._role.shunned[name] = context.now + LATE_SHUN_S
        return False

    def _entered(self, candidacy: Candidacy, ok: bool) -> None:
        if ok and self._current(candidacy):
            self._install()

    def _current(self, candidacy: Candidacy) -> bool:
        """Whether an attempt goes on: nothing higher was promised since."""
        return self._role.candidacy is candidacy and candidacy.epoch == self._durable.promised

    # Replicas.

    def _install(self) -> None:
        """Choose the replicas, and give them what they lack."""
        candidacy, context = self._role.candidacy, self._context
        if candidacy is None:
            return
        candidacy.stage, candidacy.asked = "install", context.now
        voters = candidacy.voters if candidacy.voters is not None else candidacy.view.voters
        replicas = membership.choose_replicas(context.me, voters, context.tolerance, self._preference(candidacy))
        candidacy.tried |= set(replicas)
        same = voters.keys() == candidacy.view.voters.keys()
        before = candidacy.view.previous_voters if same else candidacy.view.voters
        candidacy.next = ViewRecord(candidacy.epoch, context.me, replicas, dict(voters), before)
        for replica in replicas:
            if replica not in candidacy.installed:
                self._send_copy(replica, candidacy)
        self._record_if_installed()

    def _preference(self, candidacy: Candidacy) -> membership.Preference:
        present = self._joining.learners.present()
        answered = {*candidacy.votes, *present}
        now = self._context.now
        shunned = {name for name, until in self._role.shunned.items() if until > now}
        leaving = set(self._role.leaving)
        return membership.Preference(candidacy.installed, candidacy.tried, shunned, leaving, answered)

    def _send_copy(self, to: str, candidacy: Candidacy) -> None:
        learner = self._joining.learners.present().get(to)
        position = candidacy.positions.get(to, learner.position if learner is not None else None)
        self._context.send(to, self._durable.replica.install_for(position))

    def on_installed(self, sender: str, message: Installed) -> None:
        """A replica has the copy on disk."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage != "install":
            return
        if message.position.same_change(self._durable.replica.position):
            candidacy.installed.add(sender)
            self._record_if_installed()

    def on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        """A replica's copy is elsewhere than was thought."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage != "install":
            return
        candidacy.positions[sender] = message.position
        install: Install = self._durable.replica.install_for(message.position)
        self._context.send(sender, install)

    # The view.

    def _record_if_installed(self) -> None:
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.next is None or not candidacy.installed >= set(candidacy.next.replicas):
            return
        candidacy.stage, candidacy.asked = "record", self._context.now
        candidacy.record_asked = self._context.now
        view = candidacy.next
        self._durable.write(Records(view=view, promised=candidacy.epoch), partial(self._recorded, candidacy))
        self._ask_to_record(candidacy, view)

    def _recorded(self, candidacy: Candidacy, ok: bool) -> None:
        """The candidate's own disk has ended its write of the view."""
        if ok and self._current(candidacy):
            self._durable.recorded = max(self._durable.recorded, candidacy.epoch)
            candidacy.recorded.add(self._context.me)
            self._count_records(candidacy)

    def _ask_to_record(self, candidacy: Candidacy, view: ViewRecord) -> None:
        for voter in {**candidacy.view.electorate, **view.voters}:
            if voter not in candidacy.recorded and voter != self._context.me:
                self._context.send(voter, RecordView(view))

    def on_view_recorded(self, sender: str, message: ViewRecorded) -> None:
        """A voter has the view on disk."""
        candidacy = self._role.candidacy
        if candidacy is None or candidacy.epoch != message.epoch or candidacy.stage != "record":
            return
        candidacy.recorded.add(sender)
        self._count_records(candidacy)

    def _count_records(self, candidacy: Candidacy) -> None:
        """With the majorities' records, its own and its replicas' among them, the leadership begins."""
        view, recorded = candidacy.next, candidacy.recorded
        assert view is not None
        if not {self._context.me, *view.replicas} <= recorded:
            return
        if not (view.has_majority(recorded) and candidacy.view.has_quorum(recorded)):
            return
        if self._joining.founding:
            if self._context.now - candidacy.since < CANDIDACY_S and len(recorded) < len(view.voters):
                return
            self._context.note(Event.CLUSTER_FOUNDED, ", ".join(sorted(view.voters)))
        self._durable.view = view
        self._durable.confirm()
        self._joining.has_vote(True)
        self._role.candidacy = None
        self._elected(candidacy)

    # Time.

    def press(self) -> None:
        """Repeat what has no answer; give up what takes too long."""
        candidacy, now = self._role.candidacy, self._context.now
        assert candidacy is not None
        if not self._joining.founding and now - candidacy.since > CANDIDACY_S:
            self._role.candidacy = None
            self._role.stand_at = now + 0.2 + self._context.rng.random() * 0.5
        elif candidacy.stage == "vote" and now - candidacy.since > REPLICAS_COME_S:
            self._count_votes(candidacy)
        if self._role.candidacy is candidacy and now - candidacy.asked > RETRY_S:
            candidacy.asked = now
            self._repeat(candidacy)

    def _repeat(self, candidacy: Candidacy) -> None:
        if candidacy.stage == "vote":
            self._ask()
        elif candidacy.stage == "install":
            assert candidacy.next is not None
            for silent in set(candidacy.next.replicas) - candidacy.installed:
                self._role.shunned[silent] = self._context.now + SHUN_S
            self._install()
        elif candidacy.stage == "record":
            assert candidacy.next is not None
            self._ask_to_record(candidacy, candidacy.next)
            if self._joining.founding:
                self._count_records(candidacy)
