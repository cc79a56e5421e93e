"""A client's call on its way through the daemon."""

from __future__ import annotations

from dataclasses import dataclass

from thistleusher.core import events


@dataclass(slots=True)
class Call:
    """A client's request that has come whole and is valid."""

    request: events.Request
    head: bytes  # request line and the headers that go on unchanged
    body: bytes
    received_at: float  # loop time of its last byte

    def message(self, patience_s: float) -> bytes:
        """Return the request as a backend gets it; `patience_s` is how long this ingress will wait for its response."""
        return b"%sX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s" % (
            self.head,
            max(1, int(patience_s * 1000)),
            len(self.body),
            self.body,
        )
