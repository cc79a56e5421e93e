"""Gossip of one ingress of a large fleet, all of it behind one class: updates, queries to owners, reconciliations.

Updates of a customer go to the peers of its set (`gossip.outbox`). A customer whose set is too wide for that has one
account, at its owner (`gossip.owners`): each request is a query to it (`gossip.queries`), and what was used more or
less than it was asked for is reconciled (`gossip.reconciliations`).
"""

from __future__ import annotations

from thistleusher.core.decision_ports import OwnerQuery
from thistleusher.core.events import Request
from thistleusher.gossip.messages import (
    Query,
    Reply,
    decode_query,
    decode_reconciliations,
    decode_reply,
)
from thistleusher.gossip.outbox import Outbox
from thistleusher.gossip.owners import Owners
from thistleusher.gossip.pending import PendingRequests
from thistleusher.gossip.queries import REPLY_TIMEOUT_S, OutstandingQueries, ReplyCache
from thistleusher.gossip.reconciliations import Reconciliations

UPDATES_FRACTION = 0.5  # of the messages that an ingress takes in, that it sends as updates
MIN_TIMER_S = 0.001


class Gossip:
    """What one ingress of a large fleet says to the others; implements `core.decision_ports.Gossip`."""

    def __init__(self, instances: int, me: int, per_s: float, rows: int, counter_timeout: float, now: float) -> None:
        """`per_s`: messages a second that an ingress takes in; `rows`: customers that one update holds."""
        self.instances = instances
        self.me = me
        self.outbox = Outbox(UPDATES_FRACTION * per_s, rows, now)
        self.owners = Owners(instances, me)
        self.queries = OutstandingQueries(self.owners, REPLY_TIMEOUT_S + counter_timeout)
        self.replies = ReplyCache()
        self.pending = PendingRequests()
        self.reconciliations = Reconciliations()

    def _peers(self, first: int, width: int) -> list[int]:
        """Return the other ingresses of a set."""
        members = ((first + n) % self.instances for n in range(width))
        return [peer for peer in members if peer != self.me]

    # Updates.

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Queue an update of a customer to its set; `lazy`: it may wait for others to go with."""
        peers = self._peers(first, width)
        self.outbox.mark_changed(now, key, peers, lazy)
        self.outbox.keep_contact(now, peers)

    def record_message(self, now: float, peer: int, is_update: bool) -> None:
        """Note that a peer has sent a message; `is_update`: of usage by customers that are common to both."""
        self.owners.record_message(peer)
        if is_update:
            self.outbox.answer_update(now, peer)
            self.outbox.keep_contact(now, (peer,))

    def customer_seen(self, now: float, first: int, width: int) -> None:
        """Keep in contact with a set: a customer of it was seen."""
        self.outbox.keep_contact(now, self._peers(first, width))

    def has_work(self) -> bool:
        """Return whether the next tick has anything to send."""
        return self.outbox.has_work() or bool(self.reconciliations.waiting)

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the updates that leave now: to whom, of which customers; of none: a keep-alive."""
        return self.outbox.take(now)

    # Queries and their replies.

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """Return the ingress that keeps a customer's account; None where none of its candidates answers."""
        return self.owners.owner_of(now, customer, first, width)

    def create_query(self, now: float, owner: int, request: Request, plan: int) -> bytes | None:
        """Return a query for a request; None where too many are outstanding."""
        r = request

        def encode(number: int) -> bytes:
            return Query(number, plan, r.customer, r.first, r.width, r.units).encode()

        return self.queries.add(now, r.id, owner, r.customer, plan, r.units, encode)

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return the queries that are to be sent once more, to whom: they or their replies were likely lost."""
        return self.queries.due_retransmissions(now)

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """Return a peer's query; None where it cannot be one, or is one that is being decided on."""
        query = decode_query(payload)
        if query is None or not 1 <= query.width <= self.instances or query.first >= self.instances:
            return None
        reply = self.replies.receive(now, peer, query.number, payload)
        if reply == b"":
            return None
        return OwnerQuery(query.number, query.customer, query.plan, query.first, query.width, query.units, reply or b"")

    def create_reply(self, peer: int, number: int, admitted: bool, headroom: float) -> bytes:
        """Return the reply to a peer's query, and remember it."""
        message = Reply(number, admitted, headroom).encode()
        self.replies.record_reply(peer, number, message)
        return message

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Return whose request an owner has decided on, how, and the headroom; None where nobody waits for it."""
        reply = decode_reply(payload)
        found = self.queries.resolve(peer, reply.number) if reply is not None else None
        if reply is None or found is None:
            return None
        query, in_time = found
        if in_time:
            return query.request, reply.admitted, reply.headroom
        if reply.admitted:  # the request was decided on otherwise meanwhile: give the units back
            self.reconcile(peer, query.customer, query.plan, -query.units)
        return None

    # Requests that wait.

    def add_pending(self, request: str, deadline: float) -> bool:
        """Keep a request until then, or until a peer has given anything; return whether it can be kept."""
        return self.pending.add(request, deadline)

    def take_pending(self) -> list[str]:
        """Return all that are pending; they are so no longer."""
        return self.pending.take()

    def expired_requests(self, now: float) -> list[str]:
        """Return the requests whose owner has not replied in time, or that were pending until now."""
        return self.queries.expire(now) + self.pending.expire(now)

    def timer_delay(self, now: float) -> float | None:
        """Return the seconds until a query is to be sent again or a request expires; None where none does."""
        deadlines = [self.queries.next_deadline(), self.pending.next_deadline()]
        known = [deadline for deadline in deadlines if deadline is not None]
        return max(MIN_TIMER_S, min(known) - now) if known else None

    # Reconciliations.

    def reconcile(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Tell an owner of units more (or less) than it was asked for; with the next tick, merged."""
        self.reconciliations.add(owner, customer, plan, units)

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """Return the messages of all that is to be reconciled, to whom."""
        return self.reconciliations.take()

    @staticmethod
    def parse_reconciliations(payload: bytes) -> list[tuple[int, int, float]]:
        """Return customers, their plans' numbers, and units, of a peer's message."""
        return list(decode_reconciliations(payload))
