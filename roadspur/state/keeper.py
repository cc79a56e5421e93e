"""Keeps one ingress's state while it serves: changes go to the writer in portions, and back at a start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from roadspur import interface as io
from roadspur.state.options import StateOptions
from roadspur.state.records import Life, Member, pack
from roadspur.state.recovery import Recovered, recover
from roadspur.state.store import Store
from roadspur.state.writer import Writer

log = logging.getLogger(__name__)

PORTION = 300  # members packed at a time: about 2 ms of the loop
CLOSE_S = 2.0  # for the last commit


class Timer(Protocol):
    def cancel(self) -> object: ...


class Later(Protocol):
    """The event loop's `call_later`, seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer: ...


class Decisions(Protocol):
    """What the keeper asks of the decision module."""

    def restore(self, now: float, members: list[io.SavedMember]) -> None: ...

    def saved(self, most: int) -> list[io.SavedMember]: ...


class Keeper:
    """The state of the ingress `name`. BadState where its folder cannot be used."""

    def __init__(self, options: StateOptions, name: str, settings: io.Settings, kept: float) -> None:
        """`kept`: seconds after which the decisions forget a quiet member."""
        self.options, self.name, self.kept = options, name, kept
        self.plans = {p.name: p for p in settings.plans}
        self.store = Store(options.folder, name, options.sync, options.most_mb)
        self.gateway: Decisions | None = None
        self.writer: Writer | None = None
        self.timer: Timer | None = None

    def begin(self, gateway: Decisions, now: float, later: Later) -> tuple[Life, Recovered]:
        """Put back what was kept, note that this life begins, and keep what changes from now on."""
        found = recover(now, self.store.members(), self.plans, self.kept, self.store.twin)
        gateway.restore(now, found.members)
        life = self.store.begin(self.name, now)
        if self.store.twin:
            log.warning("state: %s is a copy: what its original had not written back is left out", self.store.folder)
        log.info("state: life %d, %d members put back, %d records spoilt%s", life.number, len(found.members),
                 self.store.spoilt, "".join(f", {n} {why}" for why, n in found.left_out.items()))
        self.gateway, self.later = gateway, later
        self.writer = Writer(self.store, self.options.commit_ms / 1000)
        self.timer = later.call_later(self.options.commit_ms / 1000, self.portion)
        return life, found

    def portion(self) -> None:
        """Hand over what has changed; what is left follows at once, after the loop has had its turn."""
        members = self.hand_over(PORTION)
        wait = 0.0 if members == PORTION else self.options.commit_ms / 1000
        self.timer = self.later.call_later(wait, self.portion)

    def hand_over(self, most: int) -> int:
        assert self.gateway is not None and self.writer is not None
        members = self.gateway.saved(most)
        for m in members:
            plan = self.plans[m.plan]
            self.writer.put(m.key, pack(Member(m.key, m.plan, plan.rate, plan.burst, *m[2:])))
        return len(members)

    def close(self) -> bool:
        """Keep all that has changed and let the folder go. False where the disk did not take it in time."""
        done = True
        if self.timer is not None:
            self.timer.cancel()
        if self.writer is not None:
            while self.hand_over(PORTION):
                pass
            done = self.writer.close(CLOSE_S)
            if not done:
                log.error("state: %d members were not committed", len(self.writer.waiting))
        self.store.close()
        return done
