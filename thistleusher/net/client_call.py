"""A client's request, as the ingress passes it from the client connection to a backend connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from thistleusher.core import events


class WaitingCall(Protocol):
    """The part of a call that an ingress uses before it sends the call to a backend."""

    request: events.Request

    @property
    def has_client_left(self) -> Callable[[], bool]:
        """Function that returns whether the client has closed its connection, read or not. Costs a system call."""


@dataclass(slots=True)
class Call:
    """A complete and valid client request."""

    request: events.Request
    head: bytes  # request line and the headers that are forwarded unchanged
    body: bytes
    received_at: float  # time on the driver's scheduler when the request was complete
    has_client_left: Callable[[], bool]  # whether the client has closed its connection, read or not

    def message(self, timeout_s: float) -> bytes:
        """Return the request as sent to a backend; `timeout_s`: seconds that this ingress waits for a response."""
        return b"%sX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s" % (
            self.head,
            max(1, int(timeout_s * 1000)),
            len(self.body),
            self.body,
        )
