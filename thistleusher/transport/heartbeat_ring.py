"""Heartbeats on a ring: each ingress tells a few watchers, which its place names, that it is there.

Places are hashes of names; an ingress's watchers are the next `WATCHERS` on the ring, so each watches as many on
average and the sum of heartbeats grows with the fleet, not with its square. One watcher's word is no verdict: who
judges wants two.

Watchers also keep what a missing one should have had: while one is silent they go on calling it, and when it answers
with a life that knows nothing they hand over their copy of the news.

Pure; times are seconds on a steady clock.
"""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Iterable

WATCHERS = 3
BEAT_S = 0.25
LACKS_S = 0.6  # in which the core may bring the news itself, before a watcher does
SILENT_S = 0.9  # without a beat, after which a watcher calls one silent


def place_of(name: str) -> int:
    """A name's place on the ring."""
    return zlib.crc32(name.encode())


class HeartbeatRing:
    """One ingress's part: whom it tells, whom it watches, who is silent."""

    def __init__(self, me: str, now: float) -> None:
        self.me = me
        self.order: list[tuple[int, str]] = []
        self.heard: dict[str, float] = {}  # of those watched, when last
        self.met: set[str] = set()  # of those watched, heard at least once
        self.next_beat = now
        # Of those watched, who lacks news: with which numbers, and since when it has had these.
        self.lacking: dict[str, tuple[tuple[int, int], float]] = {}

    def members(self, now: float, names: Iterable[str]) -> None:
        """Who is in the ring now, itself included or not."""
        self.order = sorted((place_of(name), name) for name in {*names, self.me})
        watched = self.watched()
        self.heard = {name: self.heard.get(name, now) for name in watched}
        self.met &= watched

    def _from(self, name: str, step: int) -> list[str]:
        at = bisect.bisect_left(self.order, (place_of(name), name))
        count = len(self.order)
        return [self.order[(at + step * k) % count][1] for k in range(1, min(WATCHERS, count - 1) + 1)]

    def watchers(self) -> list[str]:
        """Whom this one tells that it is there."""
        return self._from(self.me, 1) if len(self.order) > 1 else []

    def watched(self) -> set[str]:
        """Whom this one listens for."""
        return set(self._from(self.me, -1)) if len(self.order) > 1 else set()

    def beat(self, now: float, name: str) -> bool:
        """A heartbeat has come; whether it was silent until now."""
        if name not in self.heard:
            return False
        back = now - self.heard[name] > SILENT_S
        self.heard[name] = now
        self.met.add(name)
        return back

    def due(self, now: float) -> list[str]:
        """Whom to send a heartbeat to now: the watchers, and the watched ones that are silent, which are called."""
        if now < self.next_beat:
            return []
        self.next_beat = now + BEAT_S
        return [*self.watchers(), *sorted(self.silent(now) - set(self.watchers()))]

    def behind(self, now: float, name: str, theirs: tuple[int, int], mine: tuple[int, int]) -> bool:
        """Whether one that is watched has lacked news for `LACKS_S` and got none, and its watcher hands them over."""
        if name not in self.heard or (theirs[0] >= mine[0] and theirs[1] >= mine[1]):
            self.lacking.pop(name, None)
            return False
        had, since = self.lacking.get(name, (theirs, now))
        stuck = had == theirs and now - since >= LACKS_S
        if stuck or had != theirs or name not in self.lacking:
            self.lacking[name] = theirs, now
        return stuck

    def silent(self, now: float) -> set[str]:
        """Those watched that have not been heard of for `SILENT_S`."""
        return {name for name, at in self.heard.items() if now - at > SILENT_S}
