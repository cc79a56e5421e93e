"""Encodes and decodes messages; the types, identified by their tags, are those of `messages.AnyMessage`.

On a link, each message is preceded by its length in four bytes (big-endian). The highest bit is set if the message is
compressed, which is useful for complete states. Data that does not match a type or exceeds `MAX_BYTES` raises
`MalformedMessageError`, and its connection is closed, as the data that follows cannot be trusted.

Cost: one pass over the bytes of each message. A message that is sent to several peers in succession is encoded once.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

from thistleusher.transport.frame_memory import MAX_FIRST_BYTES, FrameMemory
from thistleusher.transport.messages import AnyMessage, Message

MAX_BYTES = 64 * 1024 * 1024
LENGTH = struct.Struct(">I")
COMPRESSED = 1 << 31  # Flag in the length of a compressed message.
MIN_COMPRESSED_BYTES = 1024  # Shorter messages are sent uncompressed.
# zlib level: complete states shrink by a factor of over ten, in a third of the time that the default level 6 takes.
COMPRESSION_LEVEL = 3

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MalformedMessageError(ValueError):
    """Data that is not a message, or a message whose fields do not match its type."""


def encode(message: Message) -> bytes:
    """Return a message's bytes without a length, as sent in a datagram."""
    return _encoder.encode(message)


def decode(data: bytes | bytearray | memoryview) -> AnyMessage:
    """Decode one message. Raise MalformedMessageError if the data is not a valid message."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


class Framer:
    """Encodes messages for links; caches the bytes of the last message, as it is often sent to several peers."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._data = b""

    def frame(self, message: Message) -> bytes:
        """Return a message's bytes, preceded by their length."""
        if message is not self._message:
            self._message, self._data = message, _with_length(_encoder.encode(message))
        return self._data


def _with_length(data: bytes) -> bytes:
    if len(data) < MIN_COMPRESSED_BYTES:
        return LENGTH.pack(len(data)) + data
    packed = zlib.compress(data, COMPRESSION_LEVEL)
    return LENGTH.pack(len(packed) | COMPRESSED) + packed


def _decompress(data: bytes, max_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise MalformedMessageError(str(error)) from None
    if not decompressor.eof:
        raise MalformedMessageError(f"compressed message truncated, or larger than {max_bytes} bytes")
    return decompressed


_framer = Framer()
frame = _framer.frame


class Deframer:
    """Splits a stream of bytes, which may arrive in fragments of any size, into messages.

    `identified`: whether the sender is known; if not, `first_bytes` bounds its message, however small it is packed.
    """

    def __init__(
        self, memory: FrameMemory | None = None, *, identified: bool = True, first_bytes: int = MAX_FIRST_BYTES
    ) -> None:
        """`memory`: what the incomplete messages of all links of the process may take; None: one whole message."""
        self._memory = memory or FrameMemory(MAX_BYTES)
        self.held_bytes = 0  # Bytes of an incomplete message.
        self._buffer = bytearray()
        self.identified = identified
        self._first_bytes = first_bytes

    @property
    def max_bytes(self) -> int:
        """The upper bound of the next message."""
        return MAX_BYTES if self.identified else self._first_bytes

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """Add received data and yield the complete messages. Raise MalformedMessageError, which ends the stream."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (head,) = LENGTH.unpack_from(self._buffer)
            length = head & ~COMPRESSED
            if length > self.max_bytes:
                raise MalformedMessageError(f"{length} bytes, {self.max_bytes} at most")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield decode(_decompress(body, self.max_bytes) if head & COMPRESSED else body)
        self._hold(len(self._buffer))

    def _hold(self, size: int) -> None:
        """Account for an incomplete message. Raise MalformedMessageError if there is no memory for it."""
        if size == self.held_bytes:
            return
        if not self._memory.take(size - self.held_bytes, identified=self.identified):
            raise MalformedMessageError(f"no memory for an incomplete message of {size} bytes and more")
        self.held_bytes = size

    def close(self) -> None:
        """Drop an incomplete message. No more data may follow."""
        self._buffer = bytearray()
        self._hold(0)
