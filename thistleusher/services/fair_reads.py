"""Reading from a socket in turns: what peers send takes a bounded part of the event loop's time and memory.

An event loop hands a protocol a read of up to 256 KiB, and reads a fast peer's socket dozens of times before it looks
at another one. A `FairReads` protocol takes at most `READ_BYTES` at a time. If there is more, it goes on in a later
turn, after the other sockets; meanwhile the kernel holds the rest, and so the peer back.

Bytes do not tell what they cost: a body in chunks of one byte takes a hundred times the time of one in large chunks.
So a protocol also counts the work of a read (`take_work`). One whose reads are costly gets shorter ones, and once the
reads of a turn have taken `MAX_TURN_WORK`, the others of that turn are short. Protocols that have more to read are
served in the order in which they came, `CHEAP_A_TURN` and `COSTLY_A_TURN` in a turn, so that large bodies do not wait
behind costly reads. So neither one peer nor many together keep timers, new connections and answers waiting.
"""

from __future__ import annotations

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

READ_BYTES = 64 * 1024
FIRST_READ_BYTES = 16 * 1024  # while nothing is known of what a peer sends
MIN_READ_BYTES = 1024
MIN_CHEAP_READ_BYTES = 16 * 1024
WORK_UNIT_BYTES = 1024  # bytes that take as long as one part of a message does
MAX_READ_WORK = 512  # units, of about a microsecond each
MAX_TURN_WORK = 1024
COSTLY_A_TURN = 4
CHEAP_A_TURN = 16

# Filled by a read and passed on before the next one, on any connection.
_read_buffer = memoryview(bytearray(READ_BYTES))


class FairReads(asyncio.BufferedProtocol):
    """Base of protocols whose `data_received` gets at most `READ_BYTES` in a turn of the event loop."""

    transport: asyncio.Transport | None
    loop: asyncio.AbstractEventLoop
    next_read_bytes = FIRST_READ_BYTES
    reads_are_cheap = False
    _read_turn: ReadTurn | None = None

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def wants_data(self) -> bool:
        """Return whether the connection is open and the protocol itself has not paused reading."""
        raise NotImplementedError

    def take_work(self) -> int:
        """Return the number of parts of messages that were handled since the last call."""
        return 0

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if self._read_turn is None:
            self._read_turn = _turn_of(self.loop)
        if not self._read_turn.has_work_left():
            self.next_read_bytes = MIN_CHEAP_READ_BYTES if self.reads_are_cheap else MIN_READ_BYTES
        return _read_buffer[: self.next_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a read on. If it may not have been all, let the other sockets have their turn first."""
        may_have_more = nbytes == self.next_read_bytes
        self.data_received(bytes(_read_buffer[:nbytes]))
        work = self.take_work() + nbytes // WORK_UNIT_BYTES
        turn = self._read_turn
        assert turn is not None  # set by `get_buffer`, which comes before each read
        turn.spend(self.loop, work)
        affordable_bytes = nbytes * MAX_READ_WORK // max(1, work)
        self.next_read_bytes = min(READ_BYTES, max(MIN_READ_BYTES, affordable_bytes))
        self.reads_are_cheap = affordable_bytes >= READ_BYTES
        if may_have_more and self.transport is not None and self.wants_data():
            self.transport.pause_reading()
            turn.resume_later(self)

    def take_next_turn(self) -> None:
        """Read on, unless the protocol has paused reading itself."""
        if self.transport is not None and self.wants_data():
            self.transport.resume_reading()


class ReadTurn:
    """The reads of one turn of an event loop, and the protocols that read on in a later one."""

    def __init__(self) -> None:
        self._work = 0
        self._cheap: deque[FairReads] = deque()
        self._costly: deque[FairReads] = deque()
        self._is_scheduled = False

    def has_work_left(self) -> bool:
        """Return whether the reads of this turn have taken less than they may."""
        return self._work < MAX_TURN_WORK

    def spend(self, loop: asyncio.AbstractEventLoop, work: int) -> None:
        """Count the work of a read."""
        self._work += work
        self._schedule(loop)

    def resume_later(self, protocol: FairReads) -> None:
        """Let a protocol read on in a later turn."""
        (self._cheap if protocol.reads_are_cheap else self._costly).append(protocol)
        self._schedule(protocol.loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._begin, loop)

    def _begin(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._work = 0
        for paused, count in ((self._cheap, CHEAP_A_TURN), (self._costly, COSTLY_A_TURN)):
            for _ in range(min(count, len(paused))):
                paused.popleft().take_next_turn()
        if self._cheap or self._costly:
            self._schedule(loop)


_turns: WeakKeyDictionary[asyncio.AbstractEventLoop, ReadTurn] = WeakKeyDictionary()


def _turn_of(loop: asyncio.AbstractEventLoop) -> ReadTurn:
    turn = _turns.get(loop)
    if turn is None:
        turn = _turns[loop] = ReadTurn()
    return turn
