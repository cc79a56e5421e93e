"""The list that registries publish: backends and members (proxies), as numbered state updates.

A registry without the singleton role has a copy of it, by subscribing to the others; the one with the role changes and
publishes it. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from thistleusher.transport.messages import StateUpdate, StateUpdateAck, SubscribeRequest
from thistleusher.transport.state_updates import NOTHING_KNOWN, Publisher, State, Subscriber

TERM_BITS = 24  # a published number has the holder's term above these bits

# Prefixes of the list's items.
BACKEND = "b:"
MEMBER = "m:"

Updates = list[tuple[str, StateUpdate]]  # subscriber, update


class PublishedList:
    """The list, and who subscribes to it."""

    def __init__(self, name: str) -> None:
        """Create an empty list; `name`: the registry's own, under which it subscribes to others."""
        self._copy = Subscriber(name)
        self._publisher = Publisher(self._copy.state)
        self.subscribers: set[str] = set()

    @property
    def state(self) -> State:
        """Return the list's items."""
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
        """Apply the update of the registry that has the role; return the reply."""
        return self._copy.apply(update).reply

    # With the role.

    def begin_term(self, term: int) -> None:
        """Begin to publish, under numbers above every one of an earlier term, so that no subscriber goes back."""
        self.state.number = max(self.state.number, term << TERM_BITS)
        self.state.floor = self.state.number
        self._publisher = Publisher(self.state)
        for name in sorted(self.subscribers):
            # The number that it has is not known, so it gets the complete state.
            self._publisher.sent[name] = NOTHING_KNOWN
            self._publisher.acknowledged[name] = NOTHING_KNOWN

    def subscribe(self, name: str, number: int) -> Updates:
        """Return what a subscriber lacks that has `number` of the list."""
        return self._publisher.subscribe(name, number)

    def unsubscribe(self, name: str) -> None:
        """Remove a subscriber, whose connection has ended."""
        self.subscribers.discard(name)
        self._publisher.unsubscribe(name)

    def acknowledge(self, name: str, number: int) -> None:
        """Record that a subscriber has applied a number."""
        self._publisher.acknowledge(name, number)

    def acknowledged(self) -> Mapping[str, int]:
        """Return the number that each subscriber has acknowledged."""
        return self._publisher.acknowledged

    def resend(self, name: str) -> None:
        """Have a subscriber sent with the next updates what it has not acknowledged."""
        self._publisher.resend(name)

    def change(self, changes: dict[str, Any]) -> None:
        """Set items (None: remove) under the next number; nothing where there is no change."""
        if changes:
            self.state.apply(self.state.number + 1, changes)

    def updates_due(self) -> Updates:
        """Return the updates for all subscribers that were not sent the present number."""
        return self._publisher.updates_due()
