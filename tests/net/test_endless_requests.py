"""FAULT: a stranger's request that does not end is answered and kept no further, on any port that takes requests."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from soak.reader_tools import Transport
from tests.endless_messages import KIB, MIB, feed_until, requests
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.transport.call_server import CallServer

REQUESTS = requests()
LIMITS = [ClientLimits(max_body_bytes=4096), ClientLimits(max_head_bytes=64 * KIB, max_body_bytes=64 * MIB)]


@given(st.sampled_from(sorted(REQUESTS)), st.sampled_from([100, 4 * KIB, 256 * KIB]), st.sampled_from(LIMITS))
@settings(max_examples=60, deadline=None)
def test_a_request_that_does_not_end_is_refused_before_it_is_kept(part, read_bytes, limits):
    loop = asyncio.new_event_loop()
    try:
        connection, transport = ClientConnection(CallServer(loop, [], limits)), Transport()
        connection.connection_made(transport)

        def feed(data):
            connection.data_received(data)
            return bool(transport.written)

        fed = feed_until(REQUESTS[part], read_bytes, feed)
        assert bytes(transport.written).split()[1] in (b"431", b"400", b"413")
        assert fed.bytes_taken <= 512 * KIB
        assert fed.peak_bytes <= 2 * MIB
    finally:
        loop.close()
