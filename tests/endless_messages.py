"""HTTP messages of which one part does not end, for tests of the readers' limits."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Iterator
from typing import NamedTuple

KIB = 1024
MIB = 1024 * KIB
MAX_READS = 10_000
MAX_BYTES = 8 * MIB


class Endless(NamedTuple):
    """The beginning of a message, and what follows it again and again."""

    begin: bytes
    block: bytes

    def pieces(self, size: int) -> Iterator[bytes]:
        """Yield its first `MAX_READS` reads of `size`, or `MAX_BYTES`."""
        repeated = self.block * (size // len(self.block) + 2)
        yield (self.begin + repeated)[:size]
        offset = max(0, size - len(self.begin)) % len(self.block)
        for _ in range(min(MAX_READS, MAX_BYTES // size)):
            yield repeated[offset : offset + size]
            offset = (offset + size) % len(self.block)


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"".join(b"a%07d: b\r\n" % n for n in range(1000))
IN_CHUNKS = {
    "trailer lines": Endless(CHUNKED + b"0\r\n", LINES),
    "a trailer's value": Endless(CHUNKED + b"0\r\nt: ", b"v" * 64),
    "a trailer's name": Endless(CHUNKED + b"0\r\n", b"n" * 64),
    "a chunk's extension": Endless(CHUNKED + b"1;e=", b"x" * 64),
    "zeros of a chunk's size": Endless(CHUNKED, b"0" * 64),
    "extensions of small chunks": Endless(CHUNKED, b"1;" + b"e" * 500 + b"\r\nc\r\n"),
}
IN_HEAD = {
    "lines of a head": Endless(b"", LINES),
    "a header's value": Endless(b"h: ", b"v" * 64),
    "a header's name": Endless(b"", b"n" * 64),
    "blanks before a value": Endless(b"h:", b" " * 64),
}


def responses() -> dict[str, Endless]:
    """Return responses, by the part that does not end."""
    found = {part: Endless(OK + each.begin, each.block) for part, each in {**IN_HEAD, **IN_CHUNKS}.items()}
    found["the reason"] = Endless(b"HTTP/1.1 200 ", b"r" * 64)
    found["interim responses"] = Endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")
    found["headers of interim responses"] = Endless(b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\nc: d\r\n\r\n")
    return found


def requests(line: bytes = b"POST /a HTTP/1.1\r\nHost: a\r\n") -> dict[str, Endless]:
    """Return requests, by the part that does not end."""
    found = {part: Endless(line + each.begin, each.block) for part, each in {**IN_HEAD, **IN_CHUNKS}.items()}
    found["the target"] = Endless(b"GET /", b"t" * 64)
    return found


class Fed(NamedTuple):
    """What came of feeding a message without end."""

    bytes_taken: int  # until the reader ended it; all that there were if it did not
    peak_bytes: int  # highest memory allocated meanwhile


def feed_until(message: Endless, read_bytes: int, feed: Callable[[bytes], bool]) -> Fed:
    """Feed a message in reads of a size until `feed` returns True."""
    tracemalloc.start()
    try:
        taken = 0
        for piece in message.pieces(read_bytes):
            taken += len(piece)
            if feed(piece):
                break
        return Fed(taken, tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()
