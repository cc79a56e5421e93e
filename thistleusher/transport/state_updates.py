"""Numbered news: named items, each with the number of the change that last touched it.

Guaranteed: a follower's number never falls within its life, whoever tells it; it holds exactly the items of the
numbered state that it names. How: a publisher sends each follower what changed since the number that the follower has;
a message that does not begin at that number is a gap, and a gap is answered by what lies between, or by the whole
state where removals in between are forgotten.

Pure: messages are to be sent by whoever holds the connection. Cost: one message a change and follower, of the size of
what changed; a whole state at each new connection that lacks more than is remembered.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from thistleusher.transport.messages import Items, StateUpdate, StateUpdateAck, SubscribeRequest

REMOVED_MOST = 2000  # removed items that are remembered, so that a follower further behind gets the whole state


class State:
    """Items with their numbers."""

    def __init__(self, number: int = 0, items: Mapping[str, tuple[int, Any]] | None = None, floor: int = 0) -> None:
        """`floor`: a follower with a lower number gets the whole state, as removals before it are forgotten."""
        self.number, self.floor = number, floor
        self.items: Items = dict(items or {})
        self.removed = sum(1 for _, value in self.items.values() if value is None)

    def copied(self) -> State:
        """A state of its own with the same items."""
        return State(self.number, self.items, self.floor)

    def value(self, name: str) -> Any:
        """An item's value, None where there is none."""
        item = self.items.get(name)
        return item[1] if item is not None else None

    def values(self, prefix: str) -> dict[str, Any]:
        """All items whose names begin so, by the rest of their names."""
        return {
            name[len(prefix) :]: value
            for name, (_, value) in self.items.items()
            if value is not None and name.startswith(prefix)
        }

    def set(self, number: int, changes: Mapping[str, Any]) -> None:
        """Take changes in under a number; forgets the oldest removals beyond `REMOVED_MOST`."""
        self.merge(number, {name: (number, value) for name, value in changes.items()})

    def merge(self, number: int, items: Items) -> None:
        """Take items in that have their numbers already."""
        self.number = max(self.number, number)
        for name, item in items.items():
            old = self.items.get(name)
            self.removed += (item[1] is None) - (old is not None and old[1] is None)
            self.items[name] = item
        if self.removed > REMOVED_MOST:
            self._forget()

    def _forget(self) -> None:
        gone = sorted((number, name) for name, (number, value) in self.items.items() if value is None)
        for number, name in gone[: len(gone) // 2]:
            del self.items[name]
            self.floor = max(self.floor, number)
        self.removed -= len(gone) // 2

    def after(self, number: int) -> Items:
        """Items that changed after a number."""
        return {name: item for name, item in self.items.items() if item[0] > number}

    def since(self, number: int) -> StateUpdate:
        """What a follower at `number` lacks."""
        if number < self.floor or number > self.number:
            return StateUpdate(self.number, None, {n: item for n, item in self.items.items() if item[1] is not None})
        return StateUpdate(self.number, number, self.after(number))


class Publisher:
    """Who tells followers of one state, and counts which of them have acknowledged which number."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent: dict[str, int] = {}
        self.acked: dict[str, int] = {}

    def follow(self, follower: str, number: int) -> list[tuple[str, StateUpdate]]:
        """A follower has come, or asks anew, and has `number` (0: nothing)."""
        self.acked[follower] = min(number, self.state.number)
        if number == self.state.number:
            self.sent[follower] = number
            return []
        return self._send(follower, number)

    def _send(self, follower: str, number: int) -> list[tuple[str, StateUpdate]]:
        self.sent[follower] = self.state.number
        return [(follower, self.state.since(number))]

    def leave(self, follower: str) -> None:
        """A follower's connection has ended."""
        self.sent.pop(follower, None)
        self.acked.pop(follower, None)

    def tell(self) -> list[tuple[str, StateUpdate]]:
        """Messages to all who have not been sent the present number; those at one number share theirs."""
        out: list[tuple[str, StateUpdate]] = []
        shared: dict[int, StateUpdate] = {}
        for follower, number in list(self.sent.items()):
            if number != self.state.number:
                if number not in shared:
                    shared[number] = self.state.since(number)
                self.sent[follower] = self.state.number
                out.append((follower, shared[number]))
        return out

    def ack(self, follower: str, number: int) -> None:
        """A follower has taken a number in."""
        if follower in self.acked:
            self.acked[follower] = max(self.acked[follower], number)

    def count(self) -> tuple[int, int]:
        """How many have the present number, of how many."""
        return sum(1 for n in self.acked.values() if n >= self.state.number), len(self.acked)


class UpdateResult(NamedTuple):
    """What a message of news led to: the items that it changed, and the answer to send."""

    changed: dict[str, Any] | None
    answer: StateUpdateAck | SubscribeRequest


class Subscriber:
    """Who follows a state; `state.number` never falls."""

    def __init__(self, me: str = "", state: State | None = None) -> None:
        """`me`: the name that it follows under."""
        self.me = me
        self.state = state or State()

    def follow(self) -> SubscribeRequest:
        """The first message to a publisher, and the answer to a gap."""
        return SubscribeRequest(self.me, self.state.number)

    def heard(self, news: StateUpdate) -> UpdateResult:
        """A message of news."""
        if news.number <= self.state.number:
            return UpdateResult(None, StateUpdateAck(self.state.number))
        if news.previous is None:
            changed = self._replaced(news)
        elif news.previous > self.state.number:
            return UpdateResult(None, self.follow())
        else:
            newer = {name: item for name, item in news.items.items() if item[0] > self.state.number}
            changed = {name: item[1] for name, item in newer.items()}
            self.state.merge(news.number, newer)
        return UpdateResult(changed, StateUpdateAck(news.number))

    def _replaced(self, news: StateUpdate) -> dict[str, Any]:
        """Take a whole state in; what it changed."""
        old = self.state
        changed = {name: item[1] for name, item in news.items.items() if old.value(name) != item[1]}
        gone = [name for name, item in old.items.items() if name not in news.items and item[1] is not None]
        changed.update(dict.fromkeys(gone))
        self.state = State(news.number, news.items, news.number)
        return changed
