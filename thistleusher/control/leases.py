"""Leases of singleton roles: the voters of the core grant them; the process with a majority's grants holds the role.

Guarantees: at any time at most one process considers its own lease of a role valid. Terms increase from holder to
holder and serve as fencing tokens. To this end:

- A grantor grants a role to one holder and term only, and to no other for `GRANT_DURATION_S` after its latest grant. A
  holder counts its lease from when it sent the request, and ends it `EXPIRY_MARGIN_S` early.
- A grantor stores on disk the machine that it last granted a role to. For `GRANT_DURATION_S` after a restart it grants
  the role only to that machine, whose earlier incarnation is dead, or to none if it has lost its state.
- A voter grants leases only while it is in contact with a leader that has a majority (`service`), and a new voter
  grants nothing for `GRANT_DURATION_S`. Thus the grants of the voters before and after a change never form two
  majorities.

Pure. Times are seconds on steady clocks; within `GRANT_DURATION_S` two clocks must diverge by less than
`EXPIRY_MARGIN_S`. Cost: one message and one answer per grantor every `RENEW_INTERVAL_S`, for each process that competes
for the role.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.transport.messages import LeaseGranted, LeaseRejected, LeaseReleased, LeaseRequest, Message

GRANT_DURATION_S = 1.0  # duration of a grant, on the grantor's clock
EXPIRY_MARGIN_S = 0.2  # time by which a holder ends its lease early
RENEW_INTERVAL_S = 0.15
ATTEMPT_TIMEOUT_S = 0.4  # an attempt without a majority's grants ends after this time
# A new term exceeds the control state's epoch shifted left by this number of bits, so that terms still increase after
# all grantors have lost their records.
EPOCH_SHIFT = 20

NO_LEASE = float("-inf")  # expiry time that means "no lease"

SendMessage = Callable[[str, Message], object]


@dataclass(slots=True)
class Grant:
    """A grantor's latest grant of a role: the holder, the term, and the expiry time in seconds of the steady clock."""

    holder: str
    term: int
    until: float


class Decision(NamedTuple):
    """A grantor's answer. If `changed`, the grant has to be on disk before the answer is sent."""

    answer: LeaseGranted | LeaseRejected
    changed: bool


def machine_of(holder: str) -> str:
    """Return the machine part of a holder's name, which has the form `machine/incarnation`."""
    return holder.partition("/")[0]


class LeaseGrantor:
    """One machine's grants."""

    def __init__(self, now: float, stored: Mapping[str, tuple[str, int]] | None = None) -> None:
        """Restore the grants of an earlier incarnation from `stored`: role -> machine and term of its latest grant."""
        self.paused_at = now
        self.grants = {
            role: Grant(f"{machine}/", term, now + GRANT_DURATION_S) for role, (machine, term) in (stored or {}).items()
        }

    def decide(self, now: float, request: LeaseRequest, epoch: int) -> Decision:
        """Grant or reject a request; `epoch` is the control state's current epoch."""
        grant = self.grants.setdefault(request.singleton_role, Grant("/", 0, self.paused_at + GRANT_DURATION_S))
        same_machine = machine_of(request.holder) == machine_of(grant.holder)
        # A new incarnation on the holder's machine means that the old one is dead.
        free = now >= grant.until or (request.holder != grant.holder and same_machine)
        renewed = grant.holder == request.holder and grant.term == request.term
        highest = max(grant.term, epoch << EPOCH_SHIFT)
        if renewed or (free and request.term > highest):
            grant.holder = request.holder
            grant.term = request.term
            grant.until = now + GRANT_DURATION_S
            return Decision(LeaseGranted(request.singleton_role, request.term, request.sent), not renewed)
        return Decision(LeaseRejected(request.singleton_role, highest, free), False)

    def pause(self, now: float) -> None:
        """Make no new grants for `GRANT_DURATION_S`, because this machine has just become a voter."""
        self.paused_at = now
        for grant in self.grants.values():
            grant.until = max(grant.until, now + GRANT_DURATION_S)

    def to_records(self) -> dict[str, tuple[str, int]]:
        """Return the grants to be stored for the next incarnation: role -> machine and term."""
        return {role: (machine_of(grant.holder), grant.term) for role, grant in self.grants.items()}

    def release(self, message: LeaseReleased) -> None:
        """End a grant whose holder stops gracefully, or has ended an attempt without a majority."""
        grant = self.grants.get(message.singleton_role)
        if grant is not None and grant.holder == message.holder and grant.term == message.term:
            grant.until = NO_LEASE


class LeaseHolder:
    """A process that competes for a singleton role. `me` is its name, `machine/incarnation`.

    An attempt requests one term from all grantors, and releases it after `ATTEMPT_TIMEOUT_S` without a majority:
    otherwise several processes with a minority each could block each other forever. The next attempt follows a random
    delay.
    """

    def __init__(self, singleton_role: str, me: str, now: float, rng: random.Random) -> None:
        self.singleton_role = singleton_role
        self.me = me
        self.rng = rng
        self.term = 0
        self.highest_term = 0  # the highest term that this process has used or a grantor has reported
        self.granted: dict[str, float] = {}  # grantor -> sending time of the latest request that it granted
        self.grantors: frozenset[str] = frozenset()
        self.attempt_started_at: float | None = None  # start of the attempt with the current term; None: no attempt
        self.had_majority = False  # whether a majority has granted the current term at any time
        self.next_request_at = now
        self.term_too_low = False  # whether a grantor that is free has rejected the term as too low
        self.attempt_delay_s = 0.0  # extra delay before each attempt after a failure, for a less preferred process

    def set_grantors(self, grantors: Iterable[str]) -> None:
        """Set the grantors whose grants count."""
        self.grantors = frozenset(grantors)

    def expires_at(self) -> float:
        """Return the expiry time of the lease, or `NO_LEASE` if there is none."""
        majority = len(self.grantors) // 2 + 1
        requested = sorted((at for ip, at in self.granted.items() if ip in self.grantors), reverse=True)
        if not self.grantors or len(requested) < majority:
            return NO_LEASE
        return requested[majority - 1] + GRANT_DURATION_S - EXPIRY_MARGIN_S

    def holds_lease(self, now: float) -> bool:
        """Return whether this process holds the role at time `now`."""
        return now < self.expires_at()

    def tick(self, now: float, send: SendMessage) -> None:
        """Send requests to all grantors if they are due, or end an attempt that has no majority."""
        if now < self.next_request_at or not self.grantors:
            return
        holds_lease = self.holds_lease(now)
        self.had_majority = self.had_majority or holds_lease
        if self.attempt_started_at is not None and not holds_lease and self._attempt_failed(now):
            self.release(send)
            if self.term_too_low:
                self.next_request_at = now
            else:
                self.next_request_at = now + self.attempt_delay_s + self.rng.random() * ATTEMPT_TIMEOUT_S
            self.term_too_low = False
            return
        if self.attempt_started_at is None:
            self.term = self.highest_term + 1
            self.granted = {}
            self.attempt_started_at = now
            self.had_majority = False
        self.next_request_at = now + RENEW_INTERVAL_S
        for ip in sorted(self.grantors):
            send(ip, LeaseRequest(self.singleton_role, self.me, self.term, now))

    def _attempt_failed(self, now: float) -> bool:
        assert self.attempt_started_at is not None
        return self.had_majority or self.term_too_low or now - self.attempt_started_at > ATTEMPT_TIMEOUT_S

    def release(self, send: SendMessage) -> None:
        """Release the grants of this term and end the attempt."""
        if self.attempt_started_at is None:
            return
        for ip in sorted(self.grantors):
            send(ip, LeaseReleased(self.singleton_role, self.me, self.term))
        self.attempt_started_at = None
        self.granted = {}
        self.had_majority = False
        self.highest_term = max(self.highest_term, self.term)

    def receive(self, sender: str, message: LeaseGranted | LeaseRejected) -> None:
        """Handle the answer of the grantor `sender`."""
        if isinstance(message, LeaseGranted):
            if message.term == self.term and self.attempt_started_at is not None:
                self.granted[sender] = max(self.granted.get(sender, NO_LEASE), message.sent)
            return
        if message.free and self.attempt_started_at is not None and message.term >= self.term and not self.term_too_low:
            self.term_too_low = True
            self.next_request_at -= RENEW_INTERVAL_S  # end this attempt at once, and start one with a higher term
        self.highest_term = max(self.highest_term, message.term)
        self.granted.pop(sender, None)
