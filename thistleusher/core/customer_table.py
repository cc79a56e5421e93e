"""The table of customers at one ingress, and their exhausted windows."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from thistleusher.core.customer import Customer
from thistleusher.core.replication_limits import retention_s
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.core.snapshots import SavedCustomer


class CustomerTable(OrderedDict[int, Customer]):
    """Customers by key, least recently seen first. Idle customers are evicted, as many send only one request.

    Messages to peers identify a plan by its number, its position in the settings.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.plans = {p.name: p for p in settings.plans}
        self.plan_list = list(self.plans.values())  # by plan number
        self.plan_numbers = {p.name: n for n, p in enumerate(settings.plans)}
        self.retention = retention_s(settings)
        self.changed: dict[int, Customer] | None = None  # changed since the last save; None: not saved

    def plan_by_number(self, number: int) -> PlanSettings | None:
        """Return the plan with a number, or None if there is no such plan or it has no quota."""
        plan = self.plan_list[number] if number < len(self.plan_list) else None
        return plan if plan is not None and plan.rate > 0 else None

    def get_or_create(self, now: float, key: int, plan: PlanSettings) -> Customer:
        """Return a customer, created if new, and mark it seen. Evict idle customers without charges in flight."""
        customer = self.get(key)
        if customer is None:
            customer = self[key] = Customer(key, plan, now)
        else:
            self.move_to_end(key)
        customer.last_seen = now
        self.mark_changed(customer)
        while (oldest := next(iter(self.values()))).last_seen < now - self.retention:
            if oldest.in_flight > 0:
                oldest.last_seen = now
                self.move_to_end(oldest.key)
            else:
                del self[oldest.key]
        return customer

    def ensure_owned(self, now: float, plan_number: int, key: int, first: int = 0, width: int = 0) -> Customer | None:
        """Return a customer and make this ingress the owner of its account, as a peer requests.

        Return None if there is no such plan or the plan has a ceiling. `width` 0 keeps the known ingress set.
        """
        plan = self.plan_by_number(plan_number)
        if plan is None or plan.ceiling_rate > 0:
            return None
        customer = self.get_or_create(now, key, plan)
        if width:
            customer.first = first
            customer.width = width
        customer.take_ownership(now)
        return customer

    def mark_changed(self, customer: Customer) -> None:
        """Add a customer to the changes that are saved next, if saving is enabled."""
        if self.changed is not None:
            self.changed[customer.key] = customer

    def take_changed(self, limit: int) -> list[SavedCustomer]:
        """Return up to `limit` customers that changed since they were last returned. Cost: linear in the result."""
        if not self.changed:
            return []
        keys = list(islice(self.changed, limit))
        return [self.changed.pop(key).to_saved() for key in keys]


class ExhaustedWindows(OrderedDict[bytes, float]):
    """Short names of exhausted windows, with their expiry times."""

    def record(self, now: float, name: bytes, retention: float) -> None:
        """Record an exhausted window, and evict expired ones."""
        self[name] = now + retention
        self.move_to_end(name)
        while self[oldest := next(iter(self))] < now:
            del self[oldest]
