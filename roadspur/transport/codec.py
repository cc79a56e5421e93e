"""Messages to bytes and back: one table of types, by their tags (`messages.AnyMessage`).

On a held connection each message is preceded by its length in four bytes. What does not fit its type, or is longer
than `MOST_BYTES`, is a `MalformedMessage`: it is refused, and the connection that brought it is ended, as nothing
after it can be trusted.

Pure. Cost: one pass over the bytes of each message.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec

from roadspur.transport.messages import AnyMessage, Message

MOST_BYTES = 64 * 1024 * 1024
LENGTH = struct.Struct(">I")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MalformedMessage(ValueError):
    """Bytes that are no message, or one whose fields do not fit its type."""


def encode(message: Message) -> bytes:
    """A message's bytes, as a datagram has them."""
    return _encoder.encode(message)


def decode(data: bytes | bytearray | memoryview) -> AnyMessage:
    """The message that some bytes are. MalformedMessage where they are none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessage(str(error)) from None


def frame(message: Message) -> bytes:
    """A message's bytes with their length before them, as a held connection has them."""
    data = _encoder.encode(message)
    return LENGTH.pack(len(data)) + data


class Deframer:
    """Messages out of a stream of bytes, which may come in any pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """The messages that are whole now. MalformedMessage ends the stream."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer)
            if length > MOST_BYTES:
                raise MalformedMessage(f"{length} bytes, {MOST_BYTES} at most")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield decode(body)
