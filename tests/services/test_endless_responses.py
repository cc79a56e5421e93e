"""FAULT (pellham-enrol): a backend sent bytes without end, and the proxy that had called it kept them all."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.endless_messages import KIB, MIB, feed_until, responses
from thistleusher.services.http_responses import ResponseReader

RESPONSES = responses()
READS = st.sampled_from([100, 4 * KIB, 256 * KIB])


@given(st.sampled_from(sorted(RESPONSES)), READS, st.sampled_from([64 * KIB, 64 * MIB]))
@settings(max_examples=60, deadline=None)
def test_a_response_that_does_not_end_is_ended_before_it_is_kept(part, read_bytes, max_body_bytes):
    reader = ResponseReader(max_body_bytes)

    def feed(data):
        assert not reader.feed(data)
        return bool(reader.error)

    fed = feed_until(RESPONSES[part], read_bytes, feed)
    assert reader.error
    assert fed.bytes_taken <= 512 * KIB
    assert fed.peak_bytes <= 2 * MIB
