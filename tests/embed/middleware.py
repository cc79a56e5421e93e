"""Test rig of the middleware: an application whose HTTP handler the test provides, and its host."""

from __future__ import annotations

from tests.embed.host import Host, serve_lifespan
from tests.embed.test_ingress import make_ingress
from tests.net.sockets import Client, call
from thistleusher.embed import MemoryCounter, QuotaMiddleware

TERMS = "units=2,spread=1,first=0"


def raw(name="r1", cls="read", **more):
    return call(name, cls, X_Call_Terms=TERMS, **more)


class HandlerApp:
    """An application whose HTTP handler the test provides."""

    def __init__(self, act):
        self.act, self.scopes = act, []

    async def __call__(self, scope, receive, send):
        self.scopes.append(scope)
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        else:
            await self.act(scope, receive, send)


async def send_response(send, status=200, body=b"fine", headers=()):
    await send(
        {"type": "http.response.start", "status": status, "headers": [(b"content-length", b"%d" % len(body)), *headers]}
    )
    await send({"type": "http.response.body", "body": body})


class Rig:
    """An ingress, the middleware, an application, and its host."""

    def __init__(self, act, counter=None, identify=None, fields=False):
        self.counter = counter or MemoryCounter(lambda: 1000.0)
        self.ingress = make_ingress(counter=self.counter)
        self.app = HandlerApp(act)
        self.host = Host(QuotaMiddleware(self.app, self.ingress, identify, fields))

    async def __aenter__(self):
        await self.ingress.open()
        await self.host.start()
        return self

    async def __aexit__(self, *_):
        await self.host.stop()
        await self.ingress.close()

    async def client(self):
        return await Client.connect(self.host.port)
