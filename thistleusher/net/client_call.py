"""A client's call on its way through the daemon."""

from __future__ import annotations

from dataclasses import dataclass

from thistleusher.core import events
from thistleusher.services.wire import MAX_BODY, MAX_HEAD, Address, Answer, AnswerReader, read_address

__all__ = ["MAX_BODY", "MAX_HEAD", "Address", "Answer", "AnswerReader", "Call", "read_address"]


@dataclass(slots=True)
class Call:
    """A client's request once it has come whole and has been found sound."""

    request: events.Request
    start: bytes  # request line and the headers that go on unchanged
    body: bytes
    came: float  # loop time of its last byte

    def message(self, patience: float) -> bytes:
        """The request as a backend gets it; `patience` is how long this ingress will wait, in seconds."""
        return b"%sX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s" % (
            self.start,
            max(1, int(patience * 1000)),
            len(self.body),
            self.body,
        )
