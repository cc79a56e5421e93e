"""Facade for the messages between ingresses of a large deployment: updates, queries to owners, reconciliations.

Updates of a customer go to the peers of its ingress set (`gossip.outbox`). A customer whose set is too large for that
has a single account, kept by its owner (`gossip.owners`): each request causes a query to the owner (`gossip.queries`),
and differences between the units requested and used are reconciled afterwards (`gossip.reconciliations`).
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

OUTGOING_UPDATES_FRACTION = 0.5  # maximum rate of outgoing updates / message rate that an ingress accepts
MIN_TIMER_S = 0.001


class Gossip:
    """Messages of one ingress of a large deployment to its peers; implements `core.decision_ports.Gossip`."""

    def __init__(self, instances: int, me: int, per_s: float, rows: int, counter_timeout: float, now: float) -> None:
        """Start without messages.

        per_s: messages a second that an ingress accepts
        rows: maximum customers in one update
        """
        self.instances = instances
        self.me = me
        self.outbox = Outbox(OUTGOING_UPDATES_FRACTION * per_s, rows, now)
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
        """Queue an update of a customer to its ingress set; `lazy`: it may wait to be merged with other updates."""
        peers = self._peers(first, width)
        self.outbox.mark_changed(now, key, peers, lazy)
        self.outbox.keep_contact(now, peers)

    def record_message(self, now: float, peer: int, is_update: bool) -> None:
        """Record a message from a peer; `is_update`: it reports usage of customers that both ingresses serve."""
        self.owners.record_message(peer)
        if is_update:
            self.outbox.answer_update(now, peer)
            self.outbox.keep_contact(now, (peer,))

    def customer_seen(self, now: float, first: int, width: int) -> None:
        """Stay in contact with the ingress set of a customer that was seen."""
        self.outbox.keep_contact(now, self._peers(first, width))

    def has_work(self) -> bool:
        """Return whether the next tick may have messages to send."""
        return self.outbox.has_work() or bool(self.reconciliations.waiting)

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the updates to send now as (peer, customers); a message without customers is a keep-alive."""
        return self.outbox.take(now)

    # Queries and their replies.

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """Return the ingress that keeps a customer's account; None if all of its candidates are skipped."""
        return self.owners.owner_of(now, customer, first, width)

    def create_query(self, now: float, owner: int, request: Request, plan: int) -> bytes | None:
        """Return the message of a new query for a request; None if too many are outstanding."""
        r = request

        def encode(number: int) -> bytes:
            return Query(number, plan, r.customer, r.first, r.width, r.units).encode()

        return self.queries.add(now, r.id, owner, r.customer, plan, r.units, encode)

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return the queries to retransmit as (peer, message), as they or their replies were probably lost."""
        return self.queries.due_retransmissions(now)

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """Return a peer's query; None if it is invalid, or a repetition of a query that is still being decided."""
        query = decode_query(payload)
        if query is None or not 1 <= query.width <= self.instances or query.first >= self.instances:
            return None
        reply = self.replies.receive(now, peer, query.number, payload)
        if reply == b"":
            return None
        return OwnerQuery(query.number, query.customer, query.plan, query.first, query.width, query.units, reply or b"")

    def create_reply(self, peer: int, number: int, admitted: bool, headroom: float) -> bytes:
        """Return the encoded reply to a peer's query, and store it for repetitions of the query."""
        message = Reply(number, admitted, headroom).encode()
        self.replies.record_reply(peer, number, message)
        return message

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Return (request, admitted, headroom) of an owner's reply; None if no request waits for it."""
        reply = decode_reply(payload)
        found = self.queries.resolve(peer, reply.number) if reply is not None else None
        if reply is None or found is None:
            return None
        query, in_time = found
        if in_time:
            return query.request, reply.admitted, reply.headroom
        if reply.admitted:  # the request has been decided without this reply: return the units
            self.reconcile(peer, query.customer, query.plan, -query.units)
        return None

    # Requests that wait.

    def add_pending(self, request: str, deadline: float) -> bool:
        """Hold a request until its deadline or the next transfer from a peer; return False if too many wait."""
        return self.pending.add(request, deadline)

    def take_pending(self) -> list[str]:
        """Remove and return all pending requests."""
        return self.pending.take()

    def expired_requests(self, now: float) -> list[str]:
        """Remove and return the requests whose owner has not replied in time or whose wait has ended."""
        return self.queries.expire(now) + self.pending.expire(now)

    def timer_delay(self, now: float) -> float | None:
        """Return the seconds until the next retransmission or expiry; None if nothing is outstanding."""
        deadlines = [self.queries.next_deadline(), self.pending.next_deadline()]
        known = [deadline for deadline in deadlines if deadline is not None]
        return max(MIN_TIMER_S, min(known) - now) if known else None

    # Reconciliations.

    def reconcile(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Queue a difference to the units requested from an owner; differences are merged until the next tick."""
        self.reconciliations.add(owner, customer, plan, units)

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """Remove all waiting reconciliations and return their messages as (owner, message)."""
        return self.reconciliations.take()

    @staticmethod
    def parse_reconciliations(payload: bytes) -> list[tuple[int, int, float]]:
        """Return the (customer, plan number, units) rows of a peer's message."""
        return list(decode_reconciliations(payload))
