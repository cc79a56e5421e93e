"""Links over loopback: reconnection, and rejected messages."""

import asyncio
import contextlib
import struct

import msgspec
import pytest

from thistleusher.transport import links
from thistleusher.transport.codec import frame
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.links import Listener, ReconnectingLink
from thistleusher.transport.messages import Hello, KeepAlive, Message, StateUpdateAck


def test_a_waiting_link_reconnects_at_once_when_the_peer_is_seen(monkeypatch):
    monkeypatch.setattr(links, "RECONNECT_DELAY_S", 60.0)

    async def play() -> Message:
        loop = asyncio.get_running_loop()
        received: asyncio.Future = loop.create_future()
        listener = Listener(
            loop, lambda link, message: received.done() or received.set_result(message), lambda link: None
        )
        await listener.listen("127.0.0.1", 0)
        port = listener.server.sockets[0].getsockname()[1]
        listener.close()
        link = ReconnectingLink(loop, "127.0.0.1", port, lambda: Hello("x"), lambda link, message: None)
        while link.opening is None or not link.opening.done():  # Refused: no process listens on the port.
            await asyncio.sleep(0)
        await listener.listen("127.0.0.1", port)
        link.retry_now()
        try:
            async with asyncio.timeout(5.0):
                return await received
        finally:
            link.close()
            listener.close()

    assert asyncio.run(play()) == Hello("x")


def test_a_connection_abandoned_while_opening_ends_without_an_error():
    class Closed:
        def is_closing(self) -> bool:
            return True

        def write(self, data: bytes) -> None:
            raise RuntimeError("closed")

    ended = []
    loop = asyncio.new_event_loop()
    link = links.Link(loop, lambda link: None, lambda link, message: None, lambda link, why: ended.append(why))
    link.transport, link.open = Closed(), True
    link.send(KeepAlive())
    assert ended == ["closed"] and not link.open
    loop.close()


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 3) + b"\xff\xff\xff",  # Not a message.
        struct.pack(">I", 1 << 31),  # An empty compressed message.
        struct.pack(">I", 8) + msgspec.msgpack.encode(["hello", 5]),  # A field of the wrong type.
        frame(StateUpdateAck(1)),  # Well formed, but not accepted here.
    ],
    ids=["no message", "too long", "wrong type", "not taken"],
)
def test_a_malformed_or_unexpected_message_is_logged_and_closes_its_connection(monkeypatch, data):
    logged, received = [], []
    monkeypatch.setattr(links, "log_event", lambda event, *fields: logged.append(event.name))

    def take(link, message):
        if not isinstance(message, Hello):
            raise UnexpectedMessageError(message)
        received.append(message)

    async def play() -> bytes:
        loop = asyncio.get_running_loop()
        listener = Listener(loop, take, lambda link: None)
        await listener.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.server.sockets[0].getsockname())
        writer.write(frame(Hello("x")) + data + frame(Hello("after it")))
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()
            listener.close()

    assert asyncio.run(play()) == b""
    assert received == [Hello("x")] and logged == ["MESSAGE_REJECTED"]


def test_an_attempt_cancelled_after_it_connected_reports_nothing():
    """`retry_now` may cancel an attempt that has just connected; the event loop then closes it without a callback."""

    async def play() -> list[str]:
        loop = asyncio.get_running_loop()
        faults: list[str] = []
        loop.set_exception_handler(lambda loop, context: faults.append(str(context.get("exception"))))
        links_made: list[links.Link] = []

        async def connects_and_is_cancelled(factory, host, port):
            link = factory()
            links_made.append(link)
            link.open, link.transport = True, None
            link.keep_alive_timer = loop.call_later(0, faults.append, "the beat of a link that nobody has")
            raise asyncio.CancelledError

        loop.create_connection = connects_and_is_cancelled
        link = ReconnectingLink(loop, "127.0.0.1", 1, lambda: Hello("x"), lambda link, message: None)
        while not links_made:
            await asyncio.sleep(0)
        link.close()
        for _ in range(5):
            await asyncio.sleep(0)
        assert not links_made[0].open
        return faults

    assert asyncio.run(play()) == []


async def first_two_messages(take, first_message):
    """Connect a link to a listener that passes messages to `take`; return the first two messages received."""
    loop = asyncio.get_running_loop()
    received, both = [], loop.create_future()

    def receive(link, message):
        received.append(message)
        if len(received) == 2:
            both.set_result(None)
        take(message)

    listener = Listener(loop, receive, lambda link: None)
    await listener.listen("127.0.0.1", 0)
    port = listener.server.sockets[0].getsockname()[1]
    link = ReconnectingLink(loop, "127.0.0.1", port, first_message, lambda link, message: None)
    async with asyncio.timeout(5.0):
        await both
    link.close()
    listener.close()
    return received


def test_any_error_in_a_message_handler_ends_the_connection_but_not_the_link(monkeypatch):
    """Any exception raised by a message handler is logged, and a new connection sends the first message again."""
    logged = []
    monkeypatch.setattr(links, "RECONNECT_DELAY_S", 0.0)
    monkeypatch.setattr(links, "log_event", lambda event, *fields: logged.append(event.name))

    def fail(message):
        raise ZeroDivisionError

    assert asyncio.run(first_two_messages(fail, lambda: Hello("x"))) == [Hello("x")] * 2
    assert "FAULT" in logged


def test_a_link_reconnects_after_an_error_while_opening(monkeypatch):
    logged, faults = [], iter([ZeroDivisionError()])
    monkeypatch.setattr(links, "RECONNECT_DELAY_S", 0.0)
    monkeypatch.setattr(links, "log_event", lambda event, *fields: logged.append(event.name))

    def first_message():
        for fault in faults:
            raise fault
        return Hello("x")

    def fail(message):
        raise ValueError  # Closes the connection, so that the link reconnects.

    assert asyncio.run(first_two_messages(fail, first_message)) == [Hello("x")] * 2
    assert logged[0] == "FAULT"


async def read_to_end(reader):
    """Return whether a connection ends; keep-alive messages may come before that."""
    try:
        async with asyncio.timeout(10.0):
            while await reader.read(1000):
                pass
            return True
    except ConnectionError:
        return True
    except TimeoutError:
        return False


async def ends_while_sending(first, again):
    """Send to a listener, then something again and again; return whether the connection ends."""
    listener = Listener(asyncio.get_running_loop(), lambda link, message: None, lambda link: None)
    await listener.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.server.sockets[0].getsockname())
    writer.write(first)
    ended = asyncio.ensure_future(read_to_end(reader))
    with contextlib.suppress(ConnectionError):
        while not ended.done():
            writer.write(again)
            await asyncio.sleep(0.1)
    writer.close()
    listener.close()
    return await ended


def test_a_message_that_does_not_come_whole_in_time_ends_its_link(monkeypatch):
    """Each byte shows that the peer is up, so that a message sent byte by byte would be held for good."""
    monkeypatch.setattr(links, "MESSAGE_TIMEOUT_S", 0.5)
    assert asyncio.run(ends_while_sending(frame(Hello("x")) + struct.pack(">I", 1_000_000), b"x"))


def test_a_stranger_that_only_keeps_its_link_alive_does_not_keep_it(monkeypatch):
    monkeypatch.setattr(links, "IDENTIFY_TIMEOUT_S", 0.5)
    assert asyncio.run(ends_while_sending(b"", frame(KeepAlive())))


def test_strangers_do_not_take_the_links_of_known_peers():
    async def play():
        heard = asyncio.Event()
        listener = Listener(
            asyncio.get_running_loop(), lambda link, message: heard.set(), lambda link: None, max_links=3
        )
        await listener.listen("127.0.0.1", 0)
        address = listener.server.sockets[0].getsockname()
        strangers = [await asyncio.open_connection(*address) for _ in range(3)]
        _, writer = await asyncio.open_connection(*address)
        writer.write(frame(Hello("x")))
        async with asyncio.timeout(5.0):
            await heard.wait()
        names = sorted(link.name for link in listener.links)
        for _, each in [*strangers, (None, writer)]:
            each.close()
        listener.close()
        return names

    assert asyncio.run(play()) == ["", "", "x"]
