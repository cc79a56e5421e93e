"""How an ingress begins: lives of ingresses, and what each pair of them must agree on before shares are held.

Guaranteed, for messages lost, late, doubled and out of order:

- of two lives of one ingress only the later one is listened to, so nothing that an earlier one gave is taken in
  after its successor was told of what had been taken;
- a pair of ingresses is settled only by a word of the one that was addressed to this very life of the other: it
  tells whether shares have gone between them in an epoch that is not over;
- the room with which a fleet begins is granted to an ingress once in an unbroken chain of overlapping lives.

How. A life is named by the millisecond in which it began. Whoever begins greets all others, again and again until
each has answered or the longest epoch is over; a greeting tells the own life, the other's as known, when the chain
of lives that the sender is part of began (its origin), and two flags: an earlier life of the receiver was known, and
shares went between the two. A pair of which both have begun anew starts at nothing on both sides: what one's earlier
life gave to the other's died with both. Where one of the two stands, its book is the true one.

Assumed: an ingress's own clock does not go back between its lives; where it does, the new life is listened to once
the later-named one has been silent for `FORGET_S`. Cost: constant a message, and one greeting each `greet_every` to
each ingress that has not answered.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable

HELLO_MARK = b"\x04"
HELLO = struct.Struct(">QQQB")  # own life, receiver's life as known, origin of the chain; flags
KNOWN, FLOWS, LEAVING = 1, 2, 4  # an earlier life of yours was known; shares went between us; this life is over
JOINT_MS = 5000  # after a chain's origin, within which who begins is one of those that began together
FORGET_S = 10.0  # of silence, after which a life gives way to one that is named earlier: a clock was put back
AGAIN_S = 0.4  # between two greetings of one peer in a large fleet
GREET_S = (0.05, 0.25, 1.0)  # between greetings in the first second, until the fifth, and later


class Incarnations:
    """The lives of all ingresses as known to one of them. Times in seconds of the one clock."""

    def __init__(self, instances: int, me: int, began: float, epoch: float, addressed: bool = False) -> None:
        """`epoch`: seconds of the longest one; after that much time this ingress needs nobody's word.

        `addressed`: of a large fleet only those are greeted whom this ingress is to be settled with (`want`).
        """
        self.me, self.began, self.until = me, began, began + epoch + 1.0
        self.life = self.origin = max(1, int(began * 1000))
        self.others = [n for n in range(instances) if n != me]
        self.lives: dict[int, int] = {}
        self.heard_at: dict[int, float] = {}
        self.earlier: set[int] = set()  # peers of which another life than the present one was known
        self.left: set[int] = set()  # peers whose present life said that it is over
        self.clean: dict[int, float] = {}  # when a peer told this life that nothing had gone between us; inf: some had
        self.flow_until: dict[int, float] = {}  # end of the last epoch in which shares went between us
        self.known = False  # a peer knew an earlier life of this ingress
        self.remembered = False  # its own folder knows one, of an epoch that is not over
        self.greeted = -math.inf
        self.addressed = addressed
        self.unmet = set[int]() if addressed else set(self.others)  # to be greeted
        self.greeted_at: dict[int, float] = {}  # when each was, where they are greeted one by one

    def meet(self, now: float, peer: int, life: int) -> bool | None:
        """A message of a life has come. True: a life unheard of; None: one that is over, not to be listened to."""
        known = self.lives.get(peer)
        if known is not None and life < known and now - self.heard_at[peer] < FORGET_S:
            self.earlier.add(peer)
            return None
        self.heard_at[peer] = now
        if life == known:
            return False
        self.lives[peer] = life
        self.left.discard(peer)
        if known is not None:
            self.earlier.add(peer)
        return True

    def flowed(self, peer: int, until: float) -> None:
        """Shares have gone to or come from a peer in an epoch that ends at `until`."""
        self.flow_until[peer] = max(until, self.flow_until.get(peer, 0.0))

    def hello(self, now: float, peer: int, leaving: bool = False) -> bytes:
        """What there is to say to a peer."""
        flags = KNOWN * (peer in self.earlier) | FLOWS * (self.flow_until.get(peer, 0.0) > now) | LEAVING * leaving
        return HELLO_MARK + HELLO.pack(self.life, self.lives.get(peer, 0), self.origin, flags)

    def heard(self, now: float, peer: int, payload: bytes) -> bytes | None:
        """A peer's greeting; the answer to it where it has not had one."""
        if len(payload) != 1 + HELLO.size or peer == self.me:
            return None
        life, mine, origin, flags = HELLO.unpack(payload[1:])
        new = self.meet(now, peer, life)
        if new is None or not 0 < origin <= life:
            return None
        self.origin = min(self.origin, origin)
        if mine == self.life and peer not in self.clean:
            self.clean[peer] = math.inf if flags & FLOWS else now
            self.unmet.discard(peer)
            self.known |= bool(flags & KNOWN)
        if flags & LEAVING:
            self.left.add(peer)
            return None
        return self.hello(now, peer) if new or mine != self.life else None

    def pace(self, now: float) -> float:
        """Seconds between greetings at this age."""
        age = now - self.began
        return GREET_S[0] if age < 1 else GREET_S[1] if age < 5 else GREET_S[2]

    def want(self, peers: Iterable[int]) -> None:
        """This ingress is to be settled with these."""
        if self.addressed:
            self.unmet.update(p for p in peers if p != self.me and p not in self.clean)

    def greetings(self, now: float) -> list[tuple[int, bytes]]:
        """Greetings that are due, to each peer that has not answered."""
        if now > self.until or now - self.greeted < 0.9 * self.pace(now):
            return []
        self.greeted = now
        due = [p for p in self.unmet if not self.addressed or now - self.greeted_at.get(p, -math.inf) >= AGAIN_S]
        if self.addressed:
            self.greeted_at.update(dict.fromkeys(due, now))
        return [(peer, self.hello(now, peer)) for peer in sorted(due)]

    def greet_in(self, now: float) -> float | None:
        """Seconds until the next greeting; None where none is due any more."""
        if now > self.until or not self.unmet:
            return None
        return self.pace(now)

    def known_peers(self) -> list[int]:
        """Those who may hold anything of this ingress's, or wait for its word."""
        return [p for p in self.others if not self.addressed or p in self.lives]

    def settled(self, peer: int, by: float) -> bool:
        """Whether a peer had told this life by then that no shares had gone between the two."""
        return self.clean.get(peer, math.inf) <= by

    def young(self, members: Iterable[int]) -> bool:
        """Whether this ingress and the others of a set began together, as far as anybody in it knows."""
        return (
            not self.known
            and not self.remembered
            and self.origin >= self.life - JOINT_MS
            and all(peer in self.clean for peer in members if peer != self.me)
        )
