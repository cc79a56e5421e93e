"""Updates to peers, merged while they wait and paced, with keep-alives where there is none.

Guaranteed, for any traffic: at most `per_s` messages a second leave, and `BURST_S` times that at once; while updates
are due to a peer, each other peer is sent at most one message before it; a customer that changes again while it waits
takes no more space. Updates of a customer go to its set, so an ingress has 2 x (width - 1) peers to update at most,
however large the fleet is; and as sets lie evenly, what all others together send it grows as what it sends itself.

Cost: a change costs the peers of one set; a look each tick costs the peers in contact.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

BURST_S = 0.2  # of its messages a second, that may leave at once
LAZY_DELAY_S = 0.4  # that a change which spends nothing (a reconciliation) waits for others to go with
KEEP_ALIVE_S = 0.5  # without a message, after which a peer in contact gets a keep-alive
PRESENCE_FRACTION = 0.8  # of KEEP_ALIVE_S, without a message, after which a peer's update is answered
CONTACT_S = 5.0  # after the last common customer was seen, for which two ingresses keep in contact


class Outbox:
    """Waiting updates of one ingress, by peer. Times in seconds of one clock; customers by their keys."""

    def __init__(self, per_s: float, rows: int, now: float) -> None:
        """`per_s`: messages a second at most; `rows`: customers that one message holds."""
        self.per_s = max(1.0, per_s)
        self.rows = rows
        self.at = now
        self.max_tokens = max(1.0, BURST_S * self.per_s)
        self.tokens = self.max_tokens
        self.waiting: dict[int, dict[int, None]] = {}  # by peer, the customers that changed; the longest waiting first
        self.due: dict[int, float] = {}  # by peer, when that is to leave
        self.contact_until: dict[int, float] = {}  # peers with common customers
        self.last_sent_at: dict[int, float] = {}  # by peer

    def mark_changed(self, now: float, key: int, peers: Iterable[int], lazy: bool = False) -> None:
        """Queue an update of a customer to these peers; `lazy`: it may wait for others to go with."""
        due = now + LAZY_DELAY_S if lazy else now
        for peer in peers:
            self.waiting.setdefault(peer, {})[key] = None
            self.due[peer] = min(due, self.due.get(peer, due))

    def answer_update(self, now: float, peer: int) -> None:
        """Queue a message to a peer that has sent an update, unless one was sent of late: a sign of life."""
        if self._silence(now, peer) >= KEEP_ALIVE_S * PRESENCE_FRACTION:
            self.waiting.setdefault(peer, {})
            self.due.setdefault(peer, now)

    def keep_contact(self, now: float, peers: Iterable[int]) -> None:
        """Keep in contact with these peers for a while: a customer of their sets was seen."""
        for peer in peers:
            self.contact_until[peer] = now + CONTACT_S

    def has_work(self) -> bool:
        """Return whether there is anything to look after."""
        return bool(self.waiting or self.contact_until)

    def take(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the messages that leave now: to whom, of which customers; of none: a keep-alive."""
        self.tokens = min(self.max_tokens, self.tokens + self.per_s * max(0.0, now - self.at))
        self.at = now
        out: list[tuple[int, list[int]]] = []
        if self._take_updates(now, out):
            self._take_keep_alives(now, out)
        return out

    def _take_updates(self, now: float, out: list[tuple[int, list[int]]]) -> bool:
        """Take the updates that are due, the longest due first; return False where the budget is spent."""
        due = [peer for peer in self.waiting if self.due[peer] <= now]
        for peer in sorted(due, key=lambda p: self.due[p]):
            if self.tokens < 1.0:
                return False
            keys = list(islice(self.waiting[peer], self.rows))
            for key in keys:
                del self.waiting[peer][key]
            if self.waiting[peer]:
                self.due[peer] = now  # behind all that wait already
            else:
                del self.waiting[peer]
                del self.due[peer]
            self._send(now, peer, keys, out)
        return True

    def _take_keep_alives(self, now: float, out: list[tuple[int, list[int]]]) -> None:
        for peer, until in list(self.contact_until.items()):
            if until < now:
                del self.contact_until[peer]
            elif self.tokens >= 1.0 and self._silence(now, peer) >= KEEP_ALIVE_S:
                self._send(now, peer, [], out)

    def _silence(self, now: float, peer: int) -> float:
        """Return the seconds since the last message to a peer; enough for a keep-alive where there was none."""
        return now - self.last_sent_at.get(peer, -KEEP_ALIVE_S)

    def _send(self, now: float, peer: int, keys: list[int], out: list[tuple[int, list[int]]]) -> None:
        self.tokens -= 1.0
        self.last_sent_at[peer] = now
        out.append((peer, keys))
