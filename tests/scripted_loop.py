"""An event loop on a scripted clock and an in-memory transport; neither sleeps or opens a socket."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any, Protocol


class ScriptedClock(selectors.BaseSelector):
    """A selector without file descriptors; `select` advances the clock by the time-out instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "nothing is left that could happen"
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        raise AssertionError("no file is watched here")

    def unregister(self, fileobj: Any) -> Any:
        raise AssertionError("no file is watched here")

    def get_map(self) -> dict[Any, Any]:
        return {}


class ScriptedLoop(asyncio.SelectorEventLoop):
    """An event loop on a scripted clock that opens no socket."""

    def __init__(self) -> None:
        self.script = ScriptedClock()
        super().__init__(self.script)

    def time(self) -> float:
        return self.script.now

    def _make_self_pipe(self) -> None:
        self._ssock = self._csock = None

    def _close_self_pipe(self) -> None:
        return


class WireWorld(Protocol):
    """The environment that a `Wire` needs."""

    loop: ScriptedLoop
    frozen: bool  # whether the process is suspended, so that it reads nothing


class Wire(asyncio.Transport):
    """An in-memory transport.

    Written data is passed to `heard`. Data passed to `deliver` is queued while the process is suspended or has paused
    reading.
    """

    def __init__(self, world: WireWorld, protocol: Any, heard: Callable[[bytes], None]) -> None:
        super().__init__()
        self.world, self.protocol, self.heard = world, protocol, heard
        self.ended = self.cut = False  # closed by the process; closed by the other side
        self.closing = False  # whether the transport closes once the other side has received all written data
        self.eof = False
        self.unread: list[bytes | None] = []  # None marks the end of the connection
        self.buffered = 0  # bytes that the other side has not received yet
        self.paused = False  # whether the process has paused reading

    # Methods that the process calls.

    def write(self, data: Any) -> None:
        if not self.ended and not self.cut:
            self.heard(bytes(data))

    def write_eof(self) -> None:
        self.eof = True

    def is_closing(self) -> bool:
        return self.ended or self.closing

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        if self.unread:
            self.world.loop.call_soon(self.read)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def close(self) -> None:
        self.closing = True
        self.taken(0)

    def abort(self) -> None:
        if not self.ended:
            self.ended = True
            self.world.loop.call_soon(self.protocol.connection_lost, None)

    # Methods of the underlying socket.

    def recv(self, count: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[0] or b""

    def shutdown(self, how: int) -> None:
        return

    # Methods that the test calls in place of the other side.

    def taken(self, count: int) -> None:
        """Record that the other side has received `count` of the bytes written by the process."""
        self.buffered = max(0, self.buffered - count)
        if self.closing and not self.buffered:
            self.abort()

    def deliver(self, data: bytes | None) -> None:
        """Deliver bytes, or None for the end of the connection; read at once unless the process is suspended."""
        if self.cut:
            return
        self.cut = data is None
        self.unread.append(data)
        if not self.world.frozen:
            self.read()

    def finish(self) -> None:
        """Close the connection in order from the other side, which may not have received all written data."""
        self.cut = True
        if not self.protocol.eof_received():
            self.close()

    def read(self) -> None:
        """Pass all queued data to the process in one batch: the bytes first, then the end of the connection."""
        if self.paused or self.world.frozen:
            return
        unread, self.unread = self.unread, []
        data = b"".join(part for part in unread if part)
        if data and not self.ended:
            self.protocol.data_received(data)
        if None in unread and not self.ended:
            self.ended = True
            self.protocol.connection_lost(ConnectionResetError())
