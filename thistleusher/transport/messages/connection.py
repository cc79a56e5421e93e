"""Messages that may be sent on any connection."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class Hello(Message, tag="hello", frozen=True):
    """The first message on a connection between control processes; `sender` is its address."""

    sender: str


class KeepAlive(Message, tag="beat", frozen=True):
    """Sent on an idle connection to show that the sender is up."""
