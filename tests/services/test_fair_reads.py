"""FAULT: the bytes of one fast sender held up the event loop, and with it the requests of all other clients."""

import asyncio
import socket
import threading

import pytest
import uvloop

from thistleusher.services.fair_reads import READ_BYTES, FairReads

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
