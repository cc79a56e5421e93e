"""The list that the registry publishes: backends and members (proxies), as numbered state updates.

The registry that holds the singleton role changes and publishes the list. The others subscribe to it and keep a copy.
No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from thistleusher.transport.messages import StateUpdate, StateUpdateAck, SubscribeRequest
from thistleusher.transport.state_updates import UNKNOWN_NUMBER, Publisher, State, Subscriber

TERM_BITS = 24  # Number of low bits of a published number that count updates; the bits above hold the holder's term.

# Prefixes of the list's items.
BACKEND = "b:"
MEMBER = "m:"

Updates = list[tuple[str, StateUpdate]]  # (subscriber, update)


class PublishedList:
    """The list and its subscribers."""

    def __init__(self, name: str) -> None:
        """Create an empty list; `name` is the registry's own name, under which it subscribes to the others."""
        self._copy = Subscriber(name)
        self._publisher = Publisher(self._copy.state)
        self.subscribers: set[str] = set()

    @property
    def state(self) -> State:
        """Return the list's state: its number and items."""
        return self._copy.state

    def backends(self) -> dict[str, Any]:
        """Return the backends on the list, by name."""
        return self.state.values(BACKEND)

    def members(self) -> dict[str, Any]:
        """Return the members on the list, by name."""
        return self.state.values(MEMBER)

    # Without the role.

    def subscribe_request(self) -> SubscribeRequest:
        """Return the first message to another registry."""
        return self._copy.subscribe_request()

    def apply(self, update: StateUpdate) -> StateUpdateAck | SubscribeRequest:
        """Apply an update from the registry that holds the role; return the reply."""
        return self._copy.apply(update).reply

    # With the role.

    def begin_term(self, term: int) -> None:
        """Start to publish under numbers above those of all earlier terms, so that no subscriber's number decreases."""
        self.state.number = max(self.state.number, term << TERM_BITS)
        self.state.floor = self.state.number
        self._publisher = Publisher(self.state)
        for name in sorted(self.subscribers):
            # The subscriber's number is not known, so it gets the complete state.
            self._publisher.sent[name] = UNKNOWN_NUMBER
            self._publisher.acknowledged[name] = UNKNOWN_NUMBER

    def subscribe(self, name: str, number: int) -> Updates:
        """Add a subscriber that has the list at `number`; return the updates that it lacks."""
        return self._publisher.subscribe(name, number)

    def unsubscribe(self, name: str) -> None:
        """Remove a subscriber whose connection has ended."""
        self.subscribers.discard(name)
        self._publisher.unsubscribe(name)

    def acknowledge(self, name: str, number: int) -> None:
        """Record that a subscriber has applied the update of this number."""
        self._publisher.acknowledge(name, number)

    def acknowledged(self) -> Mapping[str, int]:
        """Return the acknowledged number of each subscriber."""
        return self._publisher.acknowledged

    def resend(self, name: str) -> None:
        """Send what a subscriber has not acknowledged again with the next updates."""
        self._publisher.resend(name)

    def change(self, changes: dict[str, Any]) -> None:
        """Set items (None: remove) under the next number; do nothing if `changes` is empty."""
        if changes:
            self.state.apply(self.state.number + 1, changes)

    def updates_due(self) -> Updates:
        """Return the updates for all subscribers that have not been sent the current number."""
        return self._publisher.updates_due()
