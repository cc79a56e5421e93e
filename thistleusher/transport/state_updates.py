"""Numbered state updates: named items, each with the number of the change that last set it.

Guaranteed: a subscriber's number never falls within its incarnation, whoever sends it updates, and it has exactly the
items of the numbered state that it names. How: a publisher sends each subscriber what changed since the number that
the subscriber has. An update that does not begin at that number leaves a gap; the subscriber answers it by subscribing
again, and gets what lies between, or the complete state where removals in between have been forgotten.

Pure: whoever has the connection sends the messages. Cost: one message a change and subscriber, of the size of what
changed; a complete state for each new connection that lacks more than is remembered.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from thistleusher.transport.messages import Items, StateUpdate, StateUpdateAck, SubscribeRequest

NOTHING_KNOWN = -1  # in place of a subscriber's number, where a publisher does not know which one it has
MAX_REMOVED_ITEMS = 2000  # removed items that are remembered; a subscriber further behind gets the complete state


class State:
    """Items with their numbers. A removed item stays for a while, with the value None."""

    def __init__(self, number: int = 0, items: Mapping[str, tuple[int, Any]] | None = None, floor: int = 0) -> None:
        """Create a state.

        `floor`: a subscriber with a lower number gets the complete state, as some removals up to there are forgotten.
        """
        self.number = number
        self.floor = floor
        self.items: Items = dict(items or {})
        self.removed_count = sum(1 for _, value in self.items.values() if value is None)

    def copy(self) -> State:
        """Return a separate state with the same items."""
        return State(self.number, self.items, self.floor)

    def value(self, name: str) -> Any:
        """Return an item's value, None where there is none."""
        item = self.items.get(name)
        return item[1] if item is not None else None

    def values(self, prefix: str) -> dict[str, Any]:
        """Return the values of all items whose names begin with `prefix`, by the rest of their names."""
        return {
            name[len(prefix) :]: value
            for name, (_, value) in self.items.items()
            if value is not None and name.startswith(prefix)
        }

    def apply(self, number: int, changes: Mapping[str, Any]) -> None:
        """Set values (None: remove) under one number. Of more than `MAX_REMOVED_ITEMS` removals half is forgotten."""
        self.merge(number, {name: (number, value) for name, value in changes.items()})

    def merge(self, number: int, items: Items) -> None:
        """Set items that have their numbers already."""
        self.number = max(self.number, number)
        for name, item in items.items():
            old = self.items.get(name)
            self.removed_count += (item[1] is None) - (old is not None and old[1] is None)
            self.items[name] = item
        if self.removed_count > MAX_REMOVED_ITEMS:
            self._forget_removals()

    def _forget_removals(self) -> None:
        """Forget the older half of the removals."""
        removed = sorted((number, name) for name, (number, value) in self.items.items() if value is None)
        for number, name in removed[: len(removed) // 2]:
            del self.items[name]
            self.floor = max(self.floor, number)
        self.removed_count -= len(removed) // 2

    def changed_after(self, number: int) -> Items:
        """Return the items that changed after a number."""
        return {name: item for name, item in self.items.items() if item[0] > number}

    def update_since(self, number: int) -> StateUpdate:
        """Return what a subscriber at `number` lacks; the complete state where that is not known any more."""
        if number < self.floor or number > self.number:
            present = {name: item for name, item in self.items.items() if item[1] is not None}
            return StateUpdate(self.number, None, present)
        return StateUpdate(self.number, number, self.changed_after(number))


class Publisher:
    """Sends one state to its subscribers, and counts which of them have acknowledged which number."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent: dict[str, int] = {}  # subscriber -> the number that it was sent last
        self.acknowledged: dict[str, int] = {}  # subscriber -> the number that it has acknowledged or subscribed with

    def subscribe(self, subscriber: str, number: int) -> list[tuple[str, StateUpdate]]:
        """Add a subscriber that has `number` (0: nothing), or serve one that asks again after a gap."""
        self.acknowledged[subscriber] = min(number, self.state.number)
        if number == self.state.number:
            self.sent[subscriber] = number
            return []
        self.sent[subscriber] = self.state.number
        return [(subscriber, self.state.update_since(number))]

    def unsubscribe(self, subscriber: str) -> None:
        """Remove a subscriber, whose connection has ended."""
        self.sent.pop(subscriber, None)
        self.acknowledged.pop(subscriber, None)

    def updates_due(self) -> list[tuple[str, StateUpdate]]:
        """Return the updates for all who were not sent the present number, and count them as sent.

        Subscribers at one number share one message, so it is encoded once.
        """
        updates: list[tuple[str, StateUpdate]] = []
        shared: dict[int, StateUpdate] = {}
        for subscriber, number in list(self.sent.items()):
            if number == self.state.number:
                continue
            if number not in shared:
                shared[number] = self.state.update_since(number)
            self.sent[subscriber] = self.state.number
            updates.append((subscriber, shared[number]))
        return updates

    def acknowledge(self, subscriber: str, number: int) -> None:
        """Record that a subscriber has applied a number."""
        if subscriber in self.acknowledged:
            self.acknowledged[subscriber] = max(self.acknowledged[subscriber], number)

    def resend(self, subscriber: str) -> None:
        """Count as not sent what a subscriber has not acknowledged, so that the next updates bring it again."""
        if subscriber in self.sent:
            self.sent[subscriber] = self.acknowledged.get(subscriber, NOTHING_KNOWN)

    def acknowledged_count(self) -> tuple[int, int]:
        """Return how many subscribers have the present number, and how many there are."""
        current = sum(1 for number in self.acknowledged.values() if number >= self.state.number)
        return current, len(self.acknowledged)


class UpdateResult(NamedTuple):
    """What an update led to: the values that it changed (None: nothing was applied), and the reply to send."""

    changed: dict[str, Any] | None
    reply: StateUpdateAck | SubscribeRequest


class Subscriber:
    """A subscriber's copy of a state; `State.number` never falls."""

    def __init__(self, name: str = "", state: State | None = None) -> None:
        """Create a subscriber; `name`: the one that it subscribes under."""
        self.name = name
        self.state = state or State()
        self.least_number = 0  # of states that count: that of the copy that was discarded last

    def subscribe_request(self) -> SubscribeRequest:
        """Return the first message to a publisher, which is also the reply to a gap."""
        return SubscribeRequest(self.name, self.state.number)

    def discard(self) -> None:
        """Discard the copy, as what was applied last could not be put in force: everything is asked for again.

        No state older than the discarded one counts, so whoever sends it, what is in force does not go back. A number
        is discarded once: what cannot be put in force the second time either would be asked for without end.
        """
        if self.state.number > self.least_number:
            self.least_number = self.state.number
            self.state = State()

    def apply(self, update: StateUpdate) -> UpdateResult:
        """Apply an update. An older one is only acknowledged; one that leaves a gap is not applied."""
        if update.number <= self.state.number or update.number < self.least_number:
            return UpdateResult(None, StateUpdateAck(self.state.number))
        if update.base is None:
            changed = self._replace(update)
        elif update.base > self.state.number:
            return UpdateResult(None, self.subscribe_request())
        else:
            newer = {name: item for name, item in update.items.items() if item[0] > self.state.number}
            changed = {name: item[1] for name, item in newer.items()}
            self.state.merge(update.number, newer)
        return UpdateResult(changed, StateUpdateAck(update.number))

    def _replace(self, update: StateUpdate) -> dict[str, Any]:
        """Replace the state by a complete one; return the values that this changed."""
        old = self.state
        changed = {name: item[1] for name, item in update.items.items() if old.value(name) != item[1]}
        removed = [name for name, item in old.items.items() if name not in update.items and item[1] is not None]
        changed.update(dict.fromkeys(removed))
        self.state = State(update.number, update.items, update.number)
        return changed
