"""The founding of the system: all founders announce themselves to the first seed, which begins the first epoch.

The first epoch begins only once all seeds have announced themselves and no new founder has appeared for a while. Two
machines that both take part in founding the system therefore end up in the same electorate.
"""

from __future__ import annotations

from thistleusher.common.events import Event
from thistleusher.control.candidacy import Candidacy
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.elections import Elections
from thistleusher.control.interface import Records
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import FOUNDING_WAIT_S
from thistleusher.transport.messages import FounderAnnouncement, ViewRecord

FIRST_EPOCH = 1


class Founding:
    """One founder's state and actions."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, elections: Elections
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._elections = elections

    def tick(self) -> None:
        """Announce this founder. The first seed also begins the first epoch once all founders are known."""
        joining, context = self._joining, self._context
        joining.announce_founder()
        if min(context.seeds) != context.me:
            return
        if self._role.candidacy is not None:
            self._elections.tick()
        elif self._all_founders_known():
            self._begin()

    def _all_founders_known(self) -> bool:
        joining, context = self._joining, self._context
        joining.on_founder_announcement(context.me, FounderAnnouncement(context.zone))
        newest = max(founder.first_heard_at for founder in joining.founders.values())
        complete = context.seeds <= joining.founders.keys()
        waited = context.now - context.started_at > FOUNDING_WAIT_S and context.now - newest > FOUNDING_WAIT_S / 2
        return complete and waited

    def _begin(self) -> None:
        context = self._context
        voters = {name: founder.zone for name, founder in self._joining.founders.items()}
        empty_view = ViewRecord(0, context.me, (), voters)
        candidacy = Candidacy(FIRST_EPOCH, empty_view, context.now, context.now)
        candidacy.votes = dict.fromkeys(voters, None)
        self._role.candidacy = candidacy
        position = self._durable.state_copy.enter_epoch(FIRST_EPOCH)
        context.log(Event.CANDIDACY_STARTED, FIRST_EPOCH, "founding")
        records = Records(position=position, items={}, complete=True)
        self._role.promise(FIRST_EPOCH, records, self._elections.view_change.install)
