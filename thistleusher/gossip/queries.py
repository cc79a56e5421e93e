"""Outstanding queries to owners and, at an owner, a cache of its recent replies.

Guarantees: a query ends exactly once, with a reply or at its deadline; at most `MAX_QUERIES` are outstanding. A query
without a reply is retransmitted once, and an owner that has already received it repeats its reply, so a lost message
never causes a second charge. Cost: constant per request; on the network two messages of 14 and 6 bytes per request, and
one of 8 bytes for a reconciliation.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from thistleusher.gossip.owners import Owners

MAX_QUERIES = 512  # maximum number of outstanding queries; beyond it no query is created
REPLY_TIMEOUT_S = 0.1  # bound on a round trip between ingresses; a query without a reply is then retransmitted once
REPLY_CACHE_S = 1.0  # time for which an owner keeps a received query and its reply
REPLY_CACHE_SIZE = 2048  # maximum number of received queries that an owner keeps
NUMBER_MASK = 0xFFFF


class OutstandingQuery(NamedTuple):
    """A query to an owner: the request it is for, the peer asked, the deadline for a reply, and the units requested."""

    request: str
    peer: int
    deadline: float
    customer: int
    plan: int
    units: float


class OutstandingQueries:
    """Queries of one ingress by number, oldest first. Times are in seconds of one clock."""

    def __init__(self, owners: Owners, timeout: float) -> None:
        """Start without queries.

        owners: records the queries that got no reply in time
        timeout: seconds to wait for a reply after the retransmission
        """
        self.owners = owners
        self.timeout = timeout
        self._outstanding = OrderedDict[int, OutstandingQuery]()
        # By number of a query sent only once: time at which it is retransmitted, and the message.
        self._awaiting_retransmission = OrderedDict[int, tuple[float, bytes]]()
        self.expired = OrderedDict[int, OutstandingQuery]()  # kept to recognize late replies
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
        """Register a query and return its message, encoded with its number; None if too many are outstanding."""
        if len(self._outstanding) >= MAX_QUERIES:
            return None
        self._last_number = number = (self._last_number + 1) & NUMBER_MASK
        self.expired.pop(number, None)
        deadline = now + REPLY_TIMEOUT_S + self.timeout
        self._outstanding[number] = OutstandingQuery(request, peer, deadline, customer, plan, units)
        message = encode(number)
        self._awaiting_retransmission[number] = (now + REPLY_TIMEOUT_S, message)
        return message

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return the queries to retransmit now as (peer, message)."""
        due: list[tuple[int, bytes]] = []
        while self._awaiting_retransmission and next(iter(self._awaiting_retransmission.values()))[0] <= now:
            number, (_, message) = self._awaiting_retransmission.popitem(last=False)
            due.append((self._outstanding[number].peer, message))
        return due

    def resolve(self, peer: int, number: int) -> tuple[OutstandingQuery, bool] | None:
        """Return the query that a reply belongs to and whether it came in time; None if there is no such query."""
        for queries in (self._outstanding, self.expired):
            query = queries.get(number)
            if query is not None and query.peer == peer:
                del queries[number]
                self._awaiting_retransmission.pop(number, None)
                return query, queries is self._outstanding
        return None

    def expire(self, now: float) -> list[str]:
        """Expire the queries whose deadline has passed; return the requests that they were for."""
        requests: list[str] = []
        while self._outstanding:
            number, query = next(iter(self._outstanding.items()))
            if query.deadline > now:
                break
            del self._outstanding[number]
            self._awaiting_retransmission.pop(number, None)
            self.expired[number] = query
            if len(self.expired) > MAX_QUERIES:
                self.expired.popitem(last=False)
            requests.append(query.request)
            self.owners.record_miss(now, query.peer)
        return requests

    def next_deadline(self) -> float | None:
        """Return the time of the next retransmission or expiry; None if no query is outstanding."""
        deadlines = []
        if self._outstanding:
            deadlines.append(next(iter(self._outstanding.values())).deadline)
        if self._awaiting_retransmission:
            deadlines.append(next(iter(self._awaiting_retransmission.values()))[0])
        return min(deadlines, default=None)


class ReceivedQuery(NamedTuple):
    """A query received by an owner: arrival time, message, and the reply, which is empty until there is one."""

    at: float
    payload: bytes
    reply: bytes


class ReplyCache:
    """Queries that an owner received recently, with its replies, by peer and number. Times are in seconds."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.received = OrderedDict[tuple[int, int], ReceivedQuery]()

    def receive(self, now: float, peer: int, number: int, payload: bytes) -> bytes | None:
        """Record a query; return its earlier reply, empty if it has none yet, or None if the query is new."""
        self._evict_old(now)
        known = self.received.get((peer, number))
        # Numbers wrap around and restart with each incarnation, so an equal number may belong to a different query.
        if known is not None and known.payload == payload:
            return known.reply
        self.received[peer, number] = ReceivedQuery(now, payload, b"")
        self.received.move_to_end((peer, number))
        return None

    def record_reply(self, peer: int, number: int, reply: bytes) -> None:
        """Store the reply to a received query."""
        known = self.received.get((peer, number))
        if known is not None:
            self.received[peer, number] = known._replace(reply=reply)

    def _evict_old(self, now: float) -> None:
        while self.received:
            oldest = next(iter(self.received.values()))
            if len(self.received) <= REPLY_CACHE_SIZE and oldest.at >= now - REPLY_CACHE_S:
                break
            self.received.popitem(last=False)
