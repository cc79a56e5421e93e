"""A simulated disk, with synced data and writes in flight. It may be slow, hang, be full or lose power.

Writes are synced one after the other, as the only writer thread does. If a process ends, a prefix of the writes in
flight is on disk. Each write is atomic.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from thistleusher.control.interface import Records, StoredState
from thistleusher.transport.messages import Position, ViewRecord

SYNC_S, SYNC_SPREAD_S = 0.001, 0.004  # duration of one write: minimum, and range above it
SLOW_FACTOR = 30  # factor on the duration of a write while the disk is slow

EncodedItems = dict[str, bytes]

_decode_item: msgspec.msgpack.Decoder[tuple[int, Any]] = msgspec.msgpack.Decoder(tuple[int, Any])


class PendingWrite(NamedTuple):
    """A write in flight: its records, their encoded items, and whether the disk will refuse it."""

    records: Records
    items: EncodedItems | None
    refused: bool
    founding_seeds: tuple[str, ...] = ()


class Disk:
    """One machine's disk."""

    def __init__(self, rng: random.Random) -> None:
        self.stalled_until = 0.0
        self.slow_until = 0.0
        self.full_until = 0.0
        self.written_bytes = 0
        self.highest_number = 0  # highest number of a change that was ever on the disk
        self.pending: deque[PendingWrite] = deque()
        self._rng = rng
        self._busy_until = 0.0
        self.wipe()

    def wipe(self) -> None:
        """Erase the disk, and drop the writes in flight."""
        empty = StoredState()
        self.promised = empty.promised
        self.view: ViewRecord | None = empty.view
        self.position: Position = empty.position
        self.floor = empty.floor
        self.items: EncodedItems = {}
        self.leases: dict[str, tuple[str, int]] = {}
        self.founding_seeds: tuple[str, ...] = ()
        self.pending.clear()

    def stored(self) -> StoredState:
        """Return the state that a process reads at its start."""
        items = {name: _decode_item.decode(data) for name, data in self.items.items()}
        stored = StoredState(self.promised, self.view, self.position, self.floor, items, dict(self.leases))
        if self.founding_seeds:
            stored.add_founding_view(self.founding_seeds)
        return stored

    def may_found(self) -> bool:
        """Return whether nothing was ever written to the disk."""
        return not self.founding_seeds and self.view is None and self.promised == 0 and self.position.epoch < 0

    def item(self, name: str) -> Any:
        """Return the value of an item on disk, or None if there is none."""
        data = self.items.get(name)
        return _decode_item.decode(data)[1] if data is not None else None

    def begin(self, now: float, records: Records) -> float:
        """Begin a write, and return the time at which it ends."""
        items = None if records.items is None else _encoded(records.items)
        self.written_bytes += sum(map(len, (items or {}).values()))
        refused = self._occupy(now)
        self.pending.append(PendingWrite(records, items, refused))
        return self._busy_until

    def begin_founding(self, now: float, seeds: Sequence[str]) -> float:
        """Begin the write of a founder's record, and return the time at which it ends."""
        refused = self._occupy(now)
        self.pending.append(PendingWrite(Records(), None, refused, tuple(seeds)))
        return self._busy_until

    def _occupy(self, now: float) -> bool:
        """Occupy the disk for one more write; return whether the disk will refuse it."""
        start = max(now, self._busy_until, self.stalled_until)
        duration = SYNC_S + SYNC_SPREAD_S * self._rng.random()
        if start < self.slow_until:
            duration *= SLOW_FACTOR
        self._busy_until = start + duration
        return start < self.full_until

    def end(self) -> bool:
        """Complete the oldest write in flight, and return whether it is on disk."""
        write = self.pending.popleft()
        if not write.refused:
            self._apply(write)
        return not write.refused

    def abort_writes(self) -> None:
        """Handle the end of the process or of power: a random prefix of the writes in flight reaches the disk."""
        while self.pending and self._rng.random() < 0.5:
            self.end()
        self.pending.clear()
        self._busy_until = 0.0

    def _apply(self, write: PendingWrite) -> None:
        records = write.records
        if records.promised is not None:
            self.promised = records.promised
        if records.view is not None:
            self.view = records.view
        if records.position is not None:
            self.position = records.position
            self.highest_number = max(self.highest_number, records.position.number)
            self.floor = records.floor
        if write.items is not None:
            self.items = dict(write.items) if records.complete else {**self.items, **write.items}
        if write.founding_seeds:
            self.founding_seeds = write.founding_seeds
        if records.leases is not None:
            self.leases = dict(records.leases)


def _encoded(items: Mapping[str, Any]) -> EncodedItems:
    """Return the encoded items, so that later changes in memory do not affect the data on disk."""
    return {name: msgspec.msgpack.encode(item) for name, item in items.items()}
