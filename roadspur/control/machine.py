"""What all concerns of the control state's machine share: its memory, its outputs, what it promises."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from roadspur.common.events import Event
from roadspur.control.parts import GUARD_S, RETURN_S, Attempt, Change, Note, Office, Outputs, Read, Send, Write
from roadspur.control.views import Kept, View


class Machine:
    """One machine of the core: what it knows, and how it says, writes and promises."""

    def __init__(self, me: str, zone: str, seeds: Iterable[str], bootstrap: bool, kept: Kept, now: float,
                 rng: random.Random, tolerance: int = 1) -> None:
        """`tolerance`: machines that may be lost at once, as the settings say."""
        self.tolerance = tolerance
        self.guests: dict[str, tuple[str, float, float]] = {}  # without a vote: zone, heard first and last
        self.admitted = False  # it has no vote, and knows by a majority what is promised: it may be given one
        self.me, self.zone, self.rng = me, zone, rng
        self.seeds = set(seeds)
        self.promised, self.view, self.copy = kept.promised, kept.view, kept.copy
        self.founding = bootstrap and kept.view is None and kept.promised == 0
        self.forgot = kept.view is None and not self.founding
        self.founders: dict[str, tuple[str, float]] = {}
        self.taught: dict[str, tuple[View | None, int]] = {}
        self.asker, self.told = "", False  # to whom the newest promise was given in this life, and whether it was told
        self.born = now
        self.now = now
        self.beat_at = now  # when a primary was last heard; a voter that starts may have heard one just before
        self.primary_at = -1e9  # the same, but for sending callers there
        self.office: Office | None = None
        self.attempt: Attempt | None = None
        self.try_at = now + GUARD_S + rng.random() * 0.1
        if self.view is not None and self.view.primary == me:
            # The primary was an earlier life of this very process: nobody holds its office, and nobody guards it from
            # its own machine.
            self.beat_at, self.try_at = -1e9, now + RETURN_S
        self.next_beat = self.next_learn = now
        self.queue: deque[Change | Read] = deque()
        self.after: dict[int, Callable[[bool], None]] = {}
        self.token = 0
        self.shunned: dict[str, float] = {}
        self.known: dict[str, float] = {}  # addresses that anything came from, and when
        self.stopped = False
        self.out: Outputs = []

    # Helpers.

    def _flush(self) -> Outputs:
        out, self.out = self.out, []
        return out

    def _note(self, event: Event, *fields: object) -> None:
        self.out.append(Note(event, fields))

    def _note_view(self, view: View) -> None:
        self._note(Event.VIEW, view.epoch, view.primary, ", ".join(view.backups))

    def _write(self, records: dict[str, Any], after: Callable[[bool], None]) -> None:
        self.token += 1
        self.after[self.token] = after
        self.out.append(Write(self.token, records))

    def _send(self, to: str, kind: str, **fields: Any) -> None:
        self.out.append(Send(to, {"t": kind, **fields}))

    def others(self) -> list[str]:
        """All machines of the core that are known, but this one."""
        voters = self.view.electorate if self.view is not None else {}
        return sorted(({*self.seeds, *self.known, *voters}) - {self.me})

    def _promise(self, epoch: int, records: dict[str, Any], after: Callable[[], None]) -> None:
        """Write a promise and what goes with it; `after` follows only if it is on disk and nothing higher came."""
        self.promised, self.asker, self.told = epoch, "", False
        if self.office is not None and epoch > self.office.view.epoch:
            self._leave(f"epoch {epoch} was promised")

        def done(ok: bool) -> None:
            if not ok:
                self._note(Event.DISK, f"promise of epoch {epoch} not written")
            elif self.promised == epoch:
                after()
        self._write({"promise": {"e": epoch}, **records}, done)

    def eligible(self) -> bool:
        """Whether this machine holds everything that was acknowledged in the newest epoch it knows."""
        return (self.view is not None and self.me in self.view.holders and self.copy.epoch >= self.view.epoch
                and not self.forgot)

    # What other concerns bring.

    def _leave(self, why: str) -> None:
        raise NotImplementedError

    def _keep_office(self) -> None:
        raise NotImplementedError
