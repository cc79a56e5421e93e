"""The error that a receiver raises to reject a message."""

from __future__ import annotations

from thistleusher.transport.messages import Message


class UnexpectedMessageError(ValueError):
    """A well-formed message whose type or value the receiver does not accept."""

    def __init__(self, message: Message) -> None:
        super().__init__(f"{type(message).__name__} is not accepted here")
