"""Between control processes: the leader's heartbeats, and its end."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message, Position, ViewRecord


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """The leader's heartbeat.

    `sent`: when, on the leader's clock. `in_contact`: a majority and the receiver have answered of late.
    """

    view: ViewRecord
    sent: float
    in_contact: bool


class HeartbeatAck(Message, tag="heartbeat-ack", frozen=True):
    """The answer to a heartbeat: its `sent` value, and the position of the copy here."""

    epoch: int
    sent: float
    position: Position


class Deposed(Message, tag="deposed", frozen=True):
    """The answer to a heartbeat of an old epoch: what has been promised and recorded since."""

    epoch: int
    promised: int
    view: ViewRecord


class StepDown(Message, tag="step-down", frozen=True):
    """The leader of an epoch leads no longer; `leaving`: because its process shuts down."""

    epoch: int
    leaving: bool


class Leaving(Message, tag="leaving", frozen=True):
    """A voter's process is about to shut down, and hands over its roles first."""

    epoch: int
