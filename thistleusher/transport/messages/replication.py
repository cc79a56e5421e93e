"""Messages between control processes: replication of the control state from the leader to replicas and learners."""

from __future__ import annotations

from thistleusher.transport.messages.base import Items, Message, Position


class Install(Message, tag="install", frozen=True):
    """A copy of the control state for a replica or learner to write to disk.

    `base` is the position that `items` continue from, or None if they are the complete state. `floor` is the number of
    the newest removal that the state no longer retains.
    """

    epoch: int
    base: Position | None
    position: Position
    floor: int
    items: Items


class Installed(Message, tag="installed", frozen=True):
    """The copy is on disk."""

    epoch: int
    position: Position


class InstallRejected(Message, tag="install-refused", frozen=True):
    """The sender's copy is at `position`, from which the received items do not continue."""

    epoch: int
    position: Position


class Append(Message, tag="append", frozen=True):
    """One change that follows `base`, to be written to disk."""

    epoch: int
    base: Position
    position: Position
    items: Items


class Appended(Message, tag="appended", frozen=True):
    """The change is on disk."""

    epoch: int
    number: int
