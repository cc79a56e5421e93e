"""The founding of the system: the election of the first epoch, whose voters are all founders that have been heard.

Each founder announces itself to the seeds. A seed becomes a candidate once it has heard all seeds and no new founder
has appeared for a while; if some seeds stay silent, it goes on without them after a longer wait. The seeds take turns,
so that no single one is needed. Two candidates are no danger: the first epoch follows the founding view
(`founding_view`) under the rules of every election (`elections`): it is decided once, by a majority of the seeds.

A machine that is not a founder takes no part: it asks for the status of the voters until there is an epoch (`joining`).
"""

from __future__ import annotations

from collections.abc import Mapping

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.elections import Elections
from thistleusher.control.joining import Joining
from thistleusher.control.role import Role
from thistleusher.control.timing import (
    FOUNDING_PATIENCE_S,
    FOUNDING_STAGGER_S,
    FOUNDING_WAIT_S,
)


class Founding:
    """One founder's actions until the first epoch is known."""

    def __init__(
        self, context: Context, durable: DurableState, role: Role, joining: Joining, elections: Elections
    ) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._joining = joining
        self._elections = elections

    def tick(self) -> None:
        """Announce this founder. A seed also continues its candidacy, or starts one when it is its turn."""
        self._joining.announce_founder()
        if self._role.candidacy is not None:
            self._elections.tick()
        elif self._is_due():
            self._elections.start_candidacy("founding", self._first_voters())
        missing = self._seeds().keys() - self._joining.founders.keys()
        self._joining.report_waiting(Event.FOUNDING_WAITS, missing, "no seed")

    def _is_due(self) -> bool:
        role, now = self._role, self._context.now
        if not role.is_eligible() or role.stopping or now < role.next_candidacy_at:
            return False
        return now - self._context.started_at > self._wait_s() and self._is_settled()

    def _wait_s(self) -> float:
        """Return how long after its start this seed becomes a candidate, in seconds."""
        seeds = sorted(self._seeds())
        patience_s = FOUNDING_WAIT_S if self._joining.founders.keys() >= set(seeds) else FOUNDING_PATIENCE_S
        return patience_s + FOUNDING_STAGGER_S * seeds.index(self._context.me)

    def _is_settled(self) -> bool:
        """Return whether a majority of the seeds has been heard, and no new founder for a while."""
        view, founders = self._durable.view, self._joining.founders
        assert view is not None
        newest = max(founder.first_heard_at for founder in founders.values())
        return view.has_majority(founders) and self._context.now - newest > FOUNDING_WAIT_S / 2

    def _seeds(self) -> Mapping[str, str]:
        assert self._durable.view is not None
        return self._durable.view.voters

    def _first_voters(self) -> Mapping[str, str]:
        """Return the voters of the first epoch, address -> zone: all seeds, and all other founders heard."""
        return {**self._seeds(), **{name: founder.zone for name, founder in self._joining.founders.items()}}
