"""What a receiver raises about a message that it refuses."""

from __future__ import annotations

from thistleusher.transport.messages import Message


class UnexpectedMessageError(ValueError):
    """A message that is well formed, of a type or with a value that its receiver does not take."""

    def __init__(self, message: Message) -> None:
        super().__init__(f"{type(message).__name__} is not taken here")
