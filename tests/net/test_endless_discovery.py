"""FAULT: what discovery sends without end is ended before it is kept, whatever part of it that is."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from soak.reader_tools import Transport
from tests.endless_messages import CHUNKED, KIB, MIB, OK, Endless, feed_until, responses
from thistleusher.net import discovery
from thistleusher.net.discovery import DiscoveryConnection

IN_A_LINE = OK + CHUNKED
PARTS = {**responses(), "a line": Endless(IN_A_LINE, b"4000\r\n" + b"x" * 0x4000 + b"\r\n")}


@given(st.sampled_from(sorted(PARTS)), st.sampled_from([100, 4 * KIB, 64 * KIB]), st.sampled_from([None, 7]))
@settings(max_examples=60, deadline=None)
def test_what_discovery_sends_without_end_is_ended_before_it_is_kept(part, read_bytes, version):
    line_bytes = discovery.MAX_LINE_BYTES
    discovery.MAX_LINE_BYTES = 256 * KIB

    async def play():
        watch = DiscoveryConnection(lambda text: 7, ("127.0.0.1", 1), version)
        watch.connection_made(Transport())

        def feed(data):
            watch.data_received(data)
            return watch.ended.done()

        fed = feed_until(PARTS[part], read_bytes, feed)
        assert watch.ended.done()
        assert fed.bytes_taken <= 512 * KIB
        assert fed.peak_bytes <= 2 * MIB

    try:
        asyncio.run(play())
    finally:
        discovery.MAX_LINE_BYTES = line_bytes
