"""Messages on a stream: compression, fragments of any size, malformed data."""

import struct
import zlib

import pytest

from thistleusher.transport.codec import COMPRESSED, Deframer, MalformedMessageError, frame
from thistleusher.transport.messages import KeepAlive, StateUpdate


def test_a_large_message_is_compressed_and_reassembled_from_any_fragments():
    update = StateUpdate(7, None, {f"route:{n}": (n, "x" * 50) for n in range(400)})
    data = frame(update) + frame(KeepAlive()) + frame(update)
    assert len(data) < 400 * 50
    for step in (1, 3, 1000, len(data)):
        deframer = Deframer()
        came = [each for at in range(0, len(data), step) for each in deframer.feed(data[at : at + step])]
        assert came == [update, KeepAlive(), update]


@pytest.mark.parametrize("body", [b"no such stream", zlib.compress(b"x" * 2000)[:-5], zlib.compress(b"x" * 2000)])
def test_data_that_does_not_decompress_to_a_message_is_malformed(body):
    with pytest.raises(MalformedMessageError):
        list(Deframer().feed(struct.pack(">I", len(body) | COMPRESSED) + body))
