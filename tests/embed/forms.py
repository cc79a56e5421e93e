"""Both forms of the ingress on the same sockets: daemons in front of a stand-in app, and the app with middleware."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
from typing import Any
from unittest.mock import patch

from standins.counter import Counter
from standins.discovery import Discovery
from standins.records import Began, Ran, Records
from tests.embed.host import Host, serve_lifespan
from tests.net.sockets import HOST, Client, closed_port, datagram_addresses
from thistleusher.assembly import make_gateway
from thistleusher.core import events
from thistleusher.core.actions import Action, CounterAdd, SendToPeer
from thistleusher.core.events import Event
from thistleusher.core.settings_parser import nested_settings
from thistleusher.embed import EmbeddedIngress, PeerAddresses, QuotaMiddleware
from thistleusher.net.config import read_config
from thistleusher.net.daemon import Daemon
from thistleusher.quota.messages import HANDSHAKE_MARK

INSTANCES = 3


def settings(me: int, **changes: Any) -> dict[str, Any]:
    """Return settings in the configuration's form, with quotas that the scripted traffic exceeds within minutes."""
    classes = [
        {"name": name, "semantics": how, "objective": 20.0, "hardLimit": 60.0, "group": "all", "window": 15.0}
        for name, how in (("browse", "retryable"), ("send-message", "dedup"), ("charge", "fragile"))
    ]
    plans = [
        {"name": "basic", "rate": 2.4, "storeSize": 10.0},
        {"name": "plus", "rate": 16.0, "storeSize": 36.0, "capRate": 29.0, "neverOverDepth": 65.0},
    ]
    return {
        "balancers": INSTANCES,
        "me": me,
        "classes": classes,
        "plans": plans,
        "step": 0.004,
        "extra": {
            "counter": True,
            "counterTimeout": changes.get("timeout", 5.0),
            "maxUnits": 4,
            "truedUp": True,
            "peerInPerS": 100.0,
        },
        "limits": {
            "maxAttempts": 1,
            "cancel": True,
            "peers": True,
            "connIdle": 15.0,
            "connectTimeout": 2.0,
            "maxRetryAfter": 1.0,
            "ownBackends": True,
        },
    }


class Script:
    """A clock advanced by the test, and its timers."""

    def __init__(self, now: float) -> None:
        self.now = now
        self.due: list[tuple[float, int, Handle]] = []
        self.order = itertools.count()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Any, *args: Any) -> Handle:
        return self.call_at(self.now + delay, callback, *args)

    def call_at(self, when: float, callback: Any, *args: Any) -> Handle:
        handle = Handle(callback, args)
        heapq.heappush(self.due, (when, next(self.order), handle))
        return handle

    def step(self, until_when: float) -> bool:
        """Fire the next timer due by `until_when`; if there is none, advance the clock and return False."""
        while self.due and self.due[0][0] <= until_when:
            when, _, handle = heapq.heappop(self.due)
            self.now = max(self.now, when)
            if not handle.cancelled:
                handle.callback(*handle.args)
                return True
        self.now = max(self.now, until_when)
        return False


class Handle:
    def __init__(self, callback: Any, args: Any) -> None:
        self.callback, self.args, self.cancelled = callback, args, False

    def cancel(self) -> None:
        self.cancelled = True


class Recorder:
    """Wraps the decision module of one instance and records its events and actions."""

    def __init__(self, gateway: Any, reachable: list[Recorder]) -> None:
        """`reachable`: the recorders of all instances that datagrams reach, including this one."""
        self.gateway, self.reachable = gateway, reachable
        self.log: list[tuple[float, Event, list[Action]]] = []
        self.calls = 0
        self.replies = 0
        self.sent = 0
        self.received = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = self.gateway.handle(now, event)
        # Bootstrap handshakes arrive in any order and lead to no decisions here, so they are not compared.
        handshake = isinstance(event, events.PeerMessage) and event.payload[:1] == HANDSHAKE_MARK
        if not isinstance(event, events.ListUpdate) and not handshake:
            self.log.append((round(now, 6), event, list(actions)))
        self.replies += isinstance(event, events.CounterReply)
        self.received += isinstance(event, events.PeerMessage)
        self.calls += sum(isinstance(a, CounterAdd) for a in actions)
        self.sent += sum(
            len(self.reachable) - 1 if a.peer is None else a.peer < len(self.reachable)
            for a in actions
            if isinstance(a, SendToPeer)
        )
        return actions

    def __getattr__(self, name: str) -> Any:
        return getattr(self.gateway, name)


class App:
    """The stand-in application: the request's id determines how it is answered."""

    def __init__(self, script: Script | None, records: Records, name: str) -> None:
        self.script, self.records, self.name = script, records, name
        self.work = 0.0
        self.error_ids: set[str] = set()
        self.true: dict[str, str] = {}
        self.delay = 0.0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        headers = dict(scope["headers"])
        name, key = headers[b"x-call-id"].decode(), headers.get(b"idempotency-key", b"").decode()
        now = self.script.now if self.script is not None else __import__("time").time()
        self.records.add(Began(now, name, self.name, key, 0.0))
        if self.script is not None:
            self.script.now += self.work  # timers that become due during the work fire after the answer
        elif self.delay:
            await asyncio.sleep(self.delay)
        if name in self.error_ids:
            await send({"type": "http.response.start", "status": 500, "headers": [(b"content-length", b"0")]})
            await send({"type": "http.response.body", "body": b""})
            return
        self.records.add(Ran(now, name, self.name, key))
        body = f"{self.name} {name}".encode()
        lines = [(b"content-length", b"%d" % len(body))]
        if name in self.true:
            lines.append((b"x-cost-units", self.true[name].encode()))
        await send({"type": "http.response.start", "status": 200, "headers": lines})
        await send({"type": "http.response.body", "body": body})


class InstanceGroup:
    """Three instances of one form with their counter, peers and apps. Subclasses open and close an instance."""

    def __init__(self, script: Script | None, counter: Counter, **changes: Any) -> None:
        self.script, self.counter, self.changes = script, counter, changes
        self.records = Records()
        self.apps = [App(script, self.records, f"app-{n}") for n in range(INSTANCES)]
        self.recorders: list[Recorder] = []
        self.ports: list[int] = []
        self.peers = datagram_addresses(INSTANCES)
        self.clients: list[Client] = []

    def unix(self) -> Any:
        return self.script.time if self.script is not None else __import__("time").time

    async def __aenter__(self) -> InstanceGroup:
        for n in range(INSTANCES):
            self.ports.append(await self.open(n))
            await self.wait_until_quiescent()
        self.clients = [await Client.connect(p) for p in self.ports]
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            client.writer.close()
        for n in range(INSTANCES):
            await self.close(n)

    async def open(self, n: int) -> int:
        raise NotImplementedError

    async def close(self, n: int) -> None:
        raise NotImplementedError

    def record(self, gateway: Any) -> Recorder:
        """Wrap an instance's decision module; done before the instance opens, so that no action is missed."""
        self.recorders.append(Recorder(gateway, self.recorders))
        return self.recorders[-1]

    async def wait_until_quiescent(self) -> None:
        """Wait until every counter call has its reply and every datagram has arrived."""
        while not (  # noqa: ASYNC110 (polls states of the same loop)
            all(r.calls == r.replies for r in self.recorders)
            and sum(r.sent for r in self.recorders) == sum(r.received for r in self.recorders)
        ):
            await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        assert self.script is not None
        end = self.script.now + seconds
        await self.wait_until_quiescent()
        while self.script.step(end):
            await self.wait_until_quiescent()


class Daemons(InstanceGroup):
    """Daemons, each in front of its own stand-in application."""

    async def open(self, n: int) -> int:
        app = Host(self.apps[n])
        await app.start()
        discovery = Discovery(clock=lambda: 0.0)
        await discovery.start()
        discovery.put("app", app.address)
        port = closed_port()
        path = self.changes["folder"] / f"{n}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{n}",
                    "listen": f"{HOST}:{port}",
                    "discovery": discovery.address,
                    "seed": f"{n + 1:x}",
                    "counter": self.counter.address,
                    "peer_listen": self.peers[n],
                    "peers": self.peers,
                    "known": discovery.listing(),
                    "settings": settings(n, **self.changes),
                }
            )
        )
        daemon = Daemon(read_config({"PROXY_CONFIG": str(path)}), self.unix(), self.script)
        driver = daemon.ingress.driver
        driver.gateway = self.record(driver.gateway)
        await daemon.start()
        self.parts = getattr(self, "parts", [])
        self.parts.append((daemon, app, discovery))
        return port

    async def close(self, n: int) -> None:
        daemon, app, discovery = self.parts[n]
        daemon.close()
        await app.stop()
        await discovery.stop()


class Middlewares(InstanceGroup):
    """The stand-in applications with the middleware, served by the tests' ASGI host."""

    async def open(self, n: int) -> int:
        parsed, _ = nested_settings(settings(n, **self.changes))
        ingress = EmbeddedIngress(
            parsed,
            counter=self.counter.address,
            clock=self.unix(),
            scheduler=self.script,
            peers=PeerAddresses(self.peers[n], tuple(self.peers)),
            seed=n + 1,
        )
        with patch("thistleusher.embed.ingress.make_gateway", lambda *a: self.record(make_gateway(*a))):
            await ingress.open()
        host = Host(QuotaMiddleware(self.apps[n], ingress, decimal_retry_after=True))
        await host.start()
        self.parts = getattr(self, "parts", [])
        self.parts.append((ingress, host))
        return host.port

    async def close(self, n: int) -> None:
        ingress, host = self.parts[n]
        await host.stop()
        await ingress.close()


FORMS = {"daemon": Daemons, "middleware": Middlewares}
