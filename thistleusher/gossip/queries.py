"""Queries to owners that have no reply yet, and at an owner, the replies of late.

Guaranteed: a query has one end, a reply or its deadline; at most `MAX_QUERIES` are outstanding. One without a reply is
sent once more, and an owner that knows it repeats what it has replied: a message that was lost charges nothing twice.
Cost: constant a request; over the fleet two messages of 14 and 6 bytes a request, and one of 8 bytes to reconcile.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from thistleusher.gossip.owners import Owners

MAX_QUERIES = 512  # outstanding at once; beyond it there is none
REPLY_TIMEOUT_S = 0.1  # for both ways between ingresses; without a reply by then a query is sent once more
REPLIES_KEPT_S = 1.0  # for which an owner knows what it was asked
REPLIES_KEPT = 2048  # at most
NUMBER_MASK = 0xFFFF


class OutstandingQuery(NamedTuple):
    """Whose request a query is for, who was asked, until when a reply helps, and for what."""

    request: str
    peer: int
    deadline: float
    customer: int
    plan: int
    units: float


class OutstandingQueries:
    """Queries of one ingress by their numbers, the oldest first. Times in seconds of one clock."""

    def __init__(self, owners: Owners, timeout: float) -> None:
        """`timeout`: seconds for a reply, once a query was sent again; misses are recorded at `owners`."""
        self.owners = owners
        self.timeout = timeout
        self._outstanding = OrderedDict[int, OutstandingQuery]()
        self._sent_once = OrderedDict[int, tuple[float, bytes]]()  # of these: until when, and the message
        self.expired = OrderedDict[int, OutstandingQuery]()  # for a reply that still comes
        self._last_number = 0

    def add(
        self,
        now: float,
        request: str,
        peer: int,
        customer: int,
        plan: int,
        units: float,
        encode: Callable[[int], bytes],
    ) -> bytes | None:
        """Return the message of a query, encoded with its number; None where too many are outstanding."""
        if len(self._outstanding) >= MAX_QUERIES:
            return None
        self._last_number = number = (self._last_number + 1) & NUMBER_MASK
        self.expired.pop(number, None)
        deadline = now + REPLY_TIMEOUT_S + self.timeout
        self._outstanding[number] = OutstandingQuery(request, peer, deadline, customer, plan, units)
        message = encode(number)
        self._sent_once[number] = (now + REPLY_TIMEOUT_S, message)
        return message

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return the queries that are to be sent once more, to whom."""
        due: list[tuple[int, bytes]] = []
        while self._sent_once and next(iter(self._sent_once.values()))[0] <= now:
            number, (_, message) = self._sent_once.popitem(last=False)
            due.append((self._outstanding[number].peer, message))
        return due

    def resolve(self, peer: int, number: int) -> tuple[OutstandingQuery, bool] | None:
        """Return what a reply is for, and whether it came in time; None where it was not asked for."""
        for queries in (self._outstanding, self.expired):
            query = queries.get(number)
            if query is not None and query.peer == peer:
                del queries[number]
                self._sent_once.pop(number, None)
                return query, queries is self._outstanding
        return None

    def expire(self, now: float) -> list[str]:
        """Return the requests whose queries had no reply in time."""
        requests: list[str] = []
        while self._outstanding:
            number, query = next(iter(self._outstanding.items()))
            if query.deadline > now:
                break
            del self._outstanding[number]
            self._sent_once.pop(number, None)
            self.expired[number] = query
            if len(self.expired) > MAX_QUERIES:
                self.expired.popitem(last=False)
            requests.append(query.request)
            self.owners.record_miss(now, query.peer)
        return requests

    def next_deadline(self) -> float | None:
        """Return when the oldest query is to be sent again or expires; None where none is outstanding."""
        deadlines = []
        if self._outstanding:
            deadlines.append(next(iter(self._outstanding.values())).deadline)
        if self._sent_once:
            deadlines.append(next(iter(self._sent_once.values()))[0])
        return min(deadlines, default=None)


class ReceivedQuery(NamedTuple):
    """A query that an owner has received: when, its bytes, and the reply; empty where it has none yet."""

    at: float
    payload: bytes
    reply: bytes


class ReplyCache:
    """What an owner was asked of late, and has replied, by peer and number. Times in seconds of one clock."""

    def __init__(self) -> None:
        """Know no query."""
        self.received = OrderedDict[tuple[int, int], ReceivedQuery]()

    def receive(self, now: float, peer: int, number: int, payload: bytes) -> bytes | None:
        """Return the reply that a query has had, empty where it has none yet; None where the query is new."""
        self._forget_old(now)
        known = self.received.get((peer, number))
        # Numbers wrap, and begin anew in another incarnation: the same number may be another query.
        if known is not None and known.payload == payload:
            return known.reply
        self.received[peer, number] = ReceivedQuery(now, payload, b"")
        self.received.move_to_end((peer, number))
        return None

    def record_reply(self, peer: int, number: int, reply: bytes) -> None:
        """Note the reply to a query."""
        known = self.received.get((peer, number))
        if known is not None:
            self.received[peer, number] = known._replace(reply=reply)

    def _forget_old(self, now: float) -> None:
        while self.received:
            oldest = next(iter(self.received.values()))
            if len(self.received) <= REPLIES_KEPT and oldest.at >= now - REPLIES_KEPT_S:
                break
            self.received.popitem(last=False)
