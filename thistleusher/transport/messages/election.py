"""Between control processes: elections.

A candidate asks for the promise of an epoch (`VoteRequest`, `Vote`, `VoteRejected`) and then has the view of the new
epoch recorded (`RecordView`, `ViewRecorded`): the prepare and accept phases of Paxos.
"""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class VoteRequest(Message, tag="vote-request", frozen=True):
    """A member of the newest view that it knows asks for the promise of an epoch."""

    epoch: int
    view: ViewRecord


class Vote(Message, tag="vote", frozen=True):
    """The promise of an epoch, already on disk; with the newest view that the voter knows and its copy's position."""

    epoch: int
    view: ViewRecord
    position: Position


class VoteRejected(Message, tag="vote-refused", frozen=True):
    """No promise: the leader is alive, or a higher epoch (`promised`) was promised already."""

    epoch: int
    promised: int
    view: ViewRecord


class RecordView(Message, tag="record-view", frozen=True):
    """Ask to write the view of a new epoch to disk."""

    view: ViewRecord


class ViewRecorded(Message, tag="view-recorded", frozen=True):
    """The view of this epoch is on disk."""

    epoch: int
