"""An event loop on a scripted clock, and a transport in memory: nothing sleeps and no socket is opened."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any, Protocol


class ScriptedClock(selectors.BaseSelector):
    """A selector without files: to wait is to set the clock forward."""

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
    """An event loop on a scripted clock, without a socket."""

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
    """What a wire asks of its surroundings."""

    loop: ScriptedLoop
    frozen: bool  # whether the process stands still, so that nothing is read


class Wire(asyncio.Transport):
    """A transport in memory: what is written goes to `heard`, what `deliver` brings waits while the process stands."""

    def __init__(self, world: WireWorld, protocol: Any, heard: Callable[[bytes], None]) -> None:
        super().__init__()
        self.world, self.protocol, self.heard = world, protocol, heard
        self.ended = self.cut = False  # by the process; by the other side
        self.closing = False  # once the other side has taken what it is owed
        self.eof = False
        self.unread: list[bytes | None] = []  # None: the other side's end
        self.buffered = 0  # bytes that the other side has not taken yet
        self.paused = False  # the process reads nothing for now

    # The process's side.

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

    # The socket below it.

    def recv(self, count: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[0] or b""

    def shutdown(self, how: int) -> None:
        return

    # The other side.

    def taken(self, count: int) -> None:
        """The other side has taken some of what the process has written."""
        self.buffered = max(0, self.buffered - count)
        if self.closing and not self.buffered:
            self.abort()

    def deliver(self, data: bytes | None) -> None:
        """Bytes for the process, or the connection's end; read at once unless the process stands still."""
        if self.cut:
            return
        self.cut = data is None
        self.unread.append(data)
        if not self.world.frozen:
            self.read()

    def finish(self) -> None:
        """The other side closes in order, and may not have taken what was written to it."""
        self.cut = True
        if not self.protocol.eof_received():
            self.close()

    def read(self) -> None:
        """The process reads all that has come, in one batch: bytes first, then the end."""
        if self.paused or self.world.frozen:
            return
        unread, self.unread = self.unread, []
        data = b"".join(part for part in unread if part)
        if data and not self.ended:
            self.protocol.data_received(data)
        if None in unread and not self.ended:
            self.ended = True
            self.protocol.connection_lost(ConnectionResetError())
