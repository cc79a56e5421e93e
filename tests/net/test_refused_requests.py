"""FAULT: what a refused or answered request had made a connection hold stayed there, counted by nobody."""

import asyncio
import gc
import tracemalloc

import pytest

from soak.reader_tools import Transport
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.memory_budget import MemoryBudget
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.transport.call_server import CallServer

KIB = 1024
MB = 1024 * KIB
MAX_HEAD_BYTES = 256 * KIB
LIMITS = ClientLimits(max_head_bytes=MAX_HEAD_BYTES, max_body_bytes=MB)
START = b"GET /none HTTP/1.1\r\nHost: a\r\n"
FIELDS = b"".join(b"%05x:41\r\n" % n for n in range(10_000))  # 100,000 bytes that take some 1.6 MB
# Of one connection that holds no request: its own, and 2,000 freed pairs that the interpreter keeps for later ones.
HELD_BYTES = 32 * KIB + 2000 * 56

REFUSED = {
    "too many bytes of fields": START + FIELDS * 4,
    "a value that is too long": START + b"X: " + b"v" * (MAX_HEAD_BYTES + 32 * KIB),
    "a malformed line after many": START + FIELDS + b"no field\r\n\r\n",
    "a body that is too large": START + FIELDS + b"Content-Length: 99999999\r\n\r\n",
    "two lengths": START + FIELDS + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
    "an upgrade": START + FIELDS + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
    "trailers without end": START + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + FIELDS * 4,
}


class Lingering(Transport):
    """A transport whose client neither reads nor closes."""

    def get_write_buffer_size(self):
        return 0


@pytest.fixture
def server():
    loop = asyncio.new_event_loop()
    server = CallServer(loop, [], LIMITS)
    server.budget = MemoryBudget(64 * MB)
    yield server
    loop.close()


def connect(server, data):
    connection = ClientConnection(server)
    connection.connection_made(Lingering())
    for begin in range(0, len(data), 64 * KIB):
        connection.data_received(data[begin : begin + 64 * KIB])
    return connection


def held_by(server, data):
    """Return a connection that got these bytes, and the memory that it keeps."""
    connect(server, data).connection_lost(None)
    gc.collect()
    tracemalloc.start()
    try:
        connection = connect(server, data)
        return connection, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("kind", REFUSED)
def test_a_refused_request_is_held_no_longer(server, kind):
    connection, held_bytes = held_by(server, REFUSED[kind])
    assert connection.transport.written.startswith(b"HTTP/1.1 4")
    assert held_bytes < HELD_BYTES
    assert server.budget.held == server.budget.head_bytes == 0 and not server.incomplete_requests


def test_an_answered_request_is_held_no_longer(server):
    connection, held_bytes = held_by(server, START + FIELDS + b"\r\n")
    assert connection.transport.written.startswith(b"HTTP/1.1 404") and not connection.closing
    assert held_bytes < HELD_BYTES
    assert server.budget.held == 0


def test_an_incomplete_request_is_counted_as_what_it_takes(server):
    _, held_bytes = held_by(server, START + FIELDS)
    assert held_bytes <= server.budget.held <= 2 * held_bytes


def test_an_ended_connection_keeps_nothing_until_the_collector_runs(server):
    gc.collect()
    gc.disable()
    connect(server, START + FIELDS).connection_lost(None)
    tracemalloc.start()
    try:
        for _ in range(4):
            connect(server, START + FIELDS).connection_lost(None)
        assert tracemalloc.get_traced_memory()[0] < 4 * HELD_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()


def test_what_follows_a_refused_request_in_the_same_read_is_not_kept(server):
    refused = START + b"Content-Length: 99999999\r\n\r\n"
    connection, held_bytes = held_by(server, refused + (START + FIELDS[:1000] + b"\r\n") * 50)
    assert bytes(connection.transport.written).count(b"HTTP/1.1") == 1 and not connection.queue
    assert held_bytes < HELD_BYTES


def test_the_oldest_incomplete_request_makes_room_for_a_new_one(server):
    server.budget.resize(16 * MB)
    held = [connect(server, START + FIELDS) for _ in range(6)]
    refused = [bool(each.transport.written) for each in held]
    assert refused == sorted(refused, reverse=True) and refused[0] and not refused[-1]
    assert held[0].transport.written.startswith(b"HTTP/1.1 503") and b"Retry-After" in held[0].transport.written
    assert server.budget.head_bytes <= 16 * MB / 4
