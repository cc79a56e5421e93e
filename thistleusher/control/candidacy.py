"""State of a candidate's attempt to begin an epoch."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from thistleusher.control.timing import NEVER
from thistleusher.transport.messages import Position, ViewRecord


class Stage(Enum):
    """Progress of a candidacy. A stage begins only once the writes of the stage before it are on disk."""

    PROMISE = "promise"  # the candidate writes its own promise to disk
    VOTE = "vote"  # the candidate requests votes
    ENTER = "enter"  # the candidate writes its own copy to disk as one of the new epoch
    INSTALL = "install"  # the replicas bring their copies on disk up to date with the candidate's
    RECORD = "record"  # the replicas and voters write the view to disk


@dataclass(slots=True)
class Candidacy:
    """An attempt to lead an epoch."""

    epoch: int
    view: ViewRecord  # the newest known view, which the next view follows
    begun_at: float
    last_request_at: float  # when the requests of the current stage were last sent
    stage: Stage = Stage.PROMISE
    votes: dict[str, ViewRecord | None] = field(default_factory=dict)  # voter -> the newest view that it knows
    next_view: ViewRecord | None = None
    chosen_replicas: set[str] = field(default_factory=set)  # all machines that have been chosen as replicas so far
    installed: set[str] = field(default_factory=set)  # replicas that have the candidate's copy on disk
    recorded: set[str] = field(default_factory=set)  # machines that have the view on disk
    # When voters were first asked to record the view. Each guards the new leader from a later time on, namely from when
    # it recorded the view.
    record_requested_at: float = NEVER
    voters: Mapping[str, str] | None = None  # address -> zone; None: the epoch keeps the voters of `view`
    positions: dict[str, Position] = field(default_factory=dict)  # machine -> position of its copy

    def next_voters(self) -> Mapping[str, str]:
        """Return the voters of the epoch to begin."""
        return self.voters if self.voters is not None else self.view.voters
