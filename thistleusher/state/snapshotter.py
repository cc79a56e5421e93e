"""Keeps one ingress's state while it serves: changes go to the writer in portions, and back at a start."""

from __future__ import annotations

import logging
import sqlite3
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from thistleusher.core.decision_ports import Escrow
from thistleusher.core.settings import Settings
from thistleusher.core.snapshots import Learned, SavedMember
from thistleusher.state.options import StateOptions
from thistleusher.state.records import Life, Listed, Member, Place, Room, pack
from thistleusher.state.recovery import Recovered, active_until, recover, still_learned, still_listed, still_there
from thistleusher.state.store import LEARNED, LISTED, Store
from thistleusher.state.writer import Writer

log = logging.getLogger(__name__)

PORTION = 150  # members packed at a time: about a millisecond of the loop
FACTS_S = 2.0  # between looks at what was learned of backends, and at the list
CLOSE_S = 2.0  # for the last commit


class Timer(Protocol):
    def cancel(self) -> object: ...


class Later(Protocol):
    """The event loop's `call_later`, seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer: ...


class Known(Protocol):
    """What the keeper asks of the decisions on backends."""

    def learned(self, now: float) -> Learned: ...


class Decisions(Protocol):
    """What the keeper asks of the decision module."""

    @property
    def escrow(self) -> Escrow | None: ...

    @property
    def fleet(self) -> Known: ...

    def restore(self, now: float, members: Iterable[SavedMember], learned: Learned | None) -> None: ...

    def take_changed(self, most: int) -> list[SavedMember]: ...


class Snapshotter:
    """The state of the ingress `name`. BadState where its folder cannot be used."""

    def __init__(
        self,
        options: StateOptions,
        name: str,
        settings: Settings,
        kept: float,
        terms: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        """`kept`: seconds after which the decisions forget a quiet member; `terms`: rate and burst that rooms are of,
        by plan."""
        self.options, self.name, self.kept, self.terms = options, name, kept, terms or {}
        self.plans = {p.name: p for p in settings.plans}
        self.names = list(self.plans)
        self.store = Store(options.folder, name, options.sync, options.max_size)
        self.gateway: Decisions | None = None
        self.writer: Writer | None = None
        self.timer: Timer | None = None
        self.list: Listed | None = None  # the last one of an earlier life
        self.places: Callable[[], tuple[int, tuple[Place, ...]]] | None = None  # the present list, where it is kept
        self.notes = deque[tuple[int, list[tuple[int, int]]]]()  # rooms on their way: records to be on disk by then
        self.facts_at = 0.0

    def begin(self, gateway: Decisions, clock: Callable[[], float], later: Later) -> tuple[Life, Recovered]:
        """Put back what was kept, note that this life begins, and keep what changes from now on.

        `clock` gives Unix time in seconds.
        """
        now, store = clock(), self.store
        found = recover(now, store.members(), self.plans, self.kept, store.twin)
        gateway.restore(now, found.members, still_learned(now, store.learned()))
        rooms = still_there(store.rooms(), self.plans, self.terms, store.twin)
        if gateway.escrow is not None:
            gateway.escrow.restore(rooms, active_until(now, store.before))
        self.list = still_listed(now, store.listed())
        life = store.begin(self.name, now)
        if store.twin:
            log.warning("state: %s is a copy: what its original had not written back is left out", store.folder)
        log.info(
            "state: life %d, %d members put back, %d rooms, %d records spoilt%s",
            life.number,
            len(found.members),
            len(rooms),
            store.spoilt,
            "".join(f", {n} {why}" for why, n in found.left_out.items()),
        )
        self.gateway, self.clock, self.later = gateway, clock, later
        self.writer = Writer(store, self.options.commit_every)
        self.timer = later.call_later(self.options.commit_every, self.portion)
        return life, found

    def portion(self) -> None:
        """Hand over what has changed; what is left follows at once, after the loop has had its turn."""
        members = self.hand_over(PORTION)
        wait = 0.0 if members >= PORTION else self.options.commit_every
        self.timer = self.later.call_later(wait, self.portion)

    def hand_over(self, most: int) -> int:
        """Members, rooms and, now and then, facts; how many records there were.

        Where the disk is behind, what has changed stays with the decisions until there is room for it.
        """
        assert self.gateway is not None and self.writer is not None
        most = min(most, self.writer.room() // 2)  # half for members, half for rooms
        members = self.gateway.take_changed(most)
        for m in members:
            plan = self.plans[m.plan]
            self.writer.put(("member", m.key), pack(Member(m.key, m.plan, plan.rate, plan.burst, *m[2:])))
        count = len(members) + self.rooms(most)
        now = self.clock()
        if not 0 <= now - self.facts_at < FACTS_S:
            self.facts_at = now
            self.facts(now)
        return count

    def rooms(self, most: int) -> int:
        """Tell the escrow which notes are on disk, and hand over those that are due."""
        assert self.gateway is not None and self.writer is not None
        escrow, writer = self.gateway.escrow, self.writer
        if escrow is None:
            return 0
        while self.notes and self.notes[0][0] <= writer.committed:
            escrow.reservations_committed(self.notes.popleft()[1])
        keys: list[tuple[int, int]] = []
        for r in escrow.changed_reservations(self.clock(), most):
            name = self.names[r.plan]
            rate, burst = self.terms.get(name, (0.0, 0.0))
            body = pack(Room(name, r.customer, r.first, r.width, rate, burst, r.room, r.at)) if r.at > 0 else None
            if writer.put(("room", r.customer << 7 | r.plan), body):
                keys.append((r.plan, r.customer))
            else:
                escrow.reservation_dropped((r.plan, r.customer))
        if keys:
            self.notes.append((writer.handed, keys))
        return len(keys)

    def facts(self, now: float) -> None:
        """What was learned of backends, and the list of them."""
        assert self.gateway is not None and self.writer is not None
        self.writer.put(LEARNED, pack(self.gateway.fleet.learned(now)))
        if self.places is not None:
            self.writer.put(LISTED, pack(Listed(now, *self.places())))

    def close(self) -> bool:
        """Keep all that has changed and let the folder go. False where the disk did not take it in time."""
        done = True
        if self.timer is not None:
            self.timer.cancel()
        if self.writer is not None:
            while self.writer.room() >= 2 * PORTION or self.writer.flush(CLOSE_S):
                if not self.hand_over(PORTION):
                    break
            done = self.writer.close(CLOSE_S)
            if not done:
                log.error("state: %d records were not committed", len(self.writer.waiting))
            else:
                done = self.ended()
        self.store.close()
        return done

    def ended(self) -> bool:
        """Note the end in order; without that note the next life takes this one for killed, which is safe."""
        try:
            self.store.end(self.clock())
        except sqlite3.Error as error:
            log.error("state: the end was not noted: %s", error)
            return False
        return True
