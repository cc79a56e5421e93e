"""What the registry's state machine asks its process to do."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.transport.messages import AnyMessage


class SendToControl(NamedTuple):
    """Send a message to the control process on a machine; to each one, where `address` is empty."""

    address: str
    message: AnyMessage


class SendToSubscriber(NamedTuple):
    """Send a message to a subscriber, by its name, if the role is still held when it leaves."""

    name: str
    message: AnyMessage


class CallPlatform(NamedTuple):
    """Call the platform; give the answer to `Registry.platform_answered`, with the call's number.

    The calls are made one at a time: one that is still in flight has been given up.
    """

    number: int
    target: str


class ConnectToCore(NamedTuple):
    """Connect to these machines of the core."""

    addresses: tuple[str, ...]


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: Event
    fields: tuple[object, ...]


Output = SendToControl | SendToSubscriber | CallPlatform | ConnectToCore | LogEvent
