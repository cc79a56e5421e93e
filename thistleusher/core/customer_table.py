"""The customers that one ingress knows, and which of their windows are used up."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from thistleusher.core.customer import Customer
from thistleusher.core.replication_limits import retention_s
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.core.snapshots import SavedCustomer


class CustomerTable(OrderedDict[int, Customer]):
    """Customers by their key, the longest quiet first. Those long quiet are forgotten: many come once and never again.

    Peers name a plan by its number in the settings.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.plans = {p.name: p for p in settings.plans}
        self.plan_list = list(self.plans.values())  # by number
        self.plan_numbers = {p.name: n for n, p in enumerate(settings.plans)}
        self.retention = retention_s(settings)
        self.changed: dict[int, Customer] | None = None  # since they were last saved; None where none are saved

    def plan_of(self, number: int) -> PlanSettings | None:
        """Return the plan of a number; None where there is none, or where it has no quota."""
        plan = self.plan_list[number] if number < len(self.plan_list) else None
        return plan if plan is not None and plan.rate > 0 else None

    def see(self, now: float, key: int, plan: PlanSettings) -> Customer:
        """Return a customer, known or new, that is seen now; forget those long quiet, unless charges are in flight."""
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

    def see_owned(self, now: float, plan_number: int, key: int, first: int = 0, width: int = 0) -> Customer | None:
        """Return a customer whose account is kept here, as a peer says; None where there is no such plan.

        `width` 0: its set is as known. A plan with a ceiling has no accounts.
        """
        plan = self.plan_of(plan_number)
        if plan is None or plan.ceiling_rate > 0:
            return None
        customer = self.see(now, key, plan)
        if width:
            customer.first = first
            customer.width = width
        customer.own(now)
        return customer

    def mark_changed(self, customer: Customer) -> None:
        """Have the customer saved with the next changes, where changes are saved."""
        if self.changed is not None:
            self.changed[customer.key] = customer

    def take_changed(self, most: int) -> list[SavedCustomer]:
        """Return customers that have changed since they were last taken, `most` at once; costs in proportion."""
        if not self.changed:
            return []
        keys = list(islice(self.changed, most))
        return [self.changed.pop(key).to_saved() for key in keys]


class ExhaustedWindows(OrderedDict[bytes, float]):
    """Short names of windows that are used up, and until when they matter."""

    def record(self, now: float, name: bytes, retention: float) -> None:
        """Note that a window is used up; forget those that are long over."""
        self[name] = now + retention
        self.move_to_end(name)
        while self[oldest := next(iter(self))] < now:
            del self[oldest]
