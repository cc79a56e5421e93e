"""The registry as a process: the duty's lease, the platform's list, members, counts, and who follows them."""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import Any

from roadspur.accession.counts import Counts
from roadspur.accession.instances import Garbage, Survey
from roadspur.accession.members import Members
from roadspur.accession.platform import Platform
from roadspur.catalogue.boot import ACCESSION, STACKS
from roadspur.catalogue.configuration import kept_configuration
from roadspur.catalogue.events import Event, say
from roadspur.catalogue.process import Settings, life, serve
from roadspur.courier.links import Dial, Link, Listener
from roadspur.courier.news import Follower, Publisher
from roadspur.services.wire import read_address
from roadspur.stacks.leases import Holder

DUTY = "registrar"
TERM = 24  # bits of a number below the holder's term
KEEP_S = 1.0  # between wishes that a share be kept
LEAVE_S = 0.1
AWAY_S = 0.3  # by which the machine of the primary asks for the duty later


class Accession:
    """One process on a core machine."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = self.boot = settings.boot
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.life = life()
        self.me = f"{boot.node_name}/{self.life}"
        self.holder = Holder(DUTY, self.me, now, random.Random())
        self.kept = Follower()  # of the store of configuration
        self.list = Follower()  # of the registry that holds the duty, or its own
        self.publisher = Publisher(self.list.state)
        self.members = Members()
        self.counts: Counts | None = None
        self.survey = Survey(now, boot.cloud_api.rate_per_s)
        self.platform = Platform(read_address(boot.cloud_api.address)) if boot.cloud_api.address else None
        self.calling: asyncio.Task[None] | None = None
        self.stacks: dict[str, Dial] = {}
        self.fellows: dict[str, Dial] = {}
        self.listener = Listener(self.loop, self._heard, self._gone)
        self.followers: dict[str, Link] = {}
        self.on_duty = False
        self.cores = set(boot.core_ips)
        self.next_keep = now
        self.config = -1
        self.limits: dict[str, tuple[float, float]] = {}

    async def run(self) -> None:
        """Until it is told to end."""
        await self.listener.listen(self.boot.ip, self.boot.port(ACCESSION))
        self.tick()
        await serve("accession", self.settings, self.tick, self._changed, self.leave)

    async def leave(self) -> None:
        """Give the duty back, close."""
        if self.on_duty:
            self.holder.give_back(self._to_stacks)
        self._end_duty("this process ends")
        await asyncio.sleep(LEAVE_S)
        self.listener.close()
        for dial in (*self.stacks.values(), *self.fellows.values()):
            dial.close()

    def _changed(self) -> None:
        self.boot = self.settings.boot
        self.cores |= set(self.boot.core_ips)

    # Time.

    def tick(self) -> None:
        """Connections, the lease, and what the duty asks for."""
        now = self.loop.time()
        for ip in self.cores:
            if ip not in self.stacks:
                self.stacks[ip] = Dial(self.loop, ip, self.boot.port(STACKS), self._follow_stacks, self._from_stacks)
            if ip != self.boot.ip and ip not in self.fellows:
                self.fellows[ip] = Dial(self.loop, ip, self.boot.port(ACCESSION), self._follow_list, self._from_fellow)
        self._duty(now)
        if self.on_duty:
            self._work(now)

    def _duty(self, now: float) -> None:
        """Ask for the duty when it is time; begin it as soon as it is held, end it as soon as it is not."""
        self.holder.tick(now, self._to_stacks)
        holds = self.holder.holds(now)
        if holds and not self.on_duty and self.kept.state.number > 0:
            self._begin_duty(now)
        elif self.on_duty and not holds:
            self._end_duty("the lease has ended")

    def _to_stacks(self, ip: str, table: dict[str, Any]) -> None:
        if ip in self.stacks:
            self.stacks[ip].send(table)

    def _begin_duty(self, now: float) -> None:
        self.on_duty = True
        say(Event.DUTY, self.holder.term)
        self.counts = Counts(now, self.holder.term << TERM)
        self._limits()
        for node, about in self.list.state.values("m:").items():
            self.members.known(now, node, about)
        self.survey = Survey(now, self.boot.cloud_api.rate_per_s)
        known = self.list.state.values("b:")
        self.survey.entries = {name: {**entry, "cold": 0.0} for name, entry in known.items()}
        self.survey.cold_until = {name: now for name, entry in known.items() if entry["cold"] > 0}
        state = self.list.state
        state.number = state.floor = max(state.number, self.holder.term << TERM)
        self.publisher = Publisher(state)
        for name in self.followers:
            self.publisher.sent[name] = self.publisher.acked[name] = -1  # gets the whole: its number is not known

    def _end_duty(self, why: str) -> None:
        if self.on_duty:
            self.on_duty, self.counts = False, None
            say(Event.DUTY_OVER, why)

    def _work(self, now: float) -> None:
        if self.platform is not None and self.calling is None:
            target = self.survey.due(now)
            if target is not None:
                self.calling = self.loop.create_task(self._call(target))
        assert self.counts is not None
        if now >= self.next_keep:
            wanted = self.counts.wanted(now)
            if wanted:
                self.next_keep = now + KEEP_S
                items = {f"share:{node}": share for node, share in wanted.items()}
                for dial in self.stacks.values():
                    dial.send({"t": "keep", "id": self.life, "items": items})
        state = self.list.state
        old = state.values("m:")
        new = self.members.listed(now)
        changes: dict[str, Any] = {f"m:{n}": about for n, about in new.items() if old.get(n) != about}
        changes.update({f"m:{n}": None for n in old.keys() - new.keys()})
        self._publish(changes)

    def _publish(self, changes: dict[str, Any]) -> None:
        """Tell followers, once there is a list to tell of."""
        state = self.list.state
        if changes:
            state.set(state.number + 1, changes)
        if self.survey.read or state.values("b:"):
            for name, message in self.publisher.tell():
                if name in self.followers:
                    self.followers[name].send(message)

    async def _call(self, target: str) -> None:
        assert self.platform is not None
        try:
            answer = await self.platform.get(target)
            now = self.loop.time()
            if answer is None or answer.status != 200:
                say(Event.PLATFORM, "no answer" if answer is None else answer.status)
                self.survey.failed(now, answer.status if answer is not None else 0)
                return
            try:
                changes = self.survey.page(now, answer.body)
            except Garbage as error:
                say(Event.PLATFORM, error)
                return
            if changes is not None and self.on_duty and self.holder.holds(now):
                if changes:
                    say(Event.LISTED, self.list.state.number + 1, len(self.survey.entries),
                        sum(1 for e in self.survey.entries.values() if e["p"] != "ready"))
                self._publish({f"b:{name}": entry for name, entry in changes.items()})
        finally:
            self.calling = None

    # The store of configuration.

    def _follow_stacks(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.me, "n": self.kept.state.number}

    def _from_stacks(self, dial: Dial, table: dict[str, Any]) -> None:
        kind = table["t"]
        if kind in ("granted", "taken"):
            self.holder.heard(dial.host, table)
            self._duty(self.loop.time())
        elif kind == "core":
            self.cores |= set(table["ips"])
            if table["ips"]:
                self.holder.voters(table["ips"])
            # The machine of the primary has another office to lose at the same time.
            self.holder.patience = AWAY_S if table["primary"] == self.boot.ip else 0.0
        elif kind == "news":
            changed, reply = self.kept.heard(table)
            if reply is not None:
                dial.send(reply)
            if changed:
                self._limits()

    def _limits(self) -> None:
        """Tenants' limits and kept shares, for the counts."""
        if self.counts is None:
            return
        state = self.kept.state
        held = state.value("config")
        if held is not None and held["v"] != self.config or not self.counts.limits:
            self.config = held["v"] if held is not None else -1
            tenants = kept_configuration(zlib.decompress(held["z"])).tenants if held is not None else {}
            self.limits = {name: (t.rate_per_s, t.burst) for name, t in tenants.items()}
        self.counts.follow(self.limits, state.values("share:"))

    # Other registries.

    def _follow_list(self) -> dict[str, Any]:
        return {"t": "follow", "me": self.me, "n": self.list.state.number}

    def _from_fellow(self, dial: Dial, table: dict[str, Any]) -> None:
        if table["t"] == "news" and not self.on_duty:
            _, reply = self.list.heard(table)
            if reply is not None:
                dial.send(reply)

    # Ingresses and registries that follow.

    def _heard(self, link: Link, table: dict[str, Any]) -> None:
        kind, now = table["t"], self.loop.time()
        if kind == "add":
            if self.on_duty and self.counts is not None and self.holder.holds(now):
                verdict, left, number = self.counts.add(now, link.name, table["k"], table["a"], table["w"])
                if table["a"] > 0:
                    link.send({"t": "sum", "id": table["id"], "v": verdict, "left": left, "w": number})
        elif kind == "here":
            if "about" in table:
                self.members.here(now, link.name, table["about"], table["life"], table["ready"], table["silent"])
            else:
                self.members.beat(now, link.name, table["life"])
            if self.on_duty and self.counts is not None and self.holder.holds(now):
                echo = table["echo"]
                echoed = echo[1] if echo is not None and echo[0] == self.me else None
                self.counts.here(now, link.name, table["life"], echoed)
                ingress = self.counts.ingresses[link.name]
                link.send({"t": "echo", "by": self.me, "at": table["at"], "now": now, "share": ingress.share})
        elif kind == "follow":
            self.followers[link.name] = link
            for dials in (self.stacks, self.fellows):  # a registry's machine: both of its programs are up
                if link.peer in dials:
                    dials[link.peer].poke()
            if self.on_duty:
                for name, message in self.publisher.follow(link.name, table["n"]):
                    if self.survey.read or self.list.state.values("b:"):
                        self.followers[name].send(message)
        elif kind == "ack":
            self.publisher.ack(link.name, table["n"])

    def _gone(self, link: Link) -> None:
        if self.followers.get(link.name) is link:
            del self.followers[link.name]
            self.publisher.leave(link.name)


async def main(settings: Settings) -> None:
    """What `python -m roadspur.system accession` runs."""
    await Accession(settings).run()
