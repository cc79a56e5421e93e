"""The store's one machine: control state, grants of duties, and who follows the news.

`Control` keeps the state; around it stand the grants of leases, which each machine of the core gives whether or not it
has the office, and the news: only a holder of the office tells them. Inputs and outputs are those of `Control`, and
tables from and to whoever is connected. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from roadspur.common.failures import Failure
from roadspur.control.control import Control
from roadspur.control.leases import Grantor
from roadspur.control.parts import Answer, Change, Output, Publish, Read, Write
from roadspur.transport.news import Message, Publisher, State

Table = dict[str, Any]


class Tell(NamedTuple):
    """A table to one that is connected, by its name."""

    name: str
    table: Table


Outward = Output | Tell


class Store:
    """One process's."""

    def __init__(self, control: Control, grantor: Grantor) -> None:
        self.control, self.grantor = control, grantor
        self.granting: dict[int, Tell] = {}  # answers that wait for a write, by its token
        self.tokens = itertools.count(-1, -1)  # below 0: the control's are above
        self.publisher = Publisher(State())
        self.followers: set[str] = set()
        self.in_office = False
        self.told = -1  # epoch of the view that followers know
        self.keeping: dict[Any, Tell] = {}  # answers to wishes that something be kept, by their call
        self.calls = 0

    # Inputs.

    def tick(self, now: float) -> list[Outward]:
        """Time has passed."""
        return [*self._carry(now, self.control.tick(now)), *self._office(now)]

    def linked(self, now: float, other: str) -> list[Outward]:
        """A connection to a machine of the core stands anew."""
        return self._carry(now, self.control.linked(now, other))

    def written(self, now: float, token: int, ok: bool) -> list[Outward]:
        """A write has ended."""
        if token >= 0:
            return self._carry(now, self.control.written(now, token, ok))
        answer = self.granting.pop(token, None)
        return [answer] if ok and answer is not None else []

    def call(self, now: float, make: Callable[[Any], Change | Read]) -> tuple[int, list[Outward]]:
        """A call from outside; its number, by which its `Answer` names it."""
        self.calls += 1
        return self.calls, self._carry(now, self.control.call(now, make(self.calls)))

    def stop(self, now: float) -> list[Outward]:
        """This process ends in order."""
        return self._carry(now, self.control.stop(now))

    def heard(self, now: float, name: str, table: Table) -> list[Outward]:
        """A table from a machine of the core or from one that follows."""
        kind = table["t"]
        if kind == "want":
            return self._grant(now, name, table)
        if kind == "yield":
            self.grantor.yielded(table)
        elif kind == "follow":
            return self._follow(name, table["n"])
        elif kind == "ack":
            self.publisher.ack(name, table["n"])
        elif kind == "keep":  # from the registry: what it must not forget
            return self._keep(now, name, table)
        elif name:
            return self._carry(now, self.control.message(now, name, table))
        return []

    def gone(self, name: str) -> None:
        """A follower's connection has ended."""
        self.followers.discard(name)
        self.publisher.leave(name)

    # What follows.

    def _grant(self, now: float, name: str, table: Table) -> list[Outward]:
        view = self.control.view
        if view is None or self.control.forgot:
            return []
        answer, changed = self.grantor.wanted(now, table, view.epoch)
        if not changed:
            return [Tell(name, answer)]
        token = next(self.tokens)
        self.granting[token] = Tell(name, answer)
        return [Write(token, {"grants": self.grantor.kept()})]

    def _follow(self, name: str, number: int) -> list[Outward]:
        self.followers.add(name)
        if self.in_office:
            return [Tell(name, self._core()), *self._news(self.publisher.follow(name, number))]
        self.publisher.leave(name)
        self.publisher.sent[name] = self.publisher.acked[name] = number
        return [Tell(name, self._core())]

    def _keep(self, now: float, name: str, table: Table) -> list[Outward]:
        items: dict[str, Any] = table["items"]
        number = self.calls + 1
        self.keeping[number] = Tell(name, {"t": "kept", "id": table["id"], "ok": True})
        return self.call(now, lambda call: Change(
            call, lambda s: all(s.value(k) == v for k, v in items.items()), lambda s: items, "the registry's"))[1]

    def _core(self) -> Table:
        view = self.control.view
        return {"t": "core", "ips": sorted(view.electorate) if view is not None else [],
                "e": view.epoch if view is not None else 0, "primary": view.primary if view is not None else ""}

    def _office(self, now: float) -> list[Outward]:
        """Followers are told by a holder of the office only, and by all who votes."""
        view, office = self.control.view, self.control.office
        holds = office is not None and now < office.until()
        begun = holds and not self.in_office
        self.in_office = holds
        if not begun and (view is None or view.epoch == self.told):
            return []
        self.told = view.epoch if view is not None else -1
        return [Tell(name, self._core()) for name in sorted(self.followers)]

    def _news(self, messages: Iterable[tuple[str, Message]]) -> list[Outward]:
        return [Tell(name, message) for name, message in messages if name in self.followers]

    def _carry(self, now: float, outputs: Iterable[Output]) -> list[Outward]:
        out: list[Outward] = []
        for each in outputs:
            if isinstance(each, Publish):
                self.publisher.state = each.state
                out += [*self._office(now), *self._news(self.publisher.tell())]
            elif isinstance(each, Answer) and each.call in self.keeping:
                tell = self.keeping.pop(each.call)
                out.append(Tell(tell.name, {**tell.table, "ok": not isinstance(each.answer, Failure)}))
            else:
                out.append(each)
        return out
