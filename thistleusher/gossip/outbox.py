"""Rate-limited queue of updates to peers, merged while they wait, with keep-alives to peers without updates.

Guarantees, for any traffic: at most `per_s` messages are sent a second, and at most `BURST_S` times that at once; while
an update to a peer is due, each other peer is sent at most one message before it; a customer that changes again while
its update waits takes no more space. Updates of a customer go to its ingress set, so an ingress updates at most
2 x (width - 1) peers, however many ingresses there are. As ingress sets are spread evenly, the number of messages that
an ingress receives is proportional to the number that it sends.

Cost: a change is linear in the size of its ingress set, a tick in the number of peers in contact.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

BURST_S = 0.2  # maximum burst, as seconds' worth of the message rate
LAZY_DELAY_S = 0.4  # maximum wait of a change that spends nothing (a reconciliation), to be merged with other changes
KEEP_ALIVE_S = 0.5  # a peer in contact gets a keep-alive after this time without a message to it
PRESENCE_FRACTION = 0.8  # a peer's update is answered after this fraction of KEEP_ALIVE_S without a message to it
CONTACT_S = 5.0  # two ingresses stay in contact for this long after a common customer was last seen


class Outbox:
    """Waiting updates of one ingress, by peer. Times are in seconds of one clock; customers are named by their keys."""

    def __init__(self, per_s: float, rows: int, now: float) -> None:
        """Create an empty outbox; `per_s`: maximum messages a second; `rows`: maximum customers in one message."""
        self.per_s = max(1.0, per_s)
        self.rows = rows
        self.at = now
        self.max_tokens = max(1.0, BURST_S * self.per_s)
        self.tokens = self.max_tokens
        self.waiting: dict[int, dict[int, None]] = {}  # by peer, the changed customers, longest waiting first
        self.due: dict[int, float] = {}  # by peer, time at which its waiting update is due
        self.contact_until: dict[int, float] = {}  # by peer with common customers, time until which contact is kept
        self.last_sent_at: dict[int, float] = {}  # by peer

    def mark_changed(self, now: float, key: int, peers: Iterable[int], lazy: bool = False) -> None:
        """Queue an update of a customer to these peers; `lazy`: it may wait to be merged with other updates."""
        due = now + LAZY_DELAY_S if lazy else now
        for peer in peers:
            self.waiting.setdefault(peer, {})[key] = None
            self.due[peer] = min(due, self.due.get(peer, due))

    def answer_update(self, now: float, peer: int) -> None:
        """Queue a message to a peer that has sent an update, to show presence, unless one was sent recently."""
        if self._seconds_since_sent(now, peer) >= KEEP_ALIVE_S * PRESENCE_FRACTION:
            self.waiting.setdefault(peer, {})
            self.due.setdefault(peer, now)

    def keep_contact(self, now: float, peers: Iterable[int]) -> None:
        """Stay in contact with these peers for `CONTACT_S`, because a customer of their ingress sets was seen."""
        for peer in peers:
            self.contact_until[peer] = now + CONTACT_S

    def has_work(self) -> bool:
        """Return whether updates wait or peers are in contact."""
        return bool(self.waiting or self.contact_until)

    def take(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the messages to send now as (peer, customers); a message without customers is a keep-alive."""
        self.tokens = min(self.max_tokens, self.tokens + self.per_s * max(0.0, now - self.at))
        self.at = now
        out: list[tuple[int, list[int]]] = []
        if self._take_updates(now, out):
            self._take_keep_alives(now, out)
        return out

    def _take_updates(self, now: float, out: list[tuple[int, list[int]]]) -> bool:
        """Take the updates that are due, the longest due first; return False if the rate limit was reached."""
        due = [peer for peer in self.waiting if self.due[peer] <= now]
        for peer in sorted(due, key=lambda p: self.due[p]):
            if self.tokens < 1.0:
                return False
            keys = list(islice(self.waiting[peer], self.rows))
            for key in keys:
                del self.waiting[peer][key]
            if self.waiting[peer]:
                self.due[peer] = now  # behind all updates that are already due
            else:
                del self.waiting[peer]
                del self.due[peer]
            self._send(now, peer, keys, out)
        return True

    def _take_keep_alives(self, now: float, out: list[tuple[int, list[int]]]) -> None:
        for peer, until in list(self.contact_until.items()):
            if until < now:
                del self.contact_until[peer]
            elif self.tokens >= 1.0 and self._seconds_since_sent(now, peer) >= KEEP_ALIVE_S:
                self._send(now, peer, [], out)

    def _seconds_since_sent(self, now: float, peer: int) -> float:
        """Return the seconds since the last message to a peer; if there was none, enough for a keep-alive to be due."""
        return now - self.last_sent_at.get(peer, -KEEP_ALIVE_S)

    def _send(self, now: float, peer: int, keys: list[int], out: list[tuple[int, list[int]]]) -> None:
        self.tokens -= 1.0
        self.last_sent_at[peer] = now
        out.append((peer, keys))
