"""Messages to bytes and back: one table of types, by their tags (`messages.AnyMessage`).

On a link each message is preceded by its length in four bytes (big-endian), whose highest bit says that what follows is
compressed, as complete states are. Bytes that do not fit a type, or are more than `MAX_BYTES`, are a
`MalformedMessageError`: the connection that brought them is closed, as nothing after them can be trusted.

Cost: one pass over the bytes of each message; one that goes to many, one after the other, is encoded once.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

from thistleusher.transport.messages import AnyMessage, Message

MAX_BYTES = 64 * 1024 * 1024
LENGTH = struct.Struct(">I")
COMPRESSED = 1 << 31  # set in the length of a message that is compressed
MIN_COMPRESSED_BYTES = 1024  # shorter messages are sent as they are
COMPRESSION_LEVEL = 3  # of zlib: complete states shrink by over ten, at a third of the time of the usual 6

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MalformedMessageError(ValueError):
    """Bytes that are no message, or one whose fields do not fit its type."""


def encode(message: Message) -> bytes:
    """Return a message's bytes, as a datagram carries them."""
    return _encoder.encode(message)


def decode(data: bytes | bytearray | memoryview) -> AnyMessage:
    """Return the message in some bytes. Raise MalformedMessageError where they are none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


class Framer:
    """Encodes messages as a link carries them; keeps the newest one's bytes, as it often goes to many."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._data = b""

    def frame(self, message: Message) -> bytes:
        """Return a message's bytes, preceded by their length."""
        if message is not self._message:
            self._message, self._data = message, _framed(_encoder.encode(message))
        return self._data


def _framed(data: bytes) -> bytes:
    if len(data) < MIN_COMPRESSED_BYTES:
        return LENGTH.pack(len(data)) + data
    packed = zlib.compress(data, COMPRESSION_LEVEL)
    return LENGTH.pack(len(packed) | COMPRESSED) + packed


def _expanded(data: bytes) -> bytes:
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(str(error)) from None
    if not expander.eof:
        raise MalformedMessageError("cut off, or too long when expanded")
    return expanded


_framer = Framer()
frame = _framer.frame


class Deframer:
    """Splits a stream of bytes, which may arrive in any pieces, into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """Yield the messages that are complete now. Raise MalformedMessageError, which ends the stream."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (head,) = LENGTH.unpack_from(self._buffer)
            length = head & ~COMPRESSED
            if length > MAX_BYTES:
                raise MalformedMessageError(f"{length} bytes, {MAX_BYTES} at most")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield decode(_expanded(body) if head & COMPRESSED else body)
