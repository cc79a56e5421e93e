"""The proxy as a process: news from the core, the counter, heartbeats, clients' doors."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import Any

import msgpack

from roadspur.catalogue.birth import BORN
from roadspur.catalogue.boot import ACCESSION, DESK, RING, STACKS
from roadspur.catalogue.configuration import Index, kept_configuration
from roadspur.catalogue.events import Event, say
from roadspur.catalogue.failures import Failure, Kind
from roadspur.catalogue.process import Settings, life, serve
from roadspur.courier.doors import Addresses, CallServer, Handler, Readiness, Ready, Resolve
from roadspur.courier.links import Dial, Link, Listener
from roadspur.courier.news import Follower, Message
from roadspur.courier.ring import Ring
from roadspur.desk.decisions import Charge, Decisions
from roadspur.desk.directory import TTL_S, addresses
from roadspur.desk.front import ATTEMPT, DeskFarewell, DeskIngress, DeskServer, outcome_of
from roadspur.desk.placement import Place
from roadspur.net.server import Bounds
from roadspur.net.upstream import Endpoint, Terms, Upstream
from roadspur.services.wire import read_address

CONNECT_S = 0.6      # to a backend of another region
NEAR_S = 0.25        # to one of this region
IDLE_S = 16.0        # of which the pools trust half; a backend's Keep-Alive may say less
SILENT_S = 1.2       # without a word from a backend's kernel, after which a connection ends
SPARE = 120          # descriptors that are neither clients' nor backends'
NOTICE_S = 0.4       # between telling that this ingress ends and closing the door at the earliest
BODY_MOST = 64 * 1024 * 1024
DOOR = Bounds(body=4096, slow=3.0, idle=10.0)


class Heartbeats(asyncio.DatagramProtocol):
    """Datagrams of the ring."""

    def __init__(self, heard: Callable[[dict[str, Any], str], None]) -> None:
        self.heard = heard
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            table = msgpack.unpackb(data)
            self.heard({"n": str(table["n"]), "k": int(table["k"]), "m": int(table["m"])}, addr[0])
        except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException):
            return  # a datagram is nobody's promise

    def error_received(self, exc: Exception) -> None:
        return


class Desk:
    """One process on a front machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        loop = self.loop = asyncio.get_running_loop()
        now = loop.time()
        self.life = life()
        self.decisions = Decisions(boot.node_name, boot.zone, boot.region, boot.bounds, random.Random(), now,
                                   BORN)
        share = max(32, (boot.limits.fd_limit - 200 - SPARE) // 2)
        self.upstream = Upstream(loop, CONNECT_S, IDLE_S, share, Terms(BODY_MOST, ATTEMPT, SILENT_S, outcome_of))
        self.ingress = DeskIngress(loop, self.decisions, self.upstream, self._charge)
        self.server = DeskServer(loop, self.ingress, share)
        self.directory = CallServer(loop, [Handler(Resolve, self.resolve)], DOOR)
        self.readiness = CallServer(loop, [Handler(Readiness, self.ready)], DOOR)
        self.kept = Follower()
        self.list = Follower()
        self.cores = set(boot.core_ips)
        self.stacks: dict[str, Dial] = {}
        self.accessions: dict[str, Dial] = {}
        self.ring = Ring(boot.node_name, now)
        self.beats = Heartbeats(self._beat)
        self.handing = Listener(loop, self._handed, lambda link: None, most=64)
        self.leaving = False
        self.calls: dict[int, str] = {}
        self.call = 0

    async def run(self) -> None:
        """Until it is told to end."""
        boot = self.boot
        await self.loop.create_datagram_endpoint(lambda: self.beats, local_addr=(boot.ip, boot.port(RING)))
        await self.handing.listen(boot.ip, boot.port(DESK))
        if boot.binds.ready:
            await self.readiness.listen(*read_address(boot.binds.ready))
        if boot.binds.directory:
            await self.directory.listen(*read_address(boot.binds.directory))
        if boot.binds.front:
            await self.server.listen(*read_address(boot.binds.front))
        self.tick()
        await serve("desk", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Tell that this ingress ends, go on for as long as somebody comes, finish what is held, close."""
        self.leaving = True
        self.server.stopping = True
        self._here()
        grace = self.boot.bounds.grace_s
        farewell = DeskFarewell(self.loop.time(), grace)
        try:
            async with asyncio.timeout(grace - 0.3):
                await self.server.leave(asyncio.sleep(NOTICE_S), farewell)
        except TimeoutError:
            pass
        self.ingress.driver.close()
        self.server.close()
        self.directory.close()
        self.readiness.close()
        self.handing.close()
        for dial in (*self.stacks.values(), *self.accessions.values()):
            dial.close()
        self.upstream.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.cores |= set(self.boot.core_ips)

    # Time.

    def tick(self) -> None:
        """Connections, beats to the counter and to the ring."""
        now = self.loop.time()
        for ip in self.cores:
            if ip not in self.stacks:
                self.stacks[ip] = Dial(self.loop, ip, self.boot.port(STACKS), self._follow_stacks, self._from_stacks)
                self.accessions[ip] = Dial(self.loop, ip, self.boot.port(ACCESSION), self._follow_list, self._from_list)
        beat, full = self.decisions.quota.beat(now)
        if beat:
            self._here(full)
        due = self.ring.due(now)
        if due and self.beats.transport is not None:
            members = self.list.state.values("m:")
            for name in due:
                if name in members:
                    self._tell(members[name]["ip"])

    # The ring.

    def _tell(self, ip: str) -> None:
        """One heartbeat, with the numbers of the news that this ingress has."""
        if self.beats.transport is not None:
            data = msgpack.packb({"n": self.boot.node_name, "k": self.kept.state.number, "m": self.list.state.number})
            self.beats.transport.sendto(data, (ip, self.boot.port(RING)))

    def _beat(self, table: dict[str, Any], ip: str) -> None:
        now = self.loop.time()
        self.ring.beat(now, table["n"])
        theirs, mine = (table["k"], table["m"]), (self.kept.state.number, self.list.state.number)
        if 0 in mine and theirs > mine:
            self._tell(ip)  # one that knows nothing does not know its watchers: it answers whoever calls
        if self.ring.behind(now, table["n"], theirs, mine):
            self.loop.create_task(self._hand_over(table["n"], ip, theirs))

    async def _hand_over(self, name: str, ip: str, has: tuple[int, int]) -> None:
        """Give one that came back what it should have had, while the core does not."""
        done = self.loop.create_future()

        def opened(link: Link) -> None:
            link.send({"t": "hand", "me": self.boot.node_name, "kept": self.kept.state.since(has[0]),
                       "list": self.list.state.since(has[1])})

        def ended(link: Link, why: str) -> None:
            if not done.done():
                done.set_result(why)
        try:
            async with asyncio.timeout(1.0):
                _, link = await self.loop.create_connection(
                    lambda: Link(self.loop, opened, lambda k, t: ended(k, "taken"), ended), ip, self.boot.port(DESK))
                await done
            link.close()
            say(Event.HANDED, name, has[0], has[1])
        except (OSError, TimeoutError):
            return

    def _handed(self, link: Link, table: dict[str, Any]) -> None:
        """A watcher's copy: news like any other, of which only what is newer counts."""
        if table["t"] == "hand":
            self._news(self.kept, table["kept"], self._kept)
            self._news(self.list, table["list"], lambda changed: self._listed(self.loop.time(), changed))
            link.send({"t": "taken"})

    @staticmethod
    def _news(follower: Follower, message: Message, take: Callable[[dict[str, Any]], None]) -> Message | None:
        """One message of news, acted on before it is acknowledged."""
        changed, reply = follower.heard(message)
        if changed:
            take(changed)
        return reply

    def _here(self, full: bool = True) -> None:
        """A beat to the counter, or in full to all registries."""
        boot, now = self.boot, self.loop.time()
        table: dict[str, Any] = {"t": "here", "life": self.life, "at": now, "echo": self.decisions.quota.echo}
        if not full:
            if self.counter is not None:
                self.counter.send(table)
            return
        table |= {"ready": self.is_ready(), "silent": sorted(self.ring.silent(now)),
                  "about": {"front": boot.binds.front, "ip": boot.ip, "zone": boot.zone, "region": boot.region}}
        for dial in self.accessions.values():
            dial.send(table)

    def is_ready(self) -> bool:
        """Whether a request could be served here."""
        return bool(self.server.index is not None and self.server.known and self.ingress.serving and not self.leaving)

    # News of the store of configuration.

    def _follow_stacks(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.boot.node_name, "n": self.kept.state.number}

    def _from_stacks(self, dial: Dial, table: dict[str, Any]) -> None:
        if table["t"] == "core":
            self.cores |= set(table["ips"])
        elif table["t"] == "news":
            reply = self._news(self.kept, table, self._kept)
            if reply is not None:  # only what is in force here is acknowledged
                dial.send(reply)

    def _kept(self, changed: dict[str, Any]) -> None:
        now = self.loop.time()
        held = changed.get("config")
        if held is not None and (self.server.index is None or held["v"] > self.server.index.config.number):
            index = Index(kept_configuration(zlib.decompress(held["z"])))
            self.decisions.configured(now, index.config)
            self.server.follow(index)
            say(Event.CONFIG, index.config.version, len(index.config.routes))
        if any(name.startswith("evac:") for name in changed):
            self.decisions.evacuated(now, {z for z, e in self.kept.state.values("evac:").items() if e["on"]})
            self._serving()

    # News of the registry.

    def _follow_list(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.boot.node_name, "n": self.list.state.number}

    def _from_list(self, dial: Dial, table: dict[str, Any]) -> None:
        kind, now = table["t"], self.loop.time()
        if kind == "sum":
            request = self.calls.pop(table["id"], None)
            if request is not None:
                self.ingress.counted(request, table["v"], table["left"], table["w"])
        elif kind == "echo":
            self.decisions.quota.echoed(now, table["by"], table["at"], table["now"], table["share"])
            self.counter = dial
        elif kind == "news":
            reply = self._news(self.list, table, lambda changed: self._listed(now, changed))
            if reply is not None:
                dial.send(reply)

    counter: Dial | None = None

    def _listed(self, now: float, changed: dict[str, Any]) -> None:
        if any(name.startswith("m:") for name in changed):
            members = self.list.state.values("m:")
            self.ring.members(now, members)
            self.decisions.ingresses = sorted(n for n, m in members.items() if m["up"])
        backends = {name[2:]: entry for name, entry in changed.items() if name.startswith("b:")}
        if not backends:
            return
        places = dict(self.decisions.places)
        for name, entry in backends.items():
            if entry is None:
                places.pop(name, None)
                self.upstream.update(name, None)
                continue
            old = places.get(name)
            address = read_address(entry["a"])
            cold = now + entry["cold"] / 1000 if entry["cold"] > 0 else 0.0
            places[name] = Place(name, entry["s"], address, entry["z"], self.boot.region_of(entry["z"]), entry["c"],
                                 entry["p"] != "ready", cold)
            if old is None or old.address != address:
                near = places[name].region == self.boot.region
                self.upstream.update(name, Endpoint(address, 0.0, NEAR_S if near else CONNECT_S))
        self.decisions.listed(now, places)
        self.server.known = True
        self._serving()
        say(Event.LIST, self.list.state.number, len(places), len(self.decisions.ingresses))

    def _serving(self) -> None:
        """Who may be sent to: asked again right before the first byte of each attempt."""
        evacuated = self.decisions.ground.evacuated
        serving = {p.name for p in self.decisions.places.values() if not p.draining and p.zone not in evacuated}
        for name in self.ingress.serving - serving:
            self.upstream.close_idle(name)
        self.ingress.serving.clear()
        self.ingress.serving |= serving

    # The counter.

    def _charge(self, a: Charge) -> None:
        """Charge a tenant's one count; its answer is looked for under the call's number."""
        self.call += 1
        if a.amount > 0:
            self.calls[self.call] = a.request
            if len(self.calls) > 20_000:  # answers that never came
                for number in list(self.calls)[:10_000]:
                    del self.calls[number]
        if self.counter is not None:
            self.counter.send({"t": "add", "id": self.call, "k": a.tenant, "a": a.amount, "w": a.window})

    # Doors.

    def ready(self, call: Readiness, done: Callable[[Any], None]) -> None:
        """The platform's check."""
        done(Ready() if self.is_ready() else Failure(Kind.STARTING))

    def resolve(self, call: Resolve, done: Callable[[Any], None]) -> None:
        """Where a client should go."""
        members = self.list.state.values("m:")
        me = members.get(self.boot.node_name)
        if me is not None:
            members[self.boot.node_name] = {**me, "up": self.is_ready()}
        found = addresses(members, self.ring.silent(self.loop.time()), call.region, call.zone)
        done(Addresses(tuple(found), min(TTL_S, self.boot.bounds.ttl_max_s)) if found else Failure(Kind.STARTING))


async def main(settings: Settings) -> None:
    """What `python -m roadspur.system desk` runs."""
    await Desk(settings).run()
