"""Commands of the cluster view: messages to send, and changes for the modules of the proxy that own sockets."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.configuration.index import Index
from thistleusher.proxy.requests import ChargeAnswered
from thistleusher.services.addresses import Address
from thistleusher.transport.messages import AnyMessage, HandOver, RingHeartbeat


class SendToRegistry(NamedTuple):
    """Send a message to the registry at `ip`, or to every registry if `ip` is empty."""

    ip: str
    message: AnyMessage


class SendHeartbeat(NamedTuple):
    """Send a datagram to the heartbeat ring's port at `ip`."""

    ip: str
    message: RingHeartbeat


class SendHandOver(NamedTuple):
    """Send a watched proxy the updates of both states that it is missing."""

    name: str
    ip: str
    message: HandOver


class ConnectToCore(NamedTuple):
    """Connect to the core machines among `addresses` that are not connected yet; other connections stay open."""

    addresses: tuple[str, ...]


class ApplyConfiguration(NamedTuple):
    """Serve new requests by this configuration, which the decision module has applied already."""

    configuration: Index


class BackendAddress(NamedTuple):
    """A backend's address; `is_same_region`: whether it lies in this proxy's region."""

    address: Address
    is_same_region: bool


class UpdateBackends(NamedTuple):
    """Add backends, change their addresses, or remove them (None)."""

    changes: dict[str, BackendAddress | None]


class SetServing(NamedTuple):
    """Send requests only to these backends; checked again right before the first byte of each attempt."""

    names: set[str]


class DeliverChargeAnswer(NamedTuple):
    """Pass the counter's answer to the decision module."""

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
