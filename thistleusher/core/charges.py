"""Charges to a customer's quota, by a local request or by a peer's query to the owner of an account."""

from __future__ import annotations

import math

from thistleusher.core import events
from thistleusher.core.customer import Customer
from thistleusher.core.decision_ports import OwnerQuery
from thistleusher.core.events import BackendEntry
from thistleusher.core.settings import ClassSettings


class Charge:
    """Units requested from a customer's quota."""

    def __init__(self, event: events.Request, customer: Customer, peer: int | None = None, query: int = 0) -> None:
        """`peer` and `query`: the querying peer and its query's number; `peer` is None for a local request."""
        self.event = event
        self.customer = customer
        self.peer = peer
        self.query = query
        self.units = event.units  # units added to the count; scaled up if one call represents several requests
        self.exceeds_share = event.units * customer.width > customer.plan.burst  # even share < one request
        self.consumed = 0.0  # units deducted from the bucket
        self.from_escrow = False  # admitted from this ingress's escrowed share
        self.owner: int | None = None  # the peer that decided it as owner of the account
        self.grant_deadline = 0.0  # Unix time until which the request waits for share grants; 0: not waiting

    @classmethod
    def from_query(cls, query: OwnerQuery, customer: Customer, peer: int) -> Charge:
        """Return the charge of a peer's query to the owner of an account."""
        name = customer.plan.name
        request = events.Request("", "", name, query.customer, math.inf, query.units, query.width, query.first)
        return cls(request, customer, peer, query.number)


class PendingRequest(Charge):
    """A request without a final answer yet."""

    def __init__(
        self, event: events.Request, cls: ClassSettings, customer: Customer, now: float, work: float = 1.0
    ) -> None:
        """`work`: expected work as a multiple of its class's mean."""
        super().__init__(event, customer)
        self.request_class = cls
        self.work = work
        self.target = now + min(cls.objective, event.expires_in)  # no attempt starts after the client's time-out
        self.attempts = 0
        self.sent_at = 0.0
        self.ran_at: float | None = None  # send time of the earliest attempt that may have run
        self.ran_on: BackendEntry | None = None  # backend of that attempt
        self.failed_backends = set[str]()  # backends that did not serve it
        self.value = cls.worth * customer.plan.price  # value per unit of work
