"""Run one form that the benchmarks measure as a separate process: `python -m benchmarks.serve FORM CONFIG`.

`app` is a bare ASGI server with an application, `middleware` the same with the library, and `passthrough` a proxy that
only parses and relays. The daemon is not among them; it is `python -m thistleusher`.
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

Application = Callable[..., Awaitable[None]]
ConnectionFactory = Callable[[], asyncio.Protocol]


class AsgiConnection(asyncio.Protocol):
    """A minimal HTTP/1.1 connection of an ASGI server; handles one request at a time."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._response: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for responses."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._body = b""
        self._headers = []

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Start a task in which the application handles the request."""
        path, _, query = self._url.partition(b"?")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "scheme": "http",
            "method": self._parser.get_method().decode(),
            "path": path.decode("latin-1"),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": self._headers,
        }
        answer = self._app(scope, self._receive, self._send)
        asyncio.get_running_loop().create_task(answer)  # type: ignore[arg-type]

    async def _receive(self) -> dict[str, Any]:
        return {"type": "http.request", "body": self._body, "more_body": False}

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            lines = [b"%s: %s\r\n" % header for header in message["headers"]]
            self._response = [b"HTTP/1.1 %d X\r\n" % message["status"], *lines, b"\r\n"]
        else:
            self._response.append(message.get("body", b""))
            if not message.get("more_body"):
                self._transport.write(b"".join(self._response))


async def app(scope: Any, receive: Any, send: Any) -> None:
    """Respond to every request with the same four bytes."""
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"4")]})
    await send({"type": "http.response.body", "body": b"fine"})


class ClientRelay(asyncio.Protocol):
    """A client connection with its own connection to the backend; bytes in both directions are parsed and relayed."""

    def __init__(self, backend: tuple[str, int]) -> None:
        self._backend = backend
        self._parser = httptools.HttpRequestParser(self)
        self._backend_relay: BackendRelay | None = None
        self._unsent: list[bytes] = []  # Bytes received before the connection to the backend is open.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the backend."""
        self.transport = cast(asyncio.Transport, transport)
        asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        _, backend_relay = await asyncio.get_running_loop().create_connection(
            lambda: BackendRelay(self), *self._backend
        )
        self._backend_relay = backend_relay
        for data in self._unsent:
            backend_relay.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse and relay received bytes of a request, or buffer them until the backend is connected."""
        self._parser.feed_data(data)
        if self._backend_relay is None:
            self._unsent.append(data)
        else:
            self._backend_relay.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the backend."""
        if self._backend_relay is not None:
            self._backend_relay.transport.close()


class BackendRelay(asyncio.Protocol):
    """The backend connection that belongs to one client connection."""

    def __init__(self, client_relay: ClientRelay) -> None:
        self._client_relay = client_relay
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for requests."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse and relay received bytes of a response."""
        self._parser.feed_data(data)
        self._client_relay.transport.write(data)


async def connection_factory(form: str, config: dict[str, Any]) -> ConnectionFactory:
    """Return the protocol factory of a form: "passthrough", "app" or "middleware"."""
    if form == "passthrough":
        host, port = config["backend"].split(":")
        return lambda: ClientRelay((host, int(port)))
    if form == "app":
        return lambda: AsgiConnection(app)
    # Imported here so that the library does not add to the memory of the other forms.
    from thistleusher.embed import EmbeddedIngress, QuotaMiddleware, nested_settings

    ingress = EmbeddedIngress(nested_settings(config["settings"])[0], counter=config.get("counter"), seed=1)
    await ingress.open()
    wrapped = QuotaMiddleware(app, ingress)
    return lambda: AsgiConnection(wrapped)


async def main(form: str, config: dict[str, Any]) -> None:
    """Serve one form until the process is killed."""
    factory = await connection_factory(form, config)
    await asyncio.get_running_loop().create_server(factory, HOST, config["port"])
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], json.loads(sys.argv[2])))
