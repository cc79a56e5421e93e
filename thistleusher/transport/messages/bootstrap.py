"""Messages between control processes: bootstrap of the cluster, and recovery of a restarted process."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class FounderAnnouncement(Message, tag="found", frozen=True):
    """A founder informs the first seed that it is running."""

    zone: str


class StatusRequest(Message, tag="status-request", frozen=True):
    """A process that may not vote requests the status of the others.

    `ready`: whether a majority has told the sender which epoch is promised. `position`: that of the copy on its disk.
    """

    zone: str
    ready: bool
    position: Position
    promised: int


class Status(Message, tag="status", frozen=True):
    """The reply: the newest view, the newest promise, and whether a leader has been heard from recently."""

    view: ViewRecord
    promised: int
    leader_heard: bool
