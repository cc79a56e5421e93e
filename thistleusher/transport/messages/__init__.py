"""The messages between the system's own processes; this package alone defines their format.

On the wire, a message is a msgpack array that begins with its tag. Tags and the order and types of fields never change
(`codec` encodes, decodes and validates messages). Times are seconds on the steady clock of the machine that the
docstring names, and have no meaning on other machines.
"""

from __future__ import annotations

from typing import Union

from thistleusher.transport.messages.base import Items, Message, Position, ViewRecord
from thistleusher.transport.messages.bootstrap import FounderAnnouncement, Status, StatusRequest
from thistleusher.transport.messages.connection import Hello, KeepAlive
from thistleusher.transport.messages.election import RecordView, ViewRecorded, Vote, VoteRejected, VoteRequest
from thistleusher.transport.messages.leadership import Deposed, Heartbeat, HeartbeatAck, Leaving, StepDown
from thistleusher.transport.messages.lease import LeaseGranted, LeaseRejected, LeaseReleased, LeaseRequest
from thistleusher.transport.messages.peer import HandOver, HandOverAccepted, RingHeartbeat
from thistleusher.transport.messages.replication import Append, Appended, Install, Installed, InstallRejected
from thistleusher.transport.messages.subscription import (
    CoreInfo,
    ItemsPersisted,
    PersistItems,
    StateUpdate,
    StateUpdateAck,
    SubscribeRequest,
)
from thistleusher.transport.messages.usage import (
    AdmissionReport,
    AdmissionReportAck,
    Charge,
    ChargeResult,
    HeartbeatEcho,
    ProxyHeartbeat,
    ProxyStatusReport,
)

AnyMessage = Union[
    Hello,
    KeepAlive,
    FounderAnnouncement,
    StatusRequest,
    Status,
    VoteRequest,
    Vote,
    VoteRejected,
    RecordView,
    ViewRecorded,
    Install,
    Installed,
    InstallRejected,
    Append,
    Appended,
    Heartbeat,
    HeartbeatAck,
    Deposed,
    StepDown,
    Leaving,
    SubscribeRequest,
    StateUpdate,
    StateUpdateAck,
    CoreInfo,
    LeaseRequest,
    LeaseGranted,
    LeaseRejected,
    LeaseReleased,
    PersistItems,
    ItemsPersisted,
    ProxyHeartbeat,
    ProxyStatusReport,
    HeartbeatEcho,
    Charge,
    ChargeResult,
    AdmissionReport,
    AdmissionReportAck,
    RingHeartbeat,
    HandOver,
    HandOverAccepted,
]

__all__ = [
    "AdmissionReport",
    "AdmissionReportAck",
    "AnyMessage",
    "Append",
    "Appended",
    "Charge",
    "ChargeResult",
    "CoreInfo",
    "Deposed",
    "FounderAnnouncement",
    "HandOver",
    "HandOverAccepted",
    "Heartbeat",
    "HeartbeatAck",
    "HeartbeatEcho",
    "Hello",
    "Install",
    "InstallRejected",
    "Installed",
    "Items",
    "ItemsPersisted",
    "KeepAlive",
    "LeaseGranted",
    "LeaseRejected",
    "LeaseReleased",
    "LeaseRequest",
    "Leaving",
    "Message",
    "PersistItems",
    "Position",
    "ProxyHeartbeat",
    "ProxyStatusReport",
    "RecordView",
    "RingHeartbeat",
    "StateUpdate",
    "StateUpdateAck",
    "Status",
    "StatusRequest",
    "StepDown",
    "SubscribeRequest",
    "ViewRecord",
    "ViewRecorded",
    "Vote",
    "VoteRejected",
    "VoteRequest",
]
