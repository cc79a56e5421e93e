"""Between control processes: bootstrap of the cluster, and recovery of one that starts again."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class FounderAnnouncement(Message, tag="found", frozen=True):
    """A founder informs the first seed that it is up."""

    zone: str


class StatusRequest(Message, tag="status-request", frozen=True):
    """A process that has no vote asks what the others know.

    `ready`: it knows from a majority which epoch was promised. `position`: of the copy on its disk.
    """

    zone: str
    ready: bool
    position: Position
    promised: int


class Status(Message, tag="status", frozen=True):
    """The answer: the newest view, the newest promise, and whether a leader was heard of late."""

    view: ViewRecord
    promised: int
    leader_heard: bool
