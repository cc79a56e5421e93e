"""Who votes at first and later: founding, learning after a disk was lost, and learners that wait for a vote.

A machine that has forgotten votes for nothing until so many have told it that no majority could have decided without
one of them; one without a vote is `ready` for one once a majority of the voters has told it what was promised.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.interface import Records
from thistleusher.control.role import Role
from thistleusher.control.timing import LEARNER_GONE_S, LEARNER_S, RETRY_S
from thistleusher.transport.messages import FounderAnnouncement, Position, Status, StatusRequest, ViewRecord


class Founder(NamedTuple):
    """A machine that founds: its zone, and when it was first heard."""

    zone: str
    since: float


class Learner(NamedTuple):
    """A machine without a vote that is ready for one: its zone, since and until when it was heard, its copy."""

    zone: str
    since: float
    heard: float
    position: Position
    promised: int = 0


class Learners:
    """All learners that this machine has heard of late."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._learners: dict[str, Learner] = {}

    def heard(self, name: str, zone: str, position: Position, promised: int) -> None:
        """A learner that is ready has asked for the status."""
        now = self._context.now
        old = self._learners.get(name)
        since = old.since if old is not None and now - old.heard < LEARNER_GONE_S else now
        self._learners[name] = Learner(zone, since, now, position, promised)

    def moved(self, name: str, position: Position) -> None:
        """A learner's copy is at a position, on its disk."""
        if name in self._learners:
            self._learners[name] = self._learners[name]._replace(position=position, heard=self._context.now)

    def gone(self, name: str) -> None:
        """A machine is no learner: it votes."""
        self._learners.pop(name, None)

    def present(self) -> Mapping[str, Learner]:
        """Those that were heard of late."""
        now = self._context.now
        return {n: each for n, each in self._learners.items() if now - each.heard < LEARNER_GONE_S}

    def steady(self) -> Mapping[str, Learner]:
        """Those present that have been heard for long enough to be counted on."""
        return {n: each for n, each in self.present().items() if each.heard - each.since > LEARNER_S}


class Joining:
    """One node's."""

    def __init__(self, context: Context, durable: Durable, role: Role, bootstrap: bool) -> None:
        """`bootstrap`: the system starts for the first time."""
        self._context, self._durable, self._role = context, durable, role
        self.founding = bootstrap and durable.view is None and durable.promised == 0
        self.state_lost = durable.view is None and not self.founding
        self.ready = False  # without a vote, and knows by a majority what is promised: it may be given one
        self.founders: dict[str, Founder] = {}
        self.learners = Learners(context)
        self._told: dict[str, Status] = {}
        self._ask_at = context.now

    @property
    def is_voter(self) -> bool:
        """Whether this machine has a vote by the newest view that it knows."""
        view = self._durable.view
        return not self.founding and not self.state_lost and view is not None and self._context.me in view.voters

    def known_peers(self) -> list[str]:
        """All machines of the core that are known, but this one."""
        view = self._durable.view
        voters = view.voters if view is not None else {}
        return sorted({*self._context.seeds, *self._context.known, *voters} - {self._context.me})

    def has_vote(self, votes: bool) -> None:
        """A view was recorded, by which this machine votes or does not."""
        self.founding = False
        if votes:
            self.state_lost, self.ready = False, False

    # Founding.

    def tell_founders(self) -> None:
        """Tell all seeds that this founder is there."""
        if self._context.now < self._ask_at:
            return
        self._ask_at = self._context.now + RETRY_S
        for seed in sorted(self._context.seeds - {self._context.me}):
            self._context.send(seed, FounderAnnouncement(self._context.zone))

    def on_found(self, sender: str, message: FounderAnnouncement) -> None:
        """Another machine founds."""
        if self.founding:
            self.founders.setdefault(sender, Founder(message.zone, self._context.now))
        elif self._durable.view is not None:
            self.tell_status(sender)

    # Asking, by one that has forgotten or has no vote.

    def ask(self) -> None:
        """Ask all machines of the core what they know, from time to time."""
        if self._context.now < self._ask_at:
            return
        self._ask_at = self._context.now + RETRY_S
        position = self._durable.position
        for other in self.known_peers():
            self._context.send(other, StatusRequest(self._context.zone, self.ready, position, self._durable.promised))

    def on_status(self, sender: str, message: Status) -> None:
        """What another machine knows."""
        if self.founding and self._durable.promised == 0:
            self.founding, self.state_lost = False, True  # founded without this one's knowing, or without this one
        if message.leader_heard:
            self._role.leader_seen_at = self._context.now
            if sender == message.view.leader:
                self._role.confirmed = max(self._role.confirmed, message.view.epoch)
        if not self.state_lost:
            self._durable.adopt(message.view)
            if self.is_voter:
                return
        self._context.known.update(message.view.voters)
        self._told[sender] = message
        self._consider()

    def _consider(self) -> None:
        """With enough told: ready for a vote, or a voter again."""
        newest = max((told.view for told in self._told.values()), key=lambda view: view.epoch)
        told = [name for name in self._told if name in newest.electorate and name != self._context.me]
        if self._context.me not in newest.voters:
            self._durable.adopt(newest)
            if newest.has_quorum(told):
                self.ready = True
                self._durable.promised = max(self._durable.promised, self._highest_promise())
                self._told = {}
        elif len(newest.voters.keys() & set(told)) >= len(newest.voters) - newest.majority + 1:
            self._remember(newest)

    def _highest_promise(self) -> int:
        return max(status.promised for status in self._told.values())

    def _remember(self, newest: ViewRecord) -> None:
        """No majority could have decided without one of those that told: this machine may vote again.

        A copy that is on disk here stays: one of the newest epoch was installed before the view was to be recorded.
        """
        durable = self._durable
        durable.promised = max(durable.promised, self._highest_promise())
        durable.adopt(newest)
        self._role.leader_heard_at = self._context.now
        self._told = {}
        durable.write(Records(promised=durable.promised, view=newest), partial(self._remembered, newest))

    def _remembered(self, newest: ViewRecord, ok: bool) -> None:
        if not ok:
            return
        self.state_lost = False
        self._durable.recorded = max(self._durable.recorded, newest.epoch)
        holders, voters = ", ".join(newest.replicas), ", ".join(sorted(newest.voters))
        self._context.note(Event.VIEW_ADOPTED, newest.epoch, newest.leader, holders, voters)

    # Answering.

    def on_status_request(self, sender: str, message: StatusRequest) -> None:
        """A machine without a vote asks what is known here."""
        view = self._durable.view
        if view is None or self.state_lost or self.founding:
            return
        self.tell_status(sender)
        if sender in view.voters:
            self.learners.gone(sender)
        elif message.ready:
            self.learners.heard(sender, message.zone, message.position, message.promised)

    def tell_status(self, to: str) -> None:
        """Tell a machine what is known here."""
        view = self._durable.view
        if view is None:
            return
        heard = self._role.holds_lease(self._context.now) or self._role.leader_seen()
        self._context.send(to, Status(view, self._durable.promised, heard))
