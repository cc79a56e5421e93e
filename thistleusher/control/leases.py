"""Leases of singleton roles: granted by the voters of the core, held by one process at a time with a majority's grants.

Guaranteed: of two processes that both hold a role's lease at least one knows that its lease is over; terms rise from
holder to holder, and are fencing tokens. How:

- A grantor grants a role to one holder and term only, and to nobody else for `GRANT_S` after it last did. A holder
  counts from when it asked, and stops `MARGIN_S` before the end.
- A grantor keeps on disk to whose machine it granted last. After a restart it grants for `GRANT_S` to that machine
  only, whose earlier incarnation is dead, or to nobody where it has lost its state.
- It grants only while it is a voter in contact with a majority's leader (`service`), and one that has just become a
  voter grants nothing for `GRANT_S`. So grants of the voters before and after a change never make two majorities.

Pure; seconds on steady clocks, whose rates may differ by less than `MARGIN_S` in `GRANT_S`. Cost: one message and one
answer a grantor and `RENEW_INTERVAL_S`, by each process that would take the role.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.transport.messages import LeaseGranted, LeaseRejected, LeaseReleased, LeaseRequest, Message

GRANT_S = 1.0
MARGIN_S = 0.2
RENEW_INTERVAL_S = 0.15
ATTEMPT_S = 0.4  # for a majority's grants to come
EPOCH_SHIFT = 20  # bits of a term below the control state's epoch, from which terms go on after all have lost theirs

NO_LEASE = float("-inf")  # the end of a lease that there is not

SendMessage = Callable[[str, Message], object]


@dataclass(slots=True)
class Grant:
    """A grantor's newest grant of a role: to whom, under which term, and until when."""

    holder: str
    term: int
    until: float


class Decision(NamedTuple):
    """A grantor's answer; `changed`: the grant has to be on disk before the answer leaves."""

    answer: LeaseGranted | LeaseRejected
    changed: bool


def machine_of(holder: str) -> str:
    """Return the machine of a holder's name, which consists of machine and incarnation."""
    return holder.partition("/")[0]


class LeaseGrantor:
    """One machine's grants."""

    def __init__(self, now: float, stored: Mapping[str, tuple[str, int]] | None = None) -> None:
        """Restore the grants of an earlier incarnation; `stored`: role -> machine and term that it granted last."""
        self.paused_at = now
        self.grants = {
            role: Grant(f"{machine}/", term, now + GRANT_S) for role, (machine, term) in (stored or {}).items()
        }

    def decide(self, now: float, request: LeaseRequest, epoch: int) -> Decision:
        """Grant or reject a request; `epoch` is that of the control state."""
        grant = self.grants.setdefault(request.singleton_role, Grant("/", 0, self.paused_at + GRANT_S))
        same_machine = machine_of(request.holder) == machine_of(grant.holder)
        # A new incarnation on the holder's machine means that the old one is dead.
        free = now >= grant.until or (request.holder != grant.holder and same_machine)
        renewed = grant.holder == request.holder and grant.term == request.term
        highest = max(grant.term, epoch << EPOCH_SHIFT)
        if renewed or (free and request.term > highest):
            grant.holder = request.holder
            grant.term = request.term
            grant.until = now + GRANT_S
            return Decision(LeaseGranted(request.singleton_role, request.term, request.sent), not renewed)
        return Decision(LeaseRejected(request.singleton_role, highest, free), False)

    def pause(self, now: float) -> None:
        """Grant nothing new for `GRANT_S`, because this machine has just become a voter."""
        self.paused_at = now
        for grant in self.grants.values():
            grant.until = max(grant.until, now + GRANT_S)

    def to_records(self) -> dict[str, tuple[str, int]]:
        """Return what the next incarnation must know: role -> machine and term."""
        return {role: (machine_of(grant.holder), grant.term) for role, grant in self.grants.items()}

    def release(self, message: LeaseReleased) -> None:
        """End a grant whose holder stops in order, or got no majority and asks no more."""
        grant = self.grants.get(message.singleton_role)
        if grant is not None and grant.holder == message.holder and grant.term == message.term:
            grant.until = NO_LEASE


class LeaseHolder:
    """A process that would take a singleton role. `me` names its machine and incarnation, separated by a slash.

    An attempt is one term: requested from all grantors, and released after `ATTEMPT_S` without a majority. Otherwise
    several minorities would keep their grants from each other without end. After that it waits for a drawn time.
    """

    def __init__(self, singleton_role: str, me: str, now: float, rng: random.Random) -> None:
        self.singleton_role = singleton_role
        self.me = me
        self.rng = rng
        self.term = 0
        self.highest_term = 0  # that any grantor has granted
        self.granted: dict[str, float] = {}  # grantor -> when the newest request that it granted was sent
        self.grantors: frozenset[str] = frozenset()
        self.attempt_since: float | None = None  # of the present term; None: no attempt
        self.had_majority = False  # under the present term
        self.next_request_at = now
        self.term_too_low = False  # a grantor is free, and has only seen a higher term
        self.attempt_delay_s = 0.0  # before an attempt, for a process that had better not hold the role

    def set_grantors(self, grantors: Iterable[str]) -> None:
        """Set the grantors that count."""
        self.grantors = frozenset(grantors)

    def expires_at(self) -> float:
        """Return the end of the lease, `NO_LEASE` where there is none."""
        majority = len(self.grantors) // 2 + 1
        requested = sorted((at for ip, at in self.granted.items() if ip in self.grantors), reverse=True)
        if not self.grantors or len(requested) < majority:
            return NO_LEASE
        return requested[majority - 1] + GRANT_S - MARGIN_S

    def holds_lease(self, now: float) -> bool:
        """Return whether this process holds the role at that time."""
        return now < self.expires_at()

    def tick(self, now: float, send: SendMessage) -> None:
        """Send requests to all grantors when they are due, or end an attempt without a majority."""
        if now < self.next_request_at or not self.grantors:
            return
        holds_lease = self.holds_lease(now)
        self.had_majority = self.had_majority or holds_lease
        if self.attempt_since is not None and not holds_lease and self._attempt_failed(now):
            self.release(send)
            if self.term_too_low:
                self.next_request_at = now
            else:
                self.next_request_at = now + self.attempt_delay_s + self.rng.random() * ATTEMPT_S
            self.term_too_low = False
            return
        if self.attempt_since is None:
            self.term = self.highest_term + 1
            self.granted = {}
            self.attempt_since = now
            self.had_majority = False
        self.next_request_at = now + RENEW_INTERVAL_S
        for ip in sorted(self.grantors):
            send(ip, LeaseRequest(self.singleton_role, self.me, self.term, now))

    def _attempt_failed(self, now: float) -> bool:
        assert self.attempt_since is not None
        return self.had_majority or self.term_too_low or now - self.attempt_since > ATTEMPT_S

    def release(self, send: SendMessage) -> None:
        """Release the grants of this term and end the attempt."""
        if self.attempt_since is None:
            return
        for ip in sorted(self.grantors):
            send(ip, LeaseReleased(self.singleton_role, self.me, self.term))
        self.attempt_since = None
        self.granted = {}
        self.had_majority = False
        self.highest_term = max(self.highest_term, self.term)

    def receive(self, sender: str, message: LeaseGranted | LeaseRejected) -> None:
        """Handle a grantor's answer."""
        if isinstance(message, LeaseGranted):
            if message.term == self.term and self.attempt_since is not None:
                self.granted[sender] = max(self.granted.get(sender, NO_LEASE), message.sent)
            return
        if message.free and self.attempt_since is not None and message.term >= self.term and not self.term_too_low:
            self.term_too_low = True
            self.next_request_at -= RENEW_INTERVAL_S  # due at once, with a higher term
        self.highest_term = max(self.highest_term, message.term)
        self.granted.pop(sender, None)
