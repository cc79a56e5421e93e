"""The outputs of the registry's state machine: actions that its process carries out."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.transport.messages import AnyMessage


class SendToControl(NamedTuple):
    """Send a message to the control process on a machine, or to every one if `address` is empty."""

    address: str
    message: AnyMessage


class SendToSubscriber(NamedTuple):
    """Send a message to a subscriber, by name, if the role is still held at the time of sending."""

    name: str
    message: AnyMessage


class CallPlatform(NamedTuple):
    """Call the platform and pass the response, with the call's number, to `Registry.receive_platform_response`.

    Calls are made one at a time: an earlier call that is still in flight has been abandoned.
    """

    number: int
    target: str


class ConnectToCore(NamedTuple):
    """Connect to these core machines."""

    addresses: tuple[str, ...]


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: Event
    fields: tuple[object, ...]


Output = SendToControl | SendToSubscriber | CallPlatform | ConnectToCore | LogEvent
