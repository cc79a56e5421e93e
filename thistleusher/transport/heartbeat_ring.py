"""Heartbeats on a ring: each ingress sends heartbeats to a few watchers, which its position on the ring determines.

Positions are hashes of names. An ingress's watchers are the next `WATCHERS` on the ring, so each watches as many on
average, and the sum of heartbeats grows with the fleet, not with its square. One watcher's report is no verdict:
whoever judges wants two (`thistleusher.registry.members`).

Watchers also hand over what a watched ingress lacks of both states: they go on sending heartbeats to a silent one, and
once the numbers in an ingress's own heartbeats have lagged behind theirs, unchanged, for `UPDATE_WAIT_S`, they send the
difference. Why it lags is not asked.

Pure; times are seconds on a steady clock.
"""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Iterable

WATCHERS = 3
HEARTBEAT_S = 0.25
UPDATE_WAIT_S = 0.6  # in which the core may send the updates itself, before a watcher hands them over
SILENT_S = 0.9  # without a heartbeat, after which a watcher reports an ingress as silent


def ring_position(name: str) -> int:
    """Return a name's position on the ring."""
    return zlib.crc32(name.encode())


class HeartbeatRing:
    """One ingress's view of the ring: who watches it, whom it watches, who is silent."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.order: list[tuple[int, str]] = []  # (position, name) of all members
        self.last_heard: dict[str, float] = {}  # of those watched
        self.met: set[str] = set()  # of those watched, heard from at least once
        self.next_heartbeat = now
        # By name, of those watched that lack updates: the numbers that they have, and since when.
        self.lacking: dict[str, tuple[tuple[int, int], float]] = {}

    def set_members(self, now: float, names: Iterable[str]) -> None:
        """Set the ring's members; this ingress is always one of them."""
        self.order = sorted((ring_position(name), name) for name in {*names, self.name})
        watched = self.watched()
        self.last_heard = {name: self.last_heard.get(name, now) for name in watched}
        self.met &= watched

    def _neighbours(self, step: int) -> list[str]:
        """Return the next `WATCHERS` members in one direction (`step` 1 or -1)."""
        own = bisect.bisect_left(self.order, (ring_position(self.name), self.name))
        size = len(self.order)
        return [self.order[(own + step * k) % size][1] for k in range(1, min(WATCHERS, size - 1) + 1)]

    def watchers(self) -> list[str]:
        """Return who watches this ingress."""
        return self._neighbours(1) if len(self.order) > 1 else []

    def watched(self) -> set[str]:
        """Return whom this ingress watches."""
        return set(self._neighbours(-1)) if len(self.order) > 1 else set()

    def record_heartbeat(self, now: float, name: str) -> bool:
        """Record a heartbeat; return whether its sender is watched and was silent until now."""
        if name not in self.last_heard:
            return False
        was_silent = now - self.last_heard[name] > SILENT_S
        self.last_heard[name] = now
        self.met.add(name)
        return was_silent

    def heartbeats_due(self, now: float) -> list[str]:
        """Return whom to send a heartbeat to now, and count it as sent: the watchers, then the silent ones watched."""
        if now < self.next_heartbeat:
            return []
        self.next_heartbeat = now + HEARTBEAT_S
        return [*self.watchers(), *sorted(self.silent(now) - set(self.watchers()))]

    def needs_hand_over(self, now: float, name: str, theirs: tuple[int, int], own: tuple[int, int]) -> bool:
        """Note which numbers a watched ingress has; return whether it has lagged, unchanged, for `UPDATE_WAIT_S`.

        `theirs` and `own` are the numbers of the control's and the registry's state. After True the wait begins anew.
        """
        if name not in self.last_heard or (theirs[0] >= own[0] and theirs[1] >= own[1]):
            self.lacking.pop(name, None)
            return False
        had, since = self.lacking.get(name, (theirs, now))
        stuck = had == theirs and now - since >= UPDATE_WAIT_S
        if stuck or had != theirs or name not in self.lacking:
            self.lacking[name] = theirs, now
        return stuck

    def silent(self, now: float) -> set[str]:
        """Return those watched that have not been heard of for `SILENT_S`."""
        return {name for name, at in self.last_heard.items() if now - at > SILENT_S}
