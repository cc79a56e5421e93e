"""The durable state of a control node: its promise, the newest view, its state copy, and the leases that it granted.

One write is in flight at a time. Writes that are requested meanwhile are merged into the next one, which is atomic.
Everything that a write relies on is therefore on disk before it or together with it. A failed write fails all writes
that were merged into it and all that are queued behind it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from thistleusher.common.events import Event
from thistleusher.control.context import Context
from thistleusher.control.interface import Records, StoredState, Write
from thistleusher.control.state_copy import StateCopy
from thistleusher.transport.messages import Items, Position, ViewRecord

OnWritten = Callable[[bool], None]  # the argument tells whether the write is on disk


class QueuedWrite(NamedTuple):
    """A write that has not been issued yet."""

    records: Records
    on_written: OnWritten


def merge_records(parts: list[Records]) -> Records:
    """Return several writes as one. If several contain the same record, the last one wins."""
    complete = False
    items = None
    merged = Records()
    for part in parts:
        given = {name: value for name, value in part._asdict().items() if value is not None}
        if part.position is None:
            del given["floor"]
        merged = merged._replace(**given)
        if part.items is not None:
            items = _merge_items(items, part)
            complete = complete or part.complete
    return merged._replace(items=items, complete=complete)


def _merge_items(items: Items | None, part: Records) -> Items:
    assert part.items is not None
    if part.complete or items is None:
        return dict(part.items)
    return {**items, **part.items}


def _ignore_result(ok: bool) -> None:
    """Ignore the result of a write that no later step relies on."""


class DurableState:
    """One node's durable state, and the queue of its writes."""

    def __init__(self, context: Context, stored: StoredState) -> None:
        self._context = context
        self.promised = stored.promised
        self.view = stored.view  # the newest known view, whether it is on disk or not
        self.recorded_epoch = stored.view.epoch if stored.view is not None else 0  # epoch of the view on disk
        self.state_copy = StateCopy(stored)
        self.position = stored.position  # position of the copy on disk; the copy in memory may be ahead of it
        self._queue: list[QueuedWrite] = []
        self._in_flight: list[OnWritten] = []
        self._position_in_flight: Position | None = None  # position of the copy on disk after the write in flight
        self._token = 0

    def write(self, records: Records, on_written: OnWritten) -> None:
        """Write records; `on_written` is called with whether they are on disk."""
        self._queue.append(QueuedWrite(records, on_written))
        if not self._in_flight:
            self._issue()

    def _issue(self) -> None:
        queued = self._queue
        self._queue = []
        self._in_flight = [each.on_written for each in queued]
        self._token += 1
        records = merge_records([each.records for each in queued])
        self._position_in_flight = records.position
        self._context.emit(Write(self._token, records))

    def write_completed(self, token: int, ok: bool) -> None:
        """Call the callbacks of a write that has ended, then issue the next write."""
        if token != self._token or not self._in_flight:
            return
        ended = self._in_flight
        self._in_flight = []
        if ok and self._position_in_flight is not None:
            self.position = self._position_in_flight
        if not ok:  # queued writes may rely on the failed one
            ended += [each.on_written for each in self._queue]
            self._queue = []
        for on_written in ended:
            on_written(ok)
        if self._queue and not self._in_flight:
            self._issue()

    def write_state_copy(self, items: Items | None, complete: bool, on_written: OnWritten) -> None:
        """Write the state copy's position together with `items`; `complete`: they replace all items on disk."""
        state_copy = self.state_copy
        records = Records(position=state_copy.position, floor=state_copy.state.floor, items=items, complete=complete)
        self.write(records, on_written)

    def adopt_view(self, view: ViewRecord) -> None:
        """Adopt a view that another machine has recorded, if it is newer than the known one.

        From then on this machine takes no part in lower epochs, even if it is a voter or replica there.
        """
        self._context.known_machines.update(view.voters)
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view
        elif view.epoch == self.view.epoch and not view.previous_voters:
            self.confirm_view()

    def confirm_view(self) -> None:
        """Record that the leader of the newest view leads: the previous voters need not be asked any more."""
        if self.view is None or not self.view.previous_voters:
            return
        self.view = self.view.confirmed()
        if self.recorded_epoch == self.view.epoch:
            self.write(Records(view=self.view), _ignore_result)

    def mark_view_recorded(self, epoch: int) -> None:
        """Record that the view of an epoch is on disk."""
        self.recorded_epoch = max(self.recorded_epoch, epoch)

    def log_view(self, view: ViewRecord) -> None:
        """Log a view that this machine records."""
        replicas = ", ".join(view.replicas)
        voters = ", ".join(sorted(view.voters))
        self._context.log(Event.VIEW_ADOPTED, view.epoch, view.leader, replicas, voters)

    def log_write_failure(self, record: str) -> None:
        """Log a failed write."""
        self._context.log(Event.DISK_FAILED, f"writing {record} failed")
