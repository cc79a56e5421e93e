"""Learners: machines without a vote that are ready to become voters, as leaders and candidates observe them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.control.context import Context
from thistleusher.control.timing import LEARNER_MIN_HEARD_S, LEARNER_TIMEOUT_S
from thistleusher.transport.messages import Position


class Learner(NamedTuple):
    """One learner."""

    zone: str
    heard_since: float  # since when it has been heard without a gap of LEARNER_TIMEOUT_S
    last_heard: float  # when it was last heard
    position: Position  # position of its copy on disk
    promised: int = 0  # the highest epoch that it has promised


class Learners:
    """The learners that this machine has heard, by address."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._learners: dict[str, Learner] = {}

    def record_heard(self, name: str, zone: str, position: Position, promised: int) -> None:
        """Record a learner's status request. After `LEARNER_TIMEOUT_S` of silence the learner counts as a new one."""
        now = self._context.now
        known = self._learners.get(name)
        since = known.heard_since if known is not None and now - known.last_heard < LEARNER_TIMEOUT_S else now
        self._learners[name] = Learner(zone, since, now, position, promised)

    def record_position(self, name: str, position: Position) -> None:
        """Record the position of a learner's copy on its disk."""
        if name in self._learners:
            self._learners[name] = self._learners[name]._replace(position=position, last_heard=self._context.now)

    def remove(self, name: str) -> None:
        """Remove a machine that has become a voter."""
        self._learners.pop(name, None)

    def present(self) -> Mapping[str, Learner]:
        """Return the learners that were heard within `LEARNER_TIMEOUT_S`."""
        now = self._context.now
        return {name: each for name, each in self._learners.items() if now - each.last_heard < LEARNER_TIMEOUT_S}

    def stable(self) -> Mapping[str, Learner]:
        """Return the present learners that have been heard for long enough to become voters."""
        return {
            name: each
            for name, each in self.present().items()
            if each.last_heard - each.heard_since > LEARNER_MIN_HEARD_S
        }
