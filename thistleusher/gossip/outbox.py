"""What is to be told to each peer, merged while it waits and paced, with signs of life where nothing was told.

Guarantees, for any traffic: at most `per_s` messages a second leave, and `BURST_S` times that at once; a peer that has
something to be told waits behind each other one at most once; a member that changes again while it waits takes no
more room. Who is told of a member is its set, so an ingress has 2 x (width - 1) peers to tell at most, however large
the fleet is; and as sets lie evenly, what all others together send it grows as what it sends itself.

Cost: a note costs the peers of one set; a look each tick costs the peers in company.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

BURST_S = 0.2  # of its messages a second, that may leave at once
LAZY_S = 0.4  # that a change which takes nothing (a settlement) waits for company
ALIVE_S = 0.5  # without a message, after which a peer in company is told that this ingress is there
COMPANY_S = 5.0  # after the last common member was seen, for which two ingresses keep each other company


class Outbox:
    """Waiting words of one ingress, by peer. Times in seconds of one clock; members by their keys."""

    def __init__(self, per_s: float, rows: int, now: float) -> None:
        """`per_s`: messages a second at most; `rows`: members that one message tells of."""
        self.per_s, self.rows, self.at = max(1.0, per_s), rows, now
        self.tokens = self.most = max(1.0, BURST_S * self.per_s)
        self.waiting: dict[int, dict[int, None]] = {}  # by peer, the members that changed; the longest waiting first
        self.due: dict[int, float] = {}  # when that is to leave
        self.company: dict[int, float] = {}  # peers with common members, until when
        self.told: dict[int, float] = {}  # when each was last told anything

    def note(self, now: float, key: int, peers: Iterable[int], lazy: bool = False) -> None:
        """Something of a member is to be told to these peers."""
        due = now + LAZY_S if lazy else now
        for peer in peers:
            self.waiting.setdefault(peer, {})[key] = None
            self.due[peer] = min(due, self.due.get(peer, due))

    def owe(self, now: float, peer: int) -> None:
        """A peer has told of use here: it is to know that this ingress is there."""
        if now - self.told.get(peer, -ALIVE_S) >= ALIVE_S * 0.8:
            self.waiting.setdefault(peer, {})
            self.due.setdefault(peer, now)

    def meet(self, now: float, peers: Iterable[int]) -> None:
        """A member of these peers' sets was seen: they keep company for a while."""
        for peer in peers:
            self.company[peer] = now + COMPANY_S

    def busy(self) -> bool:
        """Whether there is anything to look after."""
        return bool(self.waiting or self.company)

    def take(self, now: float) -> list[tuple[int, list[int]]]:
        """Messages that leave now, to whom and of which members; of none: only that this ingress is there."""
        self.tokens = min(self.most, self.tokens + self.per_s * max(0.0, now - self.at))
        self.at = now
        out: list[tuple[int, list[int]]] = []
        for peer in sorted((p for p in self.waiting if self.due[p] <= now), key=lambda p: self.due[p]):
            if self.tokens < 1.0:
                return out
            keys = list(islice(self.waiting[peer], self.rows))
            for key in keys:
                del self.waiting[peer][key]
            if self.waiting[peer]:
                self.due[peer] = now  # behind all that wait already
            else:
                del self.waiting[peer], self.due[peer]
            self.send(now, peer, keys, out)
        for peer, until in list(self.company.items()):
            if until < now:
                del self.company[peer]
            elif self.tokens >= 1.0 and now - self.told.get(peer, -ALIVE_S) >= ALIVE_S:
                self.send(now, peer, [], out)
        return out

    def send(self, now: float, peer: int, keys: list[int], out: list[tuple[int, list[int]]]) -> None:
        self.tokens -= 1.0
        self.told[peer] = now
        out.append((peer, keys))
