"""Messages between control processes: elections.

A candidate requests promises for an epoch (`VoteRequest`, `Vote`, `VoteRejected`) and then asks the voters to record
the view of the new epoch (`RecordView`, `ViewRecorded`). These are the prepare and accept phases of Paxos.
"""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class VoteRequest(Message, tag="vote-request", frozen=True):
    """A member of the newest view known to it requests the promise of an epoch."""

    epoch: int
    view: ViewRecord


class Vote(Message, tag="vote", frozen=True):
    """The promise of an epoch, already on disk, with the voter's newest view and the position of its copy."""

    epoch: int
    view: ViewRecord
    position: Position


class VoteRejected(Message, tag="vote-refused", frozen=True):
    """The promise is refused: the leader is alive, or a higher epoch (`promised`) has already been promised."""

    epoch: int
    promised: int
    view: ViewRecord


class RecordView(Message, tag="record-view", frozen=True):
    """A request to write the view of a new epoch to disk."""

    view: ViewRecord


class ViewRecorded(Message, tag="view-recorded", frozen=True):
    """The view of this epoch is on disk."""

    epoch: int
