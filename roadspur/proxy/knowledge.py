"""What a proxy knows and whom it tells: news of the store and of the registry, the ring, the beats to the counter.

Guaranteed: what is in force here never goes back within a life, whoever tells it; news are acted on before they are
acknowledged; without a configuration and a list this proxy is not ready. What a watched proxy has lacked for a while
is handed over to it.

Inputs are ticks and tables; outputs are tables to send and what has changed here, which is put into the decisions
before it is told. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, NamedTuple

from roadspur.common.configuration import Index, kept_configuration
from roadspur.common.events import Event
from roadspur.proxy.decisions import Charge, Counted, Decisions
from roadspur.proxy.placement import Place
from roadspur.services.wire import Address, read_address
from roadspur.transport.news import Follower, Message
from roadspur.transport.ring import Ring

MOST_CALLS = 20_000  # to the counter whose answers are still looked for

Table = dict[str, Any]


class ToRegistry(NamedTuple):
    """A table to the registry on a machine; to each, where `ip` is empty."""

    ip: str
    table: Table


class Heartbeat(NamedTuple):
    """A datagram to the ring's port of a machine."""

    ip: str
    table: Table


class HandOver(NamedTuple):
    """A watched proxy is to be given this."""

    name: str
    ip: str
    table: Table


class InForce(NamedTuple):
    """A configuration is in force from here on."""

    lookup: Index


class Backends(NamedTuple):
    """Backends that are new, moved (address and whether of this region) or gone (None)."""

    changes: dict[str, tuple[Address, bool] | None]


class Serving(NamedTuple):
    """Who may be sent to: asked again right before the first byte of each attempt."""

    names: set[str]


class Verdict(NamedTuple):
    """The counter's answer to a charge."""

    counted: Counted


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = ToRegistry | Heartbeat | HandOver | InForce | Backends | Serving | Verdict | Note


class Knowledge:
    """One proxy's."""

    def __init__(self, me: str, life: str, region: str, region_of: Callable[[str], str], about: Table,
                 decisions: Decisions, now: float) -> None:
        """`about`: what others are told of this proxy: `front`, `ip`, `zone`, `region`."""
        self.me, self.life, self.region, self.region_of, self.about = me, life, region, region_of, about
        self.decisions = decisions
        self.kept = Follower()
        self.list = Follower()
        self.ring = Ring(me, now)
        self.index: Index | None = None
        self.known = False  # whether there is a list of backends
        self.serving: set[str] = set()
        self.counter = ""  # the machine whose registry has echoed last
        self.calls: dict[int, str] = {}
        self.call = 0
        self.out: list[Output] = []

    def _flush(self) -> list[Output]:
        out, self.out = self.out, []
        return out

    # Whom it tells.

    def follow_kept(self) -> Table:
        """The first table to a store's process."""
        return {"t": "follow", "me": self.me, "n": self.kept.state.number}

    def follow_list(self) -> Table:
        """The first table to a registry."""
        return {"t": "follow", "me": self.me, "n": self.list.state.number}

    def tick(self, now: float, ready: bool) -> list[Output]:
        """Beats to the counter and on the ring; `ready`: whether requests are served here."""
        beat, full = self.decisions.quota.beat(now)
        if beat:
            self._here(now, ready, full)
        due = self.ring.due(now)
        if due:
            members = self.list.state.values("m:")
            self.out += [self._heartbeat(members[name]["ip"]) for name in due if name in members]
        return self._flush()

    def here(self, now: float, ready: bool) -> list[Output]:
        """Tell all registries at once: this proxy ends."""
        self._here(now, ready, True)
        return self._flush()

    def _here(self, now: float, ready: bool, full: bool) -> None:
        table: Table = {"t": "here", "life": self.life, "at": now, "echo": self.decisions.quota.echo}
        if full:
            self.out.append(ToRegistry("", {**table, "ready": ready, "silent": sorted(self.ring.silent(now)),
                                            "about": self.about}))
        elif self.counter:
            self.out.append(ToRegistry(self.counter, table))

    def _heartbeat(self, ip: str) -> Heartbeat:
        """With the numbers of the news that this proxy has."""
        return Heartbeat(ip, {"n": self.me, "k": self.kept.state.number, "m": self.list.state.number})

    def beat(self, now: float, table: Table, ip: str) -> list[Output]:
        """Another proxy's heartbeat."""
        self.ring.beat(now, table["n"])
        theirs, mine = (table["k"], table["m"]), (self.kept.state.number, self.list.state.number)
        if 0 in mine and theirs > mine:
            self.out.append(self._heartbeat(ip))  # one that knows nothing does not know its watchers: it answers all
        if self.ring.behind(now, table["n"], theirs, mine):
            self.out.append(HandOver(table["n"], ip, {
                "t": "hand", "me": self.me, "kept": self.kept.state.since(theirs[0]),
                "list": self.list.state.since(theirs[1])}))
        return self._flush()

    def handed(self, now: float, table: Table) -> list[Output]:
        """A watcher's copy: news like any other, of which only what is newer counts."""
        self._kept_news(now, table["kept"])
        self._list_news(now, table["list"])
        return self._flush()

    # The store of configuration.

    def from_store(self, now: float, table: Table) -> tuple[list[Output], Message | None]:
        """News: what follows, and the acknowledgement, which is of what is in force here only."""
        reply = self._kept_news(now, table) if table["t"] == "news" else None
        return self._flush(), reply

    def _kept_news(self, now: float, message: Message) -> Message | None:
        changed, reply = self.kept.heard(message)
        if not changed:
            return reply
        held = changed.get("config")
        if held is not None and (self.index is None or held["v"] > self.index.config.number):
            self.index = Index(kept_configuration(zlib.decompress(held["z"])))
            self.decisions.configured(now, self.index.config)
            self.out += [InForce(self.index), Note(Event.CONFIG, (
                self.index.config.version, len(self.index.config.routes)))]
        if any(name.startswith("evac:") for name in changed):
            self.decisions.evacuated(now, {z for z, e in self.kept.state.values("evac:").items() if e["on"]})
            self._serve()
        return reply

    # The registry.

    def from_registry(self, now: float, ip: str, table: Table) -> tuple[list[Output], Message | None]:
        """An echo, a verdict, or news: what follows, and the acknowledgement."""
        kind, reply = table["t"], None
        if kind == "sum":
            request = self.calls.pop(table["id"], None)
            if request is not None:
                self.out.append(Verdict(Counted(request, table["v"], table["left"], table["w"])))
        elif kind == "echo":
            self.decisions.quota.echoed(now, table["by"], table["at"], table["now"], table["share"])
            self.counter = ip
        elif kind == "news":
            reply = self._list_news(now, table)
        return self._flush(), reply

    def charge(self, a: Charge) -> list[Output]:
        """Charge a tenant's one count; its answer is looked for under the call's number."""
        self.call += 1
        if a.amount > 0:
            self.calls[self.call] = a.request
            if len(self.calls) > MOST_CALLS:  # answers that never came
                for number in list(self.calls)[:MOST_CALLS // 2]:
                    del self.calls[number]
        if not self.counter:
            return []
        return [ToRegistry(self.counter, {"t": "add", "id": self.call, "k": a.tenant, "a": a.amount, "w": a.window})]

    def _list_news(self, now: float, message: Message) -> Message | None:
        changed, reply = self.list.heard(message)
        if not changed:
            return reply
        if any(name.startswith("m:") for name in changed):
            members = self.list.state.values("m:")
            self.ring.members(now, members)
            self.decisions.ingresses = sorted(n for n, m in members.items() if m["up"])
        backends = {name[2:]: entry for name, entry in changed.items() if name.startswith("b:")}
        if backends:
            self._listed(now, backends)
        return reply

    def _listed(self, now: float, backends: dict[str, Any]) -> None:
        places = dict(self.decisions.places)
        moved: dict[str, tuple[Address, bool] | None] = {}
        for name, entry in backends.items():
            old = places.pop(name, None)
            if entry is None:
                moved[name] = None
                continue
            place = places[name] = Place(
                name, entry["s"], read_address(entry["a"]), entry["z"], self.region_of(entry["z"]), entry["c"],
                entry["p"] != "ready", now + entry["cold"] / 1000 if entry["cold"] > 0 else 0.0)
            if old is None or old.address != place.address:
                moved[name] = place.address, place.region == self.region
        self.decisions.listed(now, places)
        self.known = True
        if moved:
            self.out.append(Backends(moved))
        self._serve()
        self.out.append(Note(Event.LIST, (self.list.state.number, len(places), len(self.decisions.ingresses))))

    def _serve(self) -> None:
        evacuated = self.decisions.ground.evacuated
        self.serving = {p.name for p in self.decisions.places.values() if not p.draining and p.zone not in evacuated}
        self.out.append(Serving(self.serving))
