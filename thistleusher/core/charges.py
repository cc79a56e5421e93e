"""What is charged to a customer's quota: by a request here, or by a peer's query to the owner of an account."""

from __future__ import annotations

import math

from thistleusher.core import events
from thistleusher.core.customer import Customer
from thistleusher.core.decision_ports import OwnerQuery
from thistleusher.core.events import BackendEntry
from thistleusher.core.settings import ClassSettings


class Charge:
    """Units asked of a customer's quota."""

    def __init__(self, event: events.Request, customer: Customer, peer: int | None = None, query: int = 0) -> None:
        """`peer`: who asks, by a query of this number; None for a request here."""
        self.event = event
        self.customer = customer
        self.peer = peer
        self.query = query
        self.units = event.units  # as added to the count; more where one call stands for several requests
        self.exceeds_share = event.units * customer.width > customer.plan.burst  # an even share is below one request
        self.consumed = 0.0  # units off the bucket
        self.from_escrow = False  # admitted on the ingress's own share
        self.owner: int | None = None  # the peer that was asked and admitted it
        self.grant_deadline = 0.0  # until when it waits for what peers grant of their shares

    @classmethod
    def of_query(cls, query: OwnerQuery, customer: Customer, peer: int) -> Charge:
        """Return what a peer's query to the owner of an account asks for."""
        name = customer.plan.name
        request = events.Request("", "", name, query.customer, math.inf, query.units, query.width, query.first)
        return cls(request, customer, peer, query.number)


class PendingRequest(Charge):
    """A request that is owed one final answer."""

    def __init__(
        self, event: events.Request, cls: ClassSettings, customer: Customer, now: float, work: float = 1.0
    ) -> None:
        """`work`: expected, as a multiple of its class's mean."""
        super().__init__(event, customer)
        self.request_class = cls
        self.work = work
        self.target = now + min(cls.objective, event.expires_in)  # nothing is sent once its client is gone
        self.attempts = 0
        self.sent_at = 0.0
        self.ran_at: float | None = None  # send time of the earliest attempt that may have run
        self.ran_on: BackendEntry | None = None  # and its backend
        self.failed_backends = set[str]()  # backends that did not serve it
        self.value = cls.worth * customer.plan.price  # per unit; units go with work
