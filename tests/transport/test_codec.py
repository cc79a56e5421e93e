"""Messages on a stream: compression, fragments of any size, malformed data."""

import struct
import zlib

import pytest

from thistleusher.transport.codec import COMPRESSED, Deframer, MalformedMessageError, frame
from thistleusher.transport.frame_memory import MAX_FIRST_BYTES, FrameMemory
from thistleusher.transport.messages import Hello, KeepAlive, StateUpdate


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


@pytest.mark.parametrize("flag", [0, COMPRESSED], ids=["plain", "compressed"])
def test_a_stranger_may_announce_a_short_message_only(flag):
    """FAULT: frames of 60 MiB, announced by anybody at the ports between processes, were kept until they were whole."""
    deframer = Deframer(identified=False)
    with pytest.raises(MalformedMessageError):
        list(deframer.feed(struct.pack(">I", MAX_FIRST_BYTES + 1 | flag)))
    assert list(Deframer(identified=False).feed(frame(Hello("10.0.0.1")))) == [Hello("10.0.0.1")]


def test_a_short_message_of_a_stranger_that_unpacks_to_a_long_one_is_malformed():
    packed = zlib.compress(b"\xc0" * 1_000_000)
    assert len(packed) < MAX_FIRST_BYTES
    with pytest.raises(MalformedMessageError):
        list(Deframer(identified=False).feed(struct.pack(">I", len(packed) | COMPRESSED) + packed))


def test_the_incomplete_messages_of_all_links_are_held_within_one_bound():
    memory = FrameMemory(1_000_000)
    begun = struct.pack(">I", 60_000_000) + bytes(100_000)
    strangers, refused = [], 0
    for _ in range(20):
        deframer = Deframer(memory, identified=False, first_bytes=64 * 1024 * 1024)
        try:
            list(deframer.feed(begun))
            strangers.append(deframer)
        except MalformedMessageError:
            refused += 1
    assert (len(strangers), refused) == (4, 16) and memory.held_bytes <= 500_000
    core = Deframer(memory)
    list(core.feed(begun))  # The rest is left to known peers.
    for deframer in (core, *strangers):
        deframer.close()
    assert memory.held_bytes == 0


def test_a_complete_message_is_held_no_longer():
    memory = FrameMemory(1_000_000)
    update = StateUpdate(7, None, {f"route:{n}": (n, f"{n}" * 50) for n in range(400)})
    deframer, data = Deframer(memory), frame(update)
    assert list(deframer.feed(data[:-1])) == [] and memory.held_bytes == len(data) - 1
    assert list(deframer.feed(data[-1:])) == [update] and memory.held_bytes == 0
