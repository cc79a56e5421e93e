"""What the benchmarks measure, each as a program of its own: `python -m benchmarks.serve FORM CONFIG`.

`app` is a bare ASGI host and application, `middleware` the same with the library, `passthrough` a proxy that parses
and relays and does nothing else. The daemon is `python -m thistleusher` itself.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any, cast

import httptools
import uvloop

HOST = "127.0.0.1"


class HostConnection(asyncio.Protocol):
    """HTTP/1.1 to ASGI, one request at a time, with as little as that takes."""

    def __init__(self, app: Callable[..., Awaitable[None]]) -> None:
        self.app = app
        self.parser = httptools.HttpRequestParser(self)
        self.url = self.body = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.out: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a request's bytes."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url, self.body, self.headers = b"", b"", []

    def on_url(self, url: bytes) -> None:
        """Append to the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Append to the request's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Call the application with the request."""
        path, _, query = self.url.partition(b"?")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "scheme": "http",
            "method": self.parser.get_method().decode(),
            "path": path.decode("latin-1"),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": self.headers,
        }
        asyncio.get_running_loop().create_task(self.app(scope, self.receive, self.send))  # type: ignore[arg-type]

    async def receive(self) -> dict[str, Any]:
        """Return the request's body, as ASGI has it."""
        return {"type": "http.request", "body": self.body, "more_body": False}

    async def send(self, message: dict[str, Any]) -> None:
        """Write the answer, as ASGI has it."""
        if message["type"] == "http.response.start":
            lines = [b"%s: %s\r\n" % h for h in message["headers"]]
            self.out = [b"HTTP/1.1 %d X\r\n" % message["status"], *lines, b"\r\n"]
        else:
            self.out.append(message.get("body", b""))
            if not message.get("more_body"):
                self.transport.write(b"".join(self.out))


async def app(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with four bytes."""
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"4")]})
    await send({"type": "http.response.body", "body": b"fine"})


class RelayFront(asyncio.Protocol):
    """A client's connection with one of its own to the backend; both sides are parsed, and bytes relayed."""

    def __init__(self, backend: tuple[str, int]) -> None:
        self.backend = backend
        self.parser = httptools.HttpRequestParser(self)
        self.back: RelayBack | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the backend."""
        self.transport = cast(asyncio.Transport, transport)
        asyncio.get_running_loop().create_task(self.connect())

    async def connect(self) -> None:
        """Open the connection to the backend and send what has waited."""
        _, back = await asyncio.get_running_loop().create_connection(lambda: RelayBack(self), *self.backend)
        self.back = back
        for data in self.waiting:
            back.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse a client's bytes and pass them on."""
        self.parser.feed_data(data)
        if self.back is None:
            self.waiting.append(data)
        else:
            self.back.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the backend."""
        if self.back is not None:
            self.back.transport.close()


class RelayBack(asyncio.Protocol):
    """The connection to the backend of one client's connection."""

    def __init__(self, front: RelayFront) -> None:
        self.front = front
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a backend's bytes and pass them on."""
        self.parser.feed_data(data)
        self.front.transport.write(data)


async def main(form: str, config: dict[str, Any]) -> None:
    """Serve in one of the forms until the process is killed."""
    loop = asyncio.get_running_loop()
    factory: Callable[[], asyncio.Protocol]
    if form == "passthrough":
        host, port = config["backend"].split(":")
        factory = lambda: RelayFront((host, int(port)))  # noqa: E731
    elif form == "app":
        factory = lambda: HostConnection(app)  # noqa: E731
    else:
        from thistleusher.embed import EmbeddedIngress, QuotaMiddleware, nested_settings

        ingress = EmbeddedIngress(nested_settings(config["settings"])[0], counter=config.get("counter"), seed=1)
        await ingress.open()
        wrapped = QuotaMiddleware(app, ingress)
        factory = lambda: HostConnection(wrapped)  # noqa: E731
    await loop.create_server(factory, HOST, config["port"])
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], json.loads(sys.argv[2])))
