"""Records round-trip, are compatible one version back and forward, and are rejected if they are corrupt."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.state.helpers import member
from thistleusher.state.records import MemberRecord, RecordError, decode_incarnation, decode_member, encode

NUMBER = st.floats(-1e6, 1e6)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(
    st.builds(
        MemberRecord,
        key=st.integers(0, 2**33),
        plan=st.text(max_size=20),
        rate=NUMBER,
        burst=NUMBER,
        level=NUMBER,
        at=NUMBER,
        window=st.integers(-1, 2**40),
        acknowledged=NUMBER,
        pending=NUMBER,
        admitted_quarters=st.integers(0, 2**50),
        peer_quarters=st.dictionaries(st.integers(0, 254), st.integers(0, 65535), max_size=5),
    ),
    st.data(),
)
def test_record_round_trips_and_a_flipped_bit_is_rejected(record, data):
    whole = encode(record)
    assert decode_member(whole) == record
    at, bit = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(0, 7))
    corrupt = bytearray(whole)
    corrupt[at] ^= 1 << bit
    with pytest.raises(RecordError):
        decode_member(bytes(corrupt))
    with pytest.raises(RecordError):
        decode_member(whole[: data.draw(st.integers(0, len(whole) - 1))])


def test_one_version_back_and_forward_can_be_read():
    fields = msgspec.to_builtins(member())
    assert isinstance(fields, list)

    def packed(values):
        body = msgspec.msgpack.encode(values)
        return zlib.crc32(body).to_bytes(4) + body

    assert decode_member(packed(fields[:11])) == member()  # without the fields that were added later
    assert decode_member(packed([*fields, "from", {"the": "future"}])) == member()
    for values in ([], fields[:5], ["x", *fields[1:]], {"key": 7}):
        with pytest.raises(RecordError):
            decode_member(packed(values))
    with pytest.raises(RecordError):
        decode_incarnation(encode(member()))
