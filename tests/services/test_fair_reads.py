"""FAULT: the bytes of one fast sender held up the event loop, and with it the requests of all other clients."""

import asyncio
import socket
import threading

import pytest
import uvloop

from thistleusher.services.fair_reads import (
    COSTLY_A_TURN,
    FIRST_READ_BYTES,
    MAX_TURN_WORK,
    MIN_READ_BYTES,
    READ_BYTES,
    FairReads,
)

TOTAL_BYTES = 16 * 1024 * 1024


class Receiver(FairReads):
    """Counts the bytes that arrive in each turn of the loop."""

    def __init__(self, loop):
        self.loop, self.transport, self.done = loop, None, loop.create_future()
        self.total = self.in_turn = self.most_in_turn = 0
        self.paused = False

    def connection_made(self, transport):
        self.transport = transport
        self.loop.call_soon(self.count_turn)

    def count_turn(self):
        self.most_in_turn = max(self.most_in_turn, self.in_turn)
        self.in_turn = 0
        if not self.done.done():
            self.loop.call_soon(self.count_turn)

    def data_received(self, data):
        self.total += len(data)
        self.in_turn += len(data)
        if self.total == TOTAL_BYTES:
            self.done.set_result(None)

    def wants_data(self):
        return not self.paused and not self.transport.is_closing()


async def receive(on_made):
    """Return the protocol that received `TOTAL_BYTES` from a thread that sends them as fast as they are taken."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    sender = threading.Thread(target=theirs.sendall, args=(bytes(TOTAL_BYTES),))
    sender.start()
    receiver = Receiver(loop)
    await loop.create_connection(lambda: receiver, sock=ours)
    on_made(receiver)
    async with asyncio.timeout(20.0):
        await receiver.done
    sender.join()
    receiver.transport.abort()
    theirs.close()
    return receiver


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])
def test_a_fast_sender_gets_one_read_in_a_turn_of_the_loop(run):
    assert run(receive(lambda receiver: None)).most_in_turn <= READ_BYTES


def test_a_protocol_that_has_paused_reading_itself_is_not_read_on():
    def pause(receiver):
        receiver.paused = True
        receiver.transport.pause_reading()
        receiver.loop.call_later(0.2, resume, receiver, receiver.total)

    def resume(receiver, total):
        assert receiver.total <= total + READ_BYTES
        receiver.paused = False
        receiver.transport.resume_reading()

    assert uvloop.run(receive(pause)).total == TOTAL_BYTES


PARTS = 1000  # of a message, in each KiB


class Costly(FairReads):
    """A protocol whose bytes cost more time than others."""

    log = []

    def __init__(self, loop, name):
        self.loop, self.transport, self.name, self.parts = loop, None, name, 0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parts += len(data) * PARTS // 1024
        self.log.append((self.name, len(data)))

    def take_work(self):
        parts, self.parts = self.parts, 0
        return parts

    def wants_data(self):
        return not self.transport.is_closing()


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])
@pytest.mark.parametrize("count", [1, 60])
def test_costly_reads_of_many_take_a_bounded_part_of_a_turn(run, count):
    async def main():
        loop = asyncio.get_running_loop()
        pairs = [socket.socketpair() for _ in range(count)]
        Costly.log = log = []
        protocols = [Costly(loop, n) for n in range(count)]
        for protocol, (ours, theirs) in zip(protocols, pairs, strict=True):
            theirs.setblocking(False)
            ours.setblocking(False)
            await loop.create_connection(lambda protocol=protocol: protocol, sock=ours)
        for _, theirs in pairs:
            theirs.send(bytes(100_000))
        turns, seen = [], 0
        for _ in range(200):
            await asyncio.sleep(0)
            turns.append(sum(size for _, size in log[seen:]) * PARTS // 1024)
            seen = len(log)
        for protocol, (_, theirs) in zip(protocols, pairs, strict=True):
            protocol.transport.abort()
            theirs.close()
        return turns, {name for name, _ in log}

    turns, served = run(main())
    short_read = MIN_READ_BYTES * PARTS // 1024
    # Of the first reads, which come all at once, those after the first are short.
    assert max(turns) <= FIRST_READ_BYTES * PARTS // 1024 + count * short_read
    assert sorted(turns)[-10] <= MAX_TURN_WORK + COSTLY_A_TURN * short_read
    assert len(served) == count


def test_a_large_body_does_not_wait_behind_costly_reads():
    """FAULT: beside many clients with costly requests a large upload ran out of its time."""

    async def main():
        loop = asyncio.get_running_loop()
        pairs = [socket.socketpair() for _ in range(61)]
        Costly.log = log = []
        protocols = [Costly(loop, n) for n in range(60)] + [Cheap(loop, "cheap")]
        for protocol, (ours, theirs) in zip(protocols, pairs, strict=True):
            ours.setblocking(False)
            theirs.setblocking(False)
            await loop.create_connection(lambda protocol=protocol: protocol, sock=ours)
        for _, theirs in pairs:
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * 1024 * 1024)
            theirs.send(bytes(160_000))
        turns = 0
        while sum(size for name, size in log if name == "cheap") < 160_000:
            await asyncio.sleep(0)
            turns += 1
        for protocol, (_, theirs) in zip(protocols, pairs, strict=True):
            protocol.transport.abort()
            theirs.close()
        return turns, len({name for name, _ in log})

    turns, served = uvloop.run(main())
    assert turns <= 40 and served == 61


class Cheap(Costly):
    """A protocol whose bytes cost next to nothing."""

    def take_work(self):
        return 0
