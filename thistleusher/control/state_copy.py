"""One machine's copy of the control state: its items, its position, and the changes that led there.

Guaranteed: two copies whose newest change is the same one (`Position.same_change`) hold the same items, because a
change is applied only after the one that it was made after. So what a copy lacks may be sent as the items that changed
since, where the sender's own history holds that copy's newest change; else a complete copy is sent.

Pure. Cost: one step an item of the change; `MAX_HISTORY` pairs of numbers in memory.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from thistleusher.control.interface import StoredState
from thistleusher.transport.messages import Install, Items, Position
from thistleusher.transport.state_updates import State

MAX_HISTORY = 1024  # changes back, from which a copy can be brought up to date by changes alone
NO_EPOCH = -1


class Undo(NamedTuple):
    """What a change replaced: the position before it, and the items before it (None: there was none)."""

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
        """The epoch in which this copy was last complete, `NO_EPOCH` for none."""
        return self.position.epoch

    def enter(self, epoch: int) -> Position:
        """Take note that the copy is complete in an epoch that begins; returns its position."""
        self.position = Position(epoch, self.position.number, self.position.change_epoch)
        return self.position

    def next_position(self) -> Position:
        """Return the position after the next change of the present epoch."""
        return Position(self.epoch, self.position.number + 1, self.epoch)

    def apply(self, position: Position, items: Items) -> Undo:
        """Apply one change, or several that follow each other; returns what they replaced."""
        undo = Undo(self.position, {name: self.state.items.get(name) for name in items})
        self.state.merge(position.number, items)
        self._move_to(position)
        return undo

    def revert(self, undo: Undo) -> None:
        """Revert the newest change, which is on no disk."""
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
        """Replace everything by a complete copy."""
        self.state = State(position.number, items, floor)
        self._history.clear()
        self._move_to(position)

    def mark_damaged(self) -> None:
        """Take note that what is in memory is not on disk: only a complete copy repairs that."""
        self.position = Position(NO_EPOCH, 0, 0)
        self._history.clear()

    def _move_to(self, position: Position) -> None:
        self.position = position
        self._history[position.number] = position.change_epoch
        while len(self._history) > MAX_HISTORY:
            self._history.popitem(last=False)

    def follows(self, position: Position) -> bool:
        """Return whether a copy at that position lacks only changes that are known here."""
        known = self._history.get(position.number) == position.change_epoch
        return position.epoch != NO_EPOCH and known and position.number >= self.state.floor

    def install_for(self, position: Position | None) -> Install:
        """Return what brings a copy at a position (None: not known) to this one: changes if they do, else all items."""
        if position is not None and self.follows(position):
            items = self.state.changed_after(position.number)
            return Install(self.epoch, position, self.position, self.state.floor, items)
        return Install(self.epoch, None, self.position, self.state.floor, self.state.items)
