"""Duties that one process does: granted by the voters of the core, held where a majority grants, by one at a time.

Guaranteed: of two holders of one duty at least one knows that its time is over; terms of holders rise, and are fencing
tokens. How: a grantor grants a term to one holder only, and nobody else for `GRANT_S` after it last did; a holder
counts from when it asked, and stops `MARGIN_S` before the end. A grantor keeps on disk to whose machine it granted
last; one that has started anew grants for `GRANT_S` to that machine only, whose old life is dead, or to nobody where it
has forgotten. It grants only while it is a voter in contact with a majority's leader (`service`), and one that has
just got a vote grants nothing for `GRANT_S`: so that grants of the voters before and after a change never make two
majorities.

Pure; seconds on steady clocks, which may differ in rate by less than `MARGIN_S` in `GRANT_S`. Cost: one message and
one answer a grantor and `RENEW_S`, by each ingress that would do the duty.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.transport.messages import LeaseGranted, LeaseRejected, LeaseReleased, LeaseRequest, Message

GRANT_S = 1.0
MARGIN_S = 0.2
RENEW_S = 0.15
ROUND_S = 0.4  # for a majority's grants to come
EPOCH = 20  # bits of a term below the epoch of the control state, from which terms go on after all have forgotten


@dataclass(slots=True)
class Grant:
    """Who may hold a duty by this grantor's word, and until when."""

    holder: str
    term: int
    until: float


class Decision(NamedTuple):
    """A grantor's answer; `changed`: it is to be on disk before the answer leaves."""

    answer: LeaseGranted | LeaseRejected
    changed: bool


def machine_of(holder: str) -> str:
    """The machine of a holder's life."""
    return holder.partition("/")[0]


class LeaseGrantor:
    """One machine's grants."""

    def __init__(self, now: float, kept: Mapping[str, tuple[str, int]] | None = None) -> None:
        """`kept`: of each duty the machine and term that an earlier life granted last."""
        self.begun = now
        self.grants = {
            role: Grant(f"{machine}/", term, now + GRANT_S) for role, (machine, term) in (kept or {}).items()
        }

    def decide(self, now: float, request: LeaseRequest, epoch: int) -> Decision:
        """A wish for a duty; `epoch` is that of the control state."""
        grant = self.grants.setdefault(request.singleton_role, Grant("/", 0, self.begun + GRANT_S))
        same_machine = machine_of(request.holder) == machine_of(grant.holder)
        # A new life on the holder's machine: the old one is dead.
        free = now >= grant.until or (request.holder != grant.holder and same_machine)
        renewed = grant.holder == request.holder and grant.term == request.term
        highest = max(grant.term, epoch << EPOCH)
        if renewed or (free and request.term > highest):
            grant.holder, grant.term, grant.until = request.holder, request.term, now + GRANT_S
            return Decision(LeaseGranted(request.singleton_role, request.term, request.sent), not renewed)
        return Decision(LeaseRejected(request.singleton_role, highest, free), False)

    def pause(self, now: float) -> None:
        """This machine has just got a vote: it grants nothing new for `GRANT_S`."""
        self.begun = now
        for grant in self.grants.values():
            grant.until = max(grant.until, now + GRANT_S)

    def to_records(self) -> dict[str, tuple[str, int]]:
        """What the next life must know."""
        return {role: (machine_of(grant.holder), grant.term) for role, grant in self.grants.items()}

    def release(self, message: LeaseReleased) -> None:
        """A holder ends in order, or has not got a majority and asks no more."""
        grant = self.grants.get(message.singleton_role)
        if grant is not None and grant.holder == message.holder and grant.term == message.term:
            grant.until = float("-inf")


class LeaseHolder:
    """One that would do a duty. `me` names its machine and this life, parted by a slash.

    An attempt is one term: asked of all, and given back after `ROUND_S` without a majority. Each minority would else
    keep its grants from the others for ever. After that it waits for a while that is drawn.
    """

    def __init__(self, singleton_role: str, me: str, now: float, rng: random.Random) -> None:
        self.singleton_role, self.me, self.rng = singleton_role, me, rng
        self.term = 0
        self.highest = 0
        self.granted: dict[str, float] = {}
        self.grantors: frozenset[str] = frozenset()
        self.begun: float | None = None  # of the present term
        self.had = False  # it has had a majority's grant under it
        self.next = now
        self.hinted = False  # a grantor is free, and has only seen a higher term
        self.attempt_delay_s = 0.0  # waited for before an attempt, by one that had better not hold the duty

    def set_grantors(self, grantors: Iterable[str]) -> None:
        """The grantors that count."""
        self.grantors = frozenset(grantors)

    def expires_at(self) -> float:
        """When the lease is over; in the past where there is none."""
        majority = len(self.grantors) // 2 + 1
        asked = sorted((at for ip, at in self.granted.items() if ip in self.grantors), reverse=True)
        if not self.grantors or len(asked) < majority:
            return float("-inf")
        return asked[majority - 1] + GRANT_S - MARGIN_S

    def holds_lease(self, now: float) -> bool:
        """Whether this one does the duty now."""
        return now < self.expires_at()

    def tick(self, now: float, send: Callable[[str, Message], object]) -> None:
        """Ask all grantors when it is time."""
        if now < self.next or not self.grantors:
            return
        holds = self.holds_lease(now)
        self.had = self.had or holds
        if self.begun is not None and not holds and (self.had or self.hinted or now - self.begun > ROUND_S):
            self.release(send)
            self.next = now if self.hinted else now + self.attempt_delay_s + self.rng.random() * ROUND_S
            self.hinted = False
            return
        if self.begun is None:
            self.term, self.granted, self.begun, self.had = self.highest + 1, {}, now, False
        self.next = now + RENEW_S
        for ip in sorted(self.grantors):
            send(ip, LeaseRequest(self.singleton_role, self.me, self.term, now))

    def release(self, send: Callable[[str, Message], object]) -> None:
        """Ask no more under this term."""
        if self.begun is None:
            return
        for ip in sorted(self.grantors):
            send(ip, LeaseReleased(self.singleton_role, self.me, self.term))
        self.begun, self.granted, self.had = None, {}, False
        self.highest = max(self.highest, self.term)

    def receive(self, sender: str, message: LeaseGranted | LeaseRejected) -> None:
        """A grantor's answer."""
        if isinstance(message, LeaseGranted):
            if message.term == self.term and self.begun is not None:
                self.granted[sender] = max(self.granted.get(sender, float("-inf")), message.sent)
            return
        if message.free and self.begun is not None and message.term >= self.term and not self.hinted:
            self.hinted, self.next = True, self.next - RENEW_S  # due at once
        self.highest = max(self.highest, message.term)
        self.granted.pop(sender, None)
