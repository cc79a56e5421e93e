"""One machine's copy of the control state: its items, its position, and its recent history of changes.

Guarantee: two copies with the same latest change (`Position.same_change`) contain the same items, because a change is
applied only to the state that it was based on. A copy is therefore brought up to date with only the items changed since
its latest change, if the sender's history contains that change. Otherwise it receives a complete copy.

Pure. Cost: linear in the items of a change; memory for `MAX_HISTORY` pairs of numbers.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from thistleusher.control.interface import StoredState
from thistleusher.transport.messages import Install, Items, Position
from thistleusher.transport.state_updates import State

MAX_HISTORY = 1024  # maximum number of changes that a copy may lack and still be updated by changes alone
NO_EPOCH = -1


class Undo(NamedTuple):
    """The data to revert a change: the previous position, and the previous items (None: the item did not exist)."""

    position: Position
    items: dict[str, tuple[int, Any] | None]


class StateCopy:
    """A copy of the control state in memory."""

    def __init__(self, stored: StoredState) -> None:
        self.position = stored.position
        self.state = State(stored.position.number, stored.items, stored.floor)
        self._history: OrderedDict[int, int] = OrderedDict({stored.position.number: stored.position.change_epoch})

    @property
    def epoch(self) -> int:
        """The latest epoch in which this copy was complete, or `NO_EPOCH` if there is none."""
        return self.position.epoch

    def enter_epoch(self, epoch: int) -> Position:
        """Mark the copy as complete in a new epoch, and return its position."""
        self.position = Position(epoch, self.position.number, self.position.change_epoch)
        return self.position

    def next_position(self) -> Position:
        """Return the position after the next change of the current epoch."""
        return Position(self.epoch, self.position.number + 1, self.epoch)

    def apply(self, position: Position, items: Items) -> Undo:
        """Apply one change or several consecutive ones, and return the data to revert them."""
        undo = Undo(self.position, {name: self.state.items.get(name) for name in items})
        self.state.merge(position.number, items)
        self._move_to(position)
        return undo

    def revert(self, undo: Undo) -> None:
        """Revert the latest change, which is not on this machine's disk."""
        self._history.pop(self.position.number, None)
        self.position = undo.position
        items = dict(self.state.items)
        for name, item in undo.items.items():
            if item is None:
                items.pop(name, None)
            else:
                items[name] = item
        self.state = State(undo.position.number, items, self.state.floor)

    def install(self, position: Position, floor: int, items: Items) -> None:
        """Replace all items by a complete copy."""
        self.state = State(position.number, items, floor)
        self._history.clear()
        self._move_to(position)

    def mark_damaged(self) -> None:
        """Mark the copy as damaged because memory and disk differ: only a complete copy can repair it."""
        self.position = Position(NO_EPOCH, 0, 0)
        self._history.clear()

    def _move_to(self, position: Position) -> None:
        self.position = position
        self._history[position.number] = position.change_epoch
        while len(self._history) > MAX_HISTORY:
            self._history.popitem(last=False)

    def has_changes_since(self, position: Position) -> bool:
        """Return whether a copy at `position` lacks only changes that are in this copy's history."""
        known = self._history.get(position.number) == position.change_epoch
        return position.epoch != NO_EPOCH and known and position.number >= self.state.floor

    def install_for(self, position: Position | None) -> Install:
        """Return the message that brings a copy at `position` (None: unknown) up to date with this one.

        It contains only the changed items if the history suffices, otherwise all items.
        """
        if position is not None and self.has_changes_since(position):
            items = self.state.changed_after(position.number)
            return Install(self.epoch, position, self.position, self.state.floor, items)
        return Install(self.epoch, None, self.position, self.state.floor, self.state.items)
