"""Heartbeats on a ring: each proxy sends heartbeats to a few watchers, which its position on the ring determines.

Positions are hashes of names. A proxy's watchers are the next `WATCHER_COUNT` proxies on the ring, so each proxy
watches the same number on average, and the number of heartbeats grows linearly, not quadratically, with the number of
proxies. One watcher's report is not sufficient: the registry requires two sources (`thistleusher.registry.members`).

Watchers also transfer the updates that a watched proxy lacks, for both states. They keep sending heartbeats to a silent
proxy. If the numbers in a proxy's own heartbeats are lower than the watcher's and have not changed for `UPDATE_WAIT_S`,
the watcher sends the missing updates, whatever the reason for the lag.

No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Iterable

WATCHER_COUNT = 3
HEARTBEAT_S = 0.25
UPDATE_WAIT_S = 0.6  # Time that the core has to send updates itself before a watcher transfers them.
SILENT_S = 0.9  # Time without a heartbeat after which a watcher reports a proxy as silent.


def ring_position(name: str) -> int:
    """Return a name's position on the ring."""
    return zlib.crc32(name.encode())


class HeartbeatRing:
    """One proxy's view of the ring: its watchers, the proxies that it watches, and which of those are silent."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.order: list[tuple[int, str]] = []  # (position, name) of all members, sorted.
        self.last_heartbeat_at: dict[str, float] = {}  # Watched proxy -> time of its last heartbeat.
        self.heard_from: set[str] = set()  # Watched proxies from which at least one heartbeat has arrived.
        self.next_heartbeat = now
        # Watched proxy that lacks updates -> the numbers that it has, and the time since which they are unchanged.
        self.peers_behind: dict[str, tuple[tuple[int, int], float]] = {}

    def set_members(self, now: float, names: Iterable[str]) -> None:
        """Set the ring's members; this proxy is always one of them."""
        self.order = sorted((ring_position(name), name) for name in {*names, self.name})
        watched = self.watched()
        self.last_heartbeat_at = {name: self.last_heartbeat_at.get(name, now) for name in watched}
        self.heard_from &= watched

    def _neighbours(self, step: int) -> list[str]:
        """Return the next `WATCHER_COUNT` members in one direction (`step` 1 or -1)."""
        own = bisect.bisect_left(self.order, (ring_position(self.name), self.name))
        size = len(self.order)
        return [self.order[(own + step * k) % size][1] for k in range(1, min(WATCHER_COUNT, size - 1) + 1)]

    def watchers(self) -> list[str]:
        """Return the names of the proxies that watch this one."""
        return self._neighbours(1) if len(self.order) > 1 else []

    def watched(self) -> set[str]:
        """Return the names of the proxies that this one watches."""
        return set(self._neighbours(-1)) if len(self.order) > 1 else set()

    def record_heartbeat(self, now: float, name: str) -> bool:
        """Record a heartbeat; return whether its sender is watched and was silent until now."""
        if name not in self.last_heartbeat_at:
            return False
        was_silent = now - self.last_heartbeat_at[name] > SILENT_S
        self.last_heartbeat_at[name] = now
        self.heard_from.add(name)
        return was_silent

    def heartbeats_due(self, now: float) -> list[str]:
        """Return the recipients of the heartbeat that is due now: the watchers, then the silent watched proxies.

        The heartbeat counts as sent; the list is empty if none is due.
        """
        if now < self.next_heartbeat:
            return []
        self.next_heartbeat = now + HEARTBEAT_S
        return [*self.watchers(), *sorted(self.silent(now) - set(self.watchers()))]

    def needs_state_transfer(self, now: float, name: str, theirs: tuple[int, int], own: tuple[int, int]) -> bool:
        """Record a watched proxy's numbers; return whether it has lagged without progress for `UPDATE_WAIT_S`.

        `theirs` and `own` are the numbers of the control state and the registry's list, of the watched proxy and of
        this one. After a result of True the waiting time restarts.
        """
        if name not in self.last_heartbeat_at or (theirs[0] >= own[0] and theirs[1] >= own[1]):
            self.peers_behind.pop(name, None)
            return False
        previous, unchanged_since = self.peers_behind.get(name, (theirs, now))
        has_stalled = previous == theirs and now - unchanged_since >= UPDATE_WAIT_S
        if has_stalled or previous != theirs or name not in self.peers_behind:
            self.peers_behind[name] = theirs, now
        return has_stalled

    def silent(self, now: float) -> set[str]:
        """Return the watched proxies that have not been heard from for `SILENT_S`."""
        return {name for name, at in self.last_heartbeat_at.items() if now - at > SILENT_S}
