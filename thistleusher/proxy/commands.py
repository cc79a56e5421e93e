"""Commands of the cluster view: messages to send, and changes for the parts of the proxy that have sockets."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.configuration.index import Index
from thistleusher.proxy.requests import ChargeAnswered
from thistleusher.services.addresses import Address
from thistleusher.transport.messages import AnyMessage, HandOver, RingHeartbeat


class SendToRegistry(NamedTuple):
    """Send a message to the registry on a machine; to each registry, where `ip` is empty."""

    ip: str
    message: AnyMessage


class SendHeartbeat(NamedTuple):
    """Send a datagram to the ring's port of a machine."""

    ip: str
    message: RingHeartbeat


class SendHandOver(NamedTuple):
    """Give a watched proxy what it lacks of both states."""

    name: str
    ip: str
    message: HandOver


class ConnectToCore(NamedTuple):
    """Connect to those of these core machines that are not known yet; no connection to another one is closed."""

    addresses: tuple[str, ...]


class ApplyConfiguration(NamedTuple):
    """Serve by this configuration from here on; the decision module has it already."""

    configuration: Index


class BackendAddress(NamedTuple):
    """Where a backend listens, and whether in this proxy's region."""

    address: Address
    is_near: bool


class UpdateBackends(NamedTuple):
    """Take in backends that are new, have moved, or are gone (None)."""

    changes: dict[str, BackendAddress | None]


class SetServing(NamedTuple):
    """Send to these backends alone. Checked again right before the first byte of each attempt."""

    names: set[str]


class DeliverChargeAnswer(NamedTuple):
    """Hand the counter's answer to the decision module."""

    answer: ChargeAnswered


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: Event
    fields: tuple[object, ...]


Command = (
    SendToRegistry
    | SendHeartbeat
    | SendHandOver
    | ConnectToCore
    | ApplyConfiguration
    | UpdateBackends
    | SetServing
    | DeliverChargeAnswer
    | LogEvent
)
