"""The registry's one machine: the duty's lease, the list of backends, who is there, the counts, and who follows.

Guaranteed: only a holder of the duty reads the platform's list, publishes and counts, and it stops before its lease
ends; what it publishes begins above every number of an earlier holder, so a follower never goes back; those off duty
keep a copy of the news and go on from there.

Inputs are ticks, tables from the store of configuration, from other registries and from followers, and the platform's
answers; outputs are tables to send, the platform's calls and notes for the log. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import random
import zlib
from typing import Any, NamedTuple

from roadspur.common.configuration import kept_configuration
from roadspur.common.events import Event
from roadspur.control.leases import Holder
from roadspur.registry.counts import Counts
from roadspur.registry.instances import Garbage, Survey
from roadspur.registry.members import Members
from roadspur.transport.news import Follower, Message, Publisher

DUTY = "registrar"
TERM = 24     # bits of a number below the holder's term
KEEP_S = 1.0  # between wishes that a share be kept
AWAY_S = 0.3  # by which the machine of the primary asks for the duty later

Table = dict[str, Any]


class ToStore(NamedTuple):
    """A table to the store's process on a machine; on each, where `ip` is empty."""

    ip: str
    table: Table


class Tell(NamedTuple):
    """A table to a follower, by its name."""

    name: str
    table: Table


class Call(NamedTuple):
    """A call to the platform; its answer is to be given to `answered`."""

    target: str


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = ToStore | Tell | Call | Note


class Registry:
    """One registry."""

    def __init__(self, me: str, ip: str, now: float, rng: random.Random, rate_per_s: float, polls: bool) -> None:
        """`me` names the machine and this life; `polls`: there is a platform, whose bound on calls is `rate_per_s`."""
        self.me, self.ip, self.rate_per_s, self.polls = me, ip, rate_per_s, polls
        self.holder = Holder(DUTY, me, now, rng)
        self.kept = Follower()  # of the store of configuration
        self.list = Follower()  # of the registry that holds the duty, or its own
        self.publisher = Publisher(self.list.state)
        self.members = Members()
        self.counts: Counts | None = None
        self.survey = Survey(now, rate_per_s)
        self.asked: Survey | None = None  # the reading whose call is out
        self.followers: set[str] = set()
        self.on_duty = False
        self.next_keep = now
        self.config = -1
        self.limits: dict[str, tuple[float, float]] = {}
        self.out: list[Output] = []

    # Inputs.

    def tick(self, now: float) -> list[Output]:
        """Time has passed; to be called ten times a second or more."""
        self._mind_duty(now)
        if self.on_duty:
            self._work(now)
        return self._flush()

    def stop(self) -> list[Output]:
        """This process ends in order: the duty is given back."""
        if self.on_duty:
            self.holder.give_back(self._to_store)
        self._end_duty("this process ends")
        return self._flush()

    def from_store(self, now: float, ip: str, table: Table) -> tuple[list[Output], Message | None]:
        """A table from the store's process on a machine: what follows, and the reply to it."""
        kind, reply = table["t"], None
        if kind in ("granted", "taken"):
            self.holder.heard(ip, table)
            self._mind_duty(now)
        elif kind == "core":
            if table["ips"]:
                self.holder.voters(table["ips"])
            # The machine of the primary has another office to lose at the same time.
            self.holder.patience = AWAY_S if table["primary"] == self.ip else 0.0
        elif kind == "news":
            changed, reply = self.kept.heard(table)
            if changed:
                self._limits()
        return self._flush(), reply

    def from_fellow(self, table: Table) -> Message | None:
        """A table from another registry: news, which one off duty keeps; the reply to it."""
        if table["t"] == "news" and not self.on_duty:
            return self.list.heard(table)[1]
        return None

    def from_follower(self, now: float, name: str, table: Table) -> list[Output]:
        """A table from an ingress or registry that follows."""
        kind = table["t"]
        if kind == "add":
            if self._holds(now) and self.counts is not None:
                verdict, left, number = self.counts.add(now, name, table["k"], table["a"], table["w"])
                if table["a"] > 0:
                    self._tell(name, {"t": "sum", "id": table["id"], "v": verdict, "left": left, "w": number})
        elif kind == "here":
            self._here(now, name, table)
        elif kind == "follow":
            self.followers.add(name)
            if self.on_duty:
                for follower, message in self.publisher.follow(name, table["n"]):
                    if self._has_list():
                        self._tell(follower, message)
        elif kind == "ack":
            self.publisher.ack(name, table["n"])
        return self._flush()

    def gone(self, name: str) -> None:
        """A follower's connection has ended."""
        self.followers.discard(name)
        self.publisher.leave(name)

    def answered(self, now: float, status: int, body: bytes) -> list[Output]:
        """The platform's answer to the call; `status` 0: none came."""
        asked, self.asked = self.asked, None
        if asked is not self.survey:
            return []  # of a reading that ended with an earlier duty: a page of it would pass for a whole list
        if status != 200:
            self._note(Event.PLATFORM, status or "no answer")
            self.survey.failed(now, status)
            return self._flush()
        try:
            changes = self.survey.page(now, body)
        except Garbage as error:
            self._note(Event.PLATFORM, error)
            return self._flush()
        if changes is not None and self._holds(now):
            if changes:
                self._note(Event.LISTED, self.list.state.number + 1, len(self.survey.entries),
                           sum(1 for e in self.survey.entries.values() if e["p"] != "ready"))
            self._publish({f"b:{name}": entry for name, entry in changes.items()})
        return self._flush()

    # Helpers.

    def _flush(self) -> list[Output]:
        out, self.out = self.out, []
        return out

    def _note(self, event: Event, *fields: object) -> None:
        self.out.append(Note(event, fields))

    def _tell(self, name: str, table: Table) -> None:
        if name in self.followers:
            self.out.append(Tell(name, table))

    def _to_store(self, ip: str, table: Table) -> None:
        self.out.append(ToStore(ip, table))

    def _holds(self, now: float) -> bool:
        return self.on_duty and self.holder.holds(now)

    def _has_list(self) -> bool:
        return self.survey.read or bool(self.list.state.values("b:"))

    # The duty.

    def _mind_duty(self, now: float) -> None:
        """Ask for the duty when it is time; begin it as soon as it is held, end it as soon as it is not."""
        self.holder.tick(now, self._to_store)
        holds = self.holder.holds(now)
        if holds and not self.on_duty and self.kept.state.number > 0:
            self._begin_duty(now)
        elif self.on_duty and not holds:
            self._end_duty("the lease has ended")

    def _begin_duty(self, now: float) -> None:
        self.on_duty = True
        self._note(Event.DUTY, self.holder.term)
        self.counts = Counts(now, self.holder.term << TERM)
        self._limits()
        for node, about in self.list.state.values("m:").items():
            self.members.known(now, node, about)
        self.survey = Survey(now, self.rate_per_s)
        known = self.list.state.values("b:")
        self.survey.entries = {name: {**entry, "cold": 0.0} for name, entry in known.items()}
        self.survey.cold_until = {name: now for name, entry in known.items() if entry["cold"] > 0}
        state = self.list.state
        state.number = state.floor = max(state.number, self.holder.term << TERM)
        self.publisher = Publisher(state)
        for name in sorted(self.followers):
            self.publisher.sent[name] = self.publisher.acked[name] = -1  # gets the whole: its number is not known

    def _end_duty(self, why: str) -> None:
        if self.on_duty:
            self.on_duty, self.counts = False, None
            self._note(Event.DUTY_OVER, why)

    def _work(self, now: float) -> None:
        assert self.counts is not None
        if self.polls and self.asked is None and (target := self.survey.due(now)) is not None:
            self.asked = self.survey
            self.out.append(Call(target))
        if now >= self.next_keep and (wanted := self.counts.wanted(now)):
            self.next_keep = now + KEEP_S
            self._to_store("", {"t": "keep", "id": self.me, "items": {f"share:{n}": s for n, s in wanted.items()}})
        old, new = self.list.state.values("m:"), self.members.listed(now)
        self._publish({**{f"m:{n}": about for n, about in new.items() if old.get(n) != about},
                       **{f"m:{n}": None for n in old.keys() - new.keys()}})

    def _publish(self, changes: dict[str, Any]) -> None:
        """Tell followers, once there is a list to tell of."""
        state = self.list.state
        if changes:
            state.set(state.number + 1, changes)
        if self._has_list():
            for name, message in self.publisher.tell():
                self._tell(name, message)

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

    # Who is there.

    def _here(self, now: float, name: str, table: Table) -> None:
        if "about" in table:
            self.members.here(now, name, table["about"], table["life"], table["ready"], table["silent"])
        else:
            self.members.beat(now, name, table["life"])
        if self._holds(now) and self.counts is not None:
            echo = table["echo"]
            self.counts.here(now, name, table["life"], echo[1] if echo is not None and echo[0] == self.me else None)
            share = self.counts.ingresses[name].share
            self._tell(name, {"t": "echo", "by": self.me, "at": table["at"], "now": now, "share": share})
