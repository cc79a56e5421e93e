"""Numbered state updates: named items, each with the number of the change that last set it.

Guarantee: within an incarnation, a subscriber's number never decreases, whichever publisher sends updates, and the
subscriber has exactly the items of the state with that number. To this end, a publisher sends each subscriber the items
changed since the subscriber's number. If an update starts at a later number, there is a gap: the subscriber answers by
subscribing again, and receives the missing changes, or the complete state if removals among them have been discarded.

No I/O: the owner of the connection sends the messages. Cost: one message per change and subscriber, proportional to
the change in size; a complete state for each new connection whose subscriber lags behind the retained removals.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from thistleusher.transport.messages import Items, StateUpdate, StateUpdateAck, SubscribeRequest

UNKNOWN_NUMBER = -1  # Used as a subscriber's number if the publisher does not know it.
MAX_RETAINED_REMOVALS = 2000  # A subscriber that lags behind the retained removals gets the complete state.


class State:
    """Items with their numbers. A removed item is retained for a while, with the value None."""

    def __init__(self, number: int = 0, items: Mapping[str, tuple[int, Any]] | None = None, floor: int = 0) -> None:
        """Create a state.

        A subscriber whose number is below `floor` gets the complete state, as some removals up to `floor` have been
        discarded.
        """
        self.number = number
        self.floor = floor
        self.items: Items = dict(items or {})
        self.removed_count = sum(1 for _, value in self.items.values() if value is None)

    def copy(self) -> State:
        """Return an independent copy of the state."""
        return State(self.number, self.items, self.floor)

    def value(self, name: str) -> Any:
        """Return an item's value, or None if there is no such item."""
        item = self.items.get(name)
        return item[1] if item is not None else None

    def values(self, prefix: str) -> dict[str, Any]:
        """Return the values of all items whose names begin with `prefix`, keyed by the rest of the name."""
        return {
            name[len(prefix) :]: value
            for name, (_, value) in self.items.items()
            if value is not None and name.startswith(prefix)
        }

    def apply(self, number: int, changes: Mapping[str, Any]) -> None:
        """Set values (None: remove) under one number; discard old removals beyond `MAX_RETAINED_REMOVALS`."""
        self.merge(number, {name: (number, value) for name, value in changes.items()})

    def merge(self, number: int, items: Items) -> None:
        """Set items that already have their numbers."""
        self.number = max(self.number, number)
        for name, item in items.items():
            old = self.items.get(name)
            self.removed_count += (item[1] is None) - (old is not None and old[1] is None)
            self.items[name] = item
        if self.removed_count > MAX_RETAINED_REMOVALS:
            self._discard_old_removals()

    def _discard_old_removals(self) -> None:
        """Discard the older half of the removals."""
        removed = sorted((number, name) for name, (number, value) in self.items.items() if value is None)
        for number, name in removed[: len(removed) // 2]:
            del self.items[name]
            self.floor = max(self.floor, number)
        self.removed_count -= len(removed) // 2

    def changed_after(self, number: int) -> Items:
        """Return the items that changed after a number."""
        return {name: item for name, item in self.items.items() if item[0] > number}

    def update_since(self, number: int) -> StateUpdate:
        """Return the update for a subscriber at `number`; the complete state if removals since then are discarded."""
        if number < self.floor or number > self.number:
            present = {name: item for name, item in self.items.items() if item[1] is not None}
            return StateUpdate(self.number, None, present)
        return StateUpdate(self.number, number, self.changed_after(number))


class Publisher:
    """Produces the updates of one state for its subscribers, and tracks which numbers they have acknowledged."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent: dict[str, int] = {}  # Subscriber -> last number sent to it.
        self.acknowledged: dict[str, int] = {}  # Subscriber -> number that it has acknowledged or subscribed with.

    def subscribe(self, subscriber: str, number: int) -> list[tuple[str, StateUpdate]]:
        """Add a subscriber that has `number` (0: nothing), or one that subscribes again after a gap.

        Return the update that it lacks, if any.
        """
        self.acknowledged[subscriber] = min(number, self.state.number)
        if number == self.state.number:
            self.sent[subscriber] = number
            return []
        self.sent[subscriber] = self.state.number
        return [(subscriber, self.state.update_since(number))]

    def unsubscribe(self, subscriber: str) -> None:
        """Remove a subscriber whose connection has ended."""
        self.sent.pop(subscriber, None)
        self.acknowledged.pop(subscriber, None)

    def updates_due(self) -> list[tuple[str, StateUpdate]]:
        """Return the updates for all subscribers that have not been sent the current number; they count as sent.

        Subscribers with the same number share one message, so it is encoded once.
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
        """Record that a subscriber has applied the update of this number."""
        if subscriber in self.acknowledged:
            self.acknowledged[subscriber] = max(self.acknowledged[subscriber], number)

    def resend(self, subscriber: str) -> None:
        """Mark what a subscriber has not acknowledged as unsent, so that the next updates include it again."""
        if subscriber in self.sent:
            self.sent[subscriber] = self.acknowledged.get(subscriber, UNKNOWN_NUMBER)

    def acknowledged_count(self) -> tuple[int, int]:
        """Return how many subscribers have acknowledged the current number, and how many there are."""
        current = sum(1 for number in self.acknowledged.values() if number >= self.state.number)
        return current, len(self.acknowledged)


class UpdateResult(NamedTuple):
    """The result of an update: the changed values (None: not applied), and the reply to send."""

    changed: dict[str, Any] | None
    reply: StateUpdateAck | SubscribeRequest


class Subscriber:
    """A subscriber's copy of a state; `State.number` does not decrease, except that `discard` resets it."""

    def __init__(self, name: str = "", state: State | None = None) -> None:
        """Create a subscriber; `name` identifies it to the publisher."""
        self.name = name
        self.state = state or State()
        self.min_number = 0  # Minimum number of an update to apply: that of the last discarded copy.

    def subscribe_request(self) -> SubscribeRequest:
        """Return the first message to a publisher, which is also the reply to a gap."""
        return SubscribeRequest(self.name, self.state.number)

    def discard(self) -> None:
        """Discard the copy because its last update could not be put into effect; request the complete state again.

        Updates older than the discarded copy are ignored, so the state in effect does not go back, whichever publisher
        sends them. A number is discarded only once: if the second attempt fails too, requests would repeat forever.
        """
        if self.state.number > self.min_number:
            self.min_number = self.state.number
            self.state = State()

    def apply(self, update: StateUpdate) -> UpdateResult:
        """Apply an update. An older one is only acknowledged; one that leaves a gap is not applied."""
        if update.number <= self.state.number or update.number < self.min_number:
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
        """Replace the state by a complete one; return the changed values."""
        old = self.state
        changed = {name: item[1] for name, item in update.items.items() if old.value(name) != item[1]}
        removed = [name for name, item in old.items.items() if name not in update.items and item[1] is not None]
        changed.update(dict.fromkeys(removed))
        self.state = State(update.number, update.items, update.number)
        return changed
