"""Messages between control processes: the leader's heartbeats, and the end of its leadership."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """The leader's heartbeat.

    `sent`: send time on the leader's clock. `in_contact`: whether a majority and the receiver have answered recently.
    """

    view: ViewRecord
    sent: float
    in_contact: bool


class HeartbeatAck(Message, tag="heartbeat-ack", frozen=True):
    """The reply to a heartbeat: the heartbeat's `sent` value, and the position of the sender's copy."""

    epoch: int
    sent: float
    position: Position


class Deposed(Message, tag="deposed", frozen=True):
    """The reply to a heartbeat of an old epoch: the newer promise and the newest recorded view."""

    epoch: int
    promised: int
    view: ViewRecord


class StepDown(Message, tag="step-down", frozen=True):
    """The leader of an epoch has stepped down; `leaving`: whether this is because its process shuts down."""

    epoch: int
    leaving: bool


class Leaving(Message, tag="leaving", frozen=True):
    """A voter's process is about to shut down and first hands over its roles."""

    epoch: int
