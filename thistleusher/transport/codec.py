"""Messages to bytes and back: one table of types, by their tags (`messages.AnyMessage`).

On a held connection each message is preceded by its length in four bytes, whose highest bit says that what follows is
compressed, as whole states are. What does not fit its type, or is longer than `MOST_BYTES`, is a `MalformedMessage`: it
is refused, and the connection that brought it is ended, as nothing after it can be trusted.

Cost: one pass over the bytes of each message; one that goes to many, one after the other, is packed once.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

from thistleusher.transport.messages import AnyMessage, Message

MOST_BYTES = 64 * 1024 * 1024
LENGTH = struct.Struct(">I")
COMPRESSED = 1 << 31  # set in the length of a message that is compressed
COMPRESS_FROM = 1024  # bytes
COMPRESSION = 3  # zlib's level: whole states shrink by over ten at a third of the time of the usual 6

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MalformedMessageError(ValueError):
    """Bytes that are no message, or one whose fields do not fit its type."""


def encode(message: Message) -> bytes:
    """A message's bytes, as a datagram has them."""
    return _encoder.encode(message)


def decode(data: bytes | bytearray | memoryview) -> AnyMessage:
    """The message that some bytes are. MalformedMessage where they are none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


class Framer:
    """Messages as a held connection has them; remembers the newest one, which often goes to many."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._data = b""

    def frame(self, message: Message) -> bytes:
        """A message's bytes with their length before them."""
        if message is not self._message:
            self._message, self._data = message, _framed(_encoder.encode(message))
        return self._data


def _framed(data: bytes) -> bytes:
    if len(data) < COMPRESS_FROM:
        return LENGTH.pack(len(data)) + data
    packed = zlib.compress(data, COMPRESSION)
    return LENGTH.pack(len(packed) | COMPRESSED) + packed


def _expanded(data: bytes) -> bytes:
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(data, MOST_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(str(error)) from None
    if not expander.eof:
        raise MalformedMessageError("cut off, or too long when expanded")
    return expanded


_framer = Framer()
frame = _framer.frame


class Deframer:
    """Messages out of a stream of bytes, which may come in any pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """The messages that are whole now. MalformedMessage ends the stream."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (head,) = LENGTH.unpack_from(self._buffer)
            length = head & ~COMPRESSED
            if length > MOST_BYTES:
                raise MalformedMessageError(f"{length} bytes, {MOST_BYTES} at most")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield decode(_expanded(body) if head & COMPRESSED else body)
