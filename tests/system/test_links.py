"""Held connections over loopback: whom to try again, and when."""

import asyncio

from roadspur.transport import links
from roadspur.transport.links import Dial, Listener


def test_a_dial_that_waits_is_tried_at_once_when_the_other_side_shows(monkeypatch):
    monkeypatch.setattr(links, "REDIAL_S", 60.0)

    async def play() -> dict:
        loop = asyncio.get_running_loop()
        came: asyncio.Future = loop.create_future()
        listener = Listener(loop, lambda link, table: came.done() or came.set_result(table), lambda link: None)
        await listener.listen("127.0.0.1", 0)
        port = listener.server.sockets[0].getsockname()[1]
        listener.close()
        dial = Dial(loop, "127.0.0.1", port, lambda: {"t": "hello", "me": "x"}, lambda dial, table: None)
        while dial.opening is None or not dial.opening.done():  # refused: nobody listens there
            await asyncio.sleep(0)
        await listener.listen("127.0.0.1", port)
        dial.poke()
        try:
            async with asyncio.timeout(5.0):
                return await came
        finally:
            dial.close()
            listener.close()
    assert asyncio.run(play()) == {"t": "hello", "me": "x"}


def test_a_connection_given_up_while_it_was_opened_ends_quietly():
    class Closed:
        def is_closing(self) -> bool:
            return True

        def write(self, data: bytes) -> None:
            raise RuntimeError("closed")
    ended = []
    loop = asyncio.new_event_loop()
    link = links.Link(loop, lambda link: None, lambda link, table: None, lambda link, why: ended.append(why))
    link.transport, link.open = Closed(), True
    link.send({"t": "beat"})
    assert ended == ["closed"] and not link.open
    loop.close()
