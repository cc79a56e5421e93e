"""What a control node keeps on disk: its promise, the newest view, its replica, and the leases that it granted.

Writes go out one at a time; those that come meanwhile are joined into the next one, which is on disk whole or not at
all. So what a later write rests on is on disk before it; a write that fails takes what was joined to it along, and what
waits behind it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.interface import Records, StoredState, Write
from thistleusher.control.replica import Replica
from thistleusher.transport.messages import Items, Position, ViewRecord

After = Callable[[bool], None]  # told whether a write is on disk


class Waiting(NamedTuple):
    """A write that has not gone out yet."""

    records: Records
    after: After


def joined(parts: list[Records]) -> Records:
    """Several writes as one: of what stands in several, the last."""
    complete, items = False, None
    merged = Records()
    for part in parts:
        given = {name: value for name, value in part._asdict().items() if value is not None}
        if part.position is None:
            del given["floor"]
        merged = merged._replace(**given)
        if part.items is not None:
            items = _joined_items(items, part)
            complete = complete or part.complete
    return merged._replace(items=items, complete=complete)


def _joined_items(items: Items | None, part: Records) -> Items:
    assert part.items is not None
    if part.complete or items is None:
        return dict(part.items)
    return {**items, **part.items}


def _nothing(ok: bool) -> None:
    """Nothing rests on it."""


class Durable:
    """One node's."""

    def __init__(self, context: Context, stored: StoredState) -> None:
        self._context = context
        self.promised = stored.promised
        self.view = stored.view  # the newest that is known
        self.recorded = stored.view.epoch if stored.view is not None else 0  # the epoch of the view on disk
        self.replica = Replica(stored)
        self.position = stored.position  # of the copy on disk, which the replica in memory may be ahead of
        self._waiting: list[Waiting] = []
        self._in_flight: list[After] = []
        self._writing: Position | None = None  # the position that the write in flight brings
        self._token = 0

    def write(self, records: Records, after: After) -> None:
        """Have records written; `after` is told how that ended."""
        self._waiting.append(Waiting(records, after))
        if not self._in_flight:
            self._start()

    def _start(self) -> None:
        waiting, self._waiting = self._waiting, []
        self._in_flight = [each.after for each in waiting]
        self._token += 1
        records = joined([each.records for each in waiting])
        self._writing = records.position
        self._context.emit(Write(self._token, records))

    def written(self, token: int, ok: bool) -> None:
        """A write has ended; `ok`: it is on disk."""
        if token != self._token or not self._in_flight:
            return
        ended, self._in_flight = self._in_flight, []
        if ok and self._writing is not None:
            self.position = self._writing
        if not ok:  # what waits may rest on it
            ended += [each.after for each in self._waiting]
            self._waiting = []
        for after in ended:
            after(ok)
        if self._waiting and not self._in_flight:
            self._start()

    def keep_replica(self, items: Items | None, complete: bool, after: After) -> None:
        """Have the replica's position on disk, with what was changed by it."""
        replica = self.replica
        self.write(Records(position=replica.position, floor=replica.state.floor, items=items, complete=complete), after)

    def adopt(self, view: ViewRecord) -> None:
        """A view was recorded somewhere: this machine knows it, and may hold or vote for nothing any more."""
        self._context.known.update(view.voters)
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view
        elif view.epoch == self.view.epoch and not view.previous_voters:
            self.confirm()

    def confirm(self) -> None:
        """The leader of the newest view is known to lead: the voters before it are asked no more."""
        if self.view is None or not self.view.previous_voters:
            return
        self.view = self.view.confirmed()
        if self.recorded == self.view.epoch:
            self.write(Records(view=self.view), _nothing)

    def failed(self, what: str) -> None:
        """A write that mattered is not on disk."""
        self._context.note(Event.DISK_FAILED, f"{what} not written")
