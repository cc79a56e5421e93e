"""Mutates valid inputs: deletes, duplicates, flips and splices bytes, and inserts tokens with a meaning to readers.

The mutation is guided by results instead of code coverage: an input that gives a new result joins the corpus. The
alternatives were atheris, which needs instrumentation and a native build for each Python, and hypothesis, which shrinks
well but has no feedback and needs a grammar for each reader. The readers are small enough to be distinguished by their
results.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Sequence

TOKENS = (
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\0",
    b"\xff",
    b"\xc3\x28",
    b":",
    b" ",
    b"0",
    b"-1",
    b"1e400",
    b"nan",
    b"NaN",
    b"inf",
    b"Infinity",
    b"-Infinity",
    b"99999999999999999999",
    b"9" * 400,
    b"1_0",
    b"0x10",
    b"+5",
    b"1e5",
    b"{",
    b"}",
    b"[",
    b"]",
    b'"',
    b"null",
    b"true",
    b"[" * 3000,
    b'{"a":' * 1500,
    b"Content-Length: 5\r\n",
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Expect: 100-continue\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\n\r\n",
    b"%00",
    b"%2f",
    b"\x01",
    b"\x02",
    b"\x03",
    b"\x04",
    b"\x05",
    b"\x06",
)
MAX_INPUT_BYTES = 200_000


def mutate(rng: random.Random, corpus: Sequence[bytes]) -> bytes:
    """Return an input of the corpus with one to eight mutations."""
    data = bytearray(rng.choice(corpus))
    for _ in range(rng.randint(1, 8)):
        at, to = sorted(rng.randrange(len(data) + 1) for _ in range(2))
        kind = rng.randrange(8)
        if kind == 0 and data:
            data[at % len(data)] ^= 1 << rng.randrange(8)
        elif kind == 1:
            del data[at : min(to, at + rng.choice((1, 4, 64, 4096)))]
        elif kind == 2:
            data[at:at] = rng.choice(TOKENS)
        elif kind == 3:
            data[at:to] = rng.choice(TOKENS)
        elif kind == 4:
            data[at:at] = data[at:to] * rng.choice((1, 1, 2, 50))
        elif kind == 5:
            other = rng.choice(corpus)
            data[at:] = other[rng.randrange(len(other) + 1) :]
        elif kind == 6:
            data[at:at] = rng.randbytes(rng.randint(1, 9))
        else:
            data += rng.choice(corpus)
        del data[MAX_INPUT_BYTES:]
    return bytes(data)


def minimize_bytes(data: bytes, fails: Callable[[bytes], bool], tries: int = 600) -> bytes:
    """Return a smaller input that still fails, by removing halves, quarters and so on (Zeller's ddmin)."""
    step = max(1, len(data) // 2)
    while tries > 0:
        at, shorter = 0, False
        while at < len(data) and tries > 0:
            without = data[:at] + data[at + step :]
            tries -= 1
            if len(without) < len(data) and fails(without):
                data, shorter = without, True
            else:
                at += step
        if step == 1 and not shorter:
            break
        step = max(1, step // 2)
    return data


class Corpus:
    """The inputs to mutate: the given ones, and up to a limit those that gave a new result."""

    def __init__(self, given: Sequence[bytes], max_inputs: int = 500) -> None:
        self.inputs, self.seen_results, self.max_inputs = list(given), set[Hashable](), max_inputs

    def add_if_new(self, data: bytes, result: Hashable) -> None:
        """Add an input if its result has not been seen before."""
        if result not in self.seen_results:
            self.seen_results.add(result)
            if len(self.inputs) < self.max_inputs and len(data) < 20_000:
                self.inputs.append(data)
