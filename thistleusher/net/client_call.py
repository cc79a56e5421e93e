"""A client's call on its way through an ingress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from thistleusher.core import events


class WaitingCall(Protocol):
    """What an ingress asks of a call before a byte of it goes out."""

    request: events.Request

    @property
    def has_client_left(self) -> Callable[[], bool]:
        """Tells whether the connection of its client has ended, read or not. Costs a system call."""


@dataclass(slots=True)
class Call:
    """A client's request that has come whole and is valid."""

    request: events.Request
    head: bytes  # request line and the headers that go on unchanged
    body: bytes
    received_at: float  # loop time of its last byte
    has_client_left: Callable[[], bool]  # whether its connection has ended, read or not

    def message(self, patience_s: float) -> bytes:
        """Return the request as a backend gets it; `patience_s` is how long this ingress will wait for its response."""
        return b"%sX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s" % (
            self.head,
            max(1, int(patience_s * 1000)),
            len(self.body),
            self.body,
        )
