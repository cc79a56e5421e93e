"""A small ASGI host for the tests: HTTP/1.1 over loopback sockets, lifespan, and cancellation on demand."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from standins.http import Connection, Message, Service


class Host(Service):
    """Serves one ASGI application. `cancel_request` cancels a request's task, as a host's own time-out does."""

    def __init__(self, app: Any) -> None:
        super().__init__()
        self.app = app
        self.running: dict[str, asyncio.Task[None]] = {}
        self.errors: list[BaseException] = []
        self.answers: dict[str, int] = {}  # number of responses begun, by X-Call-Id
        self.lifespan: asyncio.Task[None] | None = None
        self.lifespan_events: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.lifespan_replies: asyncio.Queue[dict[str, Any]] = asyncio.Queue()

    async def start(self, port: int = 0) -> None:
        self.lifespan = asyncio.create_task(
            self.app(
                {"type": "lifespan", "asgi": {"version": "3.0"}, "state": {}},
                self.lifespan_events.get,
                self.lifespan_replies.put,
            )
        )
        await self.lifespan_events.put({"type": "lifespan.startup"})
        message = await self.lifespan_replies.get()
        assert message["type"] == "lifespan.startup.complete", message
        await super().start(port)

    async def stop(self) -> None:
        await super().stop()
        if self.lifespan is not None:
            await self.lifespan_events.put({"type": "lifespan.shutdown"})
            assert (await self.lifespan_replies.get())["type"] == "lifespan.shutdown.complete"
            await self.lifespan

    def cancel_request(self, name: str) -> None:
        self.running[name].cancel()

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        method, target, _ = message.line.split(" ", 2)
        path, _, query = target.partition("?")
        name = message.headers.get("x-call-id", "")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.4"},
            "http_version": "1.1",
            "method": method,
            "scheme": "http",
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "root_path": "",
            "client": ("127.0.0.1", 1),
            "server": None,
            "headers": [(k.encode(), v.encode()) for k, v in message.headers.items()],
        }
        exchange = Exchange(message, connection)
        task = self.running[name] = asyncio.create_task(self.app(scope, exchange.receive, exchange.send))
        gone = asyncio.create_task(exchange.watch())
        try:
            await asyncio.wait([task])
        finally:
            gone.cancel()
            self.running.pop(name, None)
            self.answers[name] = exchange.begun
        if task.cancelled():  # the host itself answers a request that its own time-out has cancelled
            return None if exchange.begun else b"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n"
        error = task.exception()
        if error is not None:
            self.errors.append(error)
            return None if exchange.begun else b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        return b"" if exchange.complete else None


class Exchange:
    """The ASGI `receive` and `send` of one request."""

    def __init__(self, message: Message, connection: Connection) -> None:
        self.message, self.connection = message, connection
        self.request_read = self.complete = self.chunked = False
        self.begun = 0
        self.disconnected = asyncio.Event()

    async def watch(self) -> None:
        """Detect the client's disconnect. Clients send nothing else while they wait for their answer."""
        with contextlib.suppress(Exception):
            reader = self.connection.reader
            while not reader.at_eof() and not self.connection.writer.transport.is_closing():  # noqa: ASYNC110 (no event for it)
                await asyncio.sleep(0.005)
        self.disconnected.set()

    async def receive(self) -> dict[str, Any]:
        if not self.request_read:
            self.request_read = True
            return {"type": "http.request", "body": self.message.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        writer = self.connection.writer
        if message["type"] == "http.response.start":
            self.begun += 1
            headers = list(message.get("headers", ()))
            self.chunked = not any(n.lower() == b"content-length" for n, _ in headers)
            if self.chunked:
                headers.append((b"transfer-encoding", b"chunked"))
            writer.write(
                b"HTTP/1.1 %d X\r\n" % message["status"] + b"".join(b"%s: %s\r\n" % h for h in headers) + b"\r\n"
            )
        elif message["type"] == "http.response.body":
            body = message.get("body", b"")
            self.complete = not message.get("more_body", False)
            if self.chunked:
                writer.write(
                    (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + (b"0\r\n\r\n" if self.complete else b"")
                )
            else:
                writer.write(body)
            await writer.drain()


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Handle the lifespan scope of an application that has nothing to start."""
    await receive()
    await send({"type": "lifespan.startup.complete"})
    await receive()
    await send({"type": "lifespan.shutdown.complete"})
