"""What a candidate knows of its attempt to begin an epoch."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from thistleusher.control.timing import NEVER
from thistleusher.transport.messages import Position, ViewRecord


class Stage(Enum):
    """How far a candidacy is; each stage begins only after what the one before it wrote is on disk."""

    PROMISE = "promise"  # the candidate's own promise goes to its disk
    VOTE = "vote"  # voters are asked
    ENTER = "enter"  # the candidate's own copy enters the epoch on its disk
    INSTALL = "install"  # replicas bring their copies to the candidate's, on their disks
    RECORD = "record"  # replicas and voters write the view down


@dataclass(slots=True)
class Candidacy:
    """An attempt to lead an epoch."""

    epoch: int
    view: ViewRecord  # the newest known one, which the next view follows
    begun_at: float
    asked_at: float
    stage: Stage = Stage.PROMISE
    votes: dict[str, ViewRecord | None] = field(default_factory=dict)
    next_view: ViewRecord | None = None
    chosen: set[str] = field(default_factory=set)  # all machines that were chosen as replicas so far
    installed: set[str] = field(default_factory=set)
    recorded: set[str] = field(default_factory=set)
    record_asked_at: float = NEVER  # when voters were first asked to record the view; those that did guard it since
    voters: Mapping[str, str] | None = None  # address -> zone, where the epoch is to have other voters than `view`
    positions: dict[str, Position] = field(default_factory=dict)  # how far the copies on other machines are

    def next_voters(self) -> Mapping[str, str]:
        """Return the voters of the epoch to begin."""
        return self.voters if self.voters is not None else self.view.voters
