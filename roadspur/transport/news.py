"""Numbered news: named items, each with the number of the change that last touched it.

Guaranteed: a follower's number never falls within its life, whoever tells it; it holds exactly the items of the
numbered state that it names. How: a publisher sends each follower what changed since the number that the follower has;
a message that does not begin at that number is a gap, and a gap is answered by the whole state.

Pure: messages are plain tables, to be sent by whoever holds the connection. Cost: one message a change and follower, of
the size of what changed; a whole state at each new connection that lacks more than is remembered.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

GONE_MOST = 2000  # removed items that are remembered, so that a follower further behind gets the whole state


class Item(NamedTuple):
    """A value and the number of the change that set it; None: removed."""

    number: int
    value: Any


Message = dict[str, Any]


class State:
    """Items with their numbers."""

    def __init__(self, number: int = 0, items: Mapping[str, Item] | None = None, floor: int = 0) -> None:
        """`floor`: a follower with a lower number gets the whole state, as removals before it are forgotten."""
        self.number, self.items, self.floor = number, dict(items or {}), floor

    def value(self, name: str) -> Any:
        """An item's value, None where there is none."""
        item = self.items.get(name)
        return item.value if item is not None else None

    def values(self, prefix: str) -> dict[str, Any]:
        """All items whose names begin so, by the rest of their names."""
        return {name[len(prefix):]: item.value for name, item in self.items.items()
                if item.value is not None and name.startswith(prefix)}

    def set(self, number: int, changes: Mapping[str, Any]) -> None:
        """Take changes in under a number; forgets the oldest removals beyond `GONE_MOST`."""
        self.number = max(self.number, number)
        for name, value in changes.items():
            self.items[name] = Item(number, value)
        gone = [(item.number, name) for name, item in self.items.items() if item.value is None]
        if len(gone) > GONE_MOST:
            gone.sort()
            for at, name in gone[:len(gone) // 2]:
                del self.items[name]
                self.floor = max(self.floor, at)

    def packed(self) -> dict[str, Any]:
        """The whole state for a disk or a message."""
        return {"n": self.number, "f": self.floor, "i": {k: [v.number, v.value] for k, v in self.items.items()}}

    @staticmethod
    def unpacked(packed: Mapping[str, Any]) -> State:
        """The inverse of `packed`."""
        return State(packed["n"], {k: Item(v[0], v[1]) for k, v in packed["i"].items()}, packed.get("f", 0))

    def since(self, number: int) -> Message:
        """What a follower at `number` lacks: `n`, `prev` (None: this is the whole state), items with numbers."""
        if number < self.floor or number > self.number:
            return {"t": "news", "n": self.number, "prev": None,
                    "i": {k: [v.number, v.value] for k, v in self.items.items() if v.value is not None}}
        return {"t": "news", "n": self.number, "prev": number,
                "i": {k: [v.number, v.value] for k, v in self.items.items() if v.number > number}}


class Publisher:
    """Who tells followers of one state, and counts which of them have acknowledged which number."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent: dict[str, int] = {}
        self.acked: dict[str, int] = {}

    def follow(self, follower: str, number: int) -> list[tuple[str, Message]]:
        """A follower has come, or asks anew, and has `number` (0: nothing)."""
        self.acked[follower] = min(number, self.state.number)
        if number == self.state.number:
            self.sent[follower] = number
            return []
        return self._send(follower, number)

    def _send(self, follower: str, number: int) -> list[tuple[str, Message]]:
        self.sent[follower] = self.state.number
        return [(follower, self.state.since(number))]

    def leave(self, follower: str) -> None:
        """A follower's connection has ended."""
        self.sent.pop(follower, None)
        self.acked.pop(follower, None)

    def tell(self) -> list[tuple[str, Message]]:
        """Messages to all who have not been sent the present number."""
        out: list[tuple[str, Message]] = []
        for follower, number in list(self.sent.items()):
            if number != self.state.number:
                out += self._send(follower, number)
        return out

    def ack(self, follower: str, number: int) -> None:
        """A follower has taken a number in."""
        if follower in self.acked:
            self.acked[follower] = max(self.acked[follower], number)

    def count(self) -> tuple[int, int]:
        """How many have the present number, of how many."""
        return sum(1 for n in self.acked.values() if n >= self.state.number), len(self.acked)


class Follower:
    """Who follows a state; `state.number` never falls."""

    def __init__(self, state: State | None = None) -> None:
        self.state = state or State()

    def heard(self, message: Message) -> tuple[dict[str, Any] | None, Message | None]:
        """A message of news: (what changed by it or None, the answer to send or None)."""
        number, prev = message["n"], message["prev"]
        if number <= self.state.number:
            return None, {"t": "ack", "n": self.state.number}
        if prev is not None and prev > self.state.number:
            return None, {"t": "follow", "n": self.state.number}
        items = {name: Item(pair[0], pair[1]) for name, pair in message["i"].items()}
        if prev is None:
            changed = {name: item.value for name, item in items.items()
                       if self.state.items.get(name, Item(-1, None)).value != item.value}
            changed.update({name: None for name, old in self.state.items.items()
                            if name not in items and old.value is not None})
            self.state = State(number, items, number)
        else:
            changed = {name: item.value for name, item in items.items() if item.number > self.state.number}
            self.state.items.update(items)
            self.state.number = number
        return changed, {"t": "ack", "n": number}
