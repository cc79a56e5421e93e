"""Outstanding calls to the counter."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from thistleusher.core.charges import Charge
from thistleusher.core.customer import Customer


class CounterCall(NamedTuple):
    """A call on the count of a customer's window. `charge` is None if no request waits for its total."""

    customer: Customer
    window: int
    units: float
    charge: Charge | None

    @property
    def charged(self) -> float:
        """Units of the call that are a request's charge; the remaining units report pending usage."""
        return self.charge.units if self.charge is not None else 0.0


class CounterCalls:
    """Outstanding calls by count name. Replies on one name arrive in the order of its calls."""

    def __init__(self) -> None:
        self.by_name: dict[int, deque[CounterCall]] = {}

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def start(self, now: float, customer: Customer, units: float, charge: Charge | None) -> int:
        """Record a call on the count of the customer's current window, and return the count's name."""
        name = customer.count_name(now)
        call = CounterCall(customer, customer.window_at(now), units, charge)
        self.by_name.setdefault(name, deque()).append(call)
        customer.in_flight += call.charged
        customer.pending_in_flight += max(0.0, units - call.charged)
        return name

    def finish(self, name: int) -> CounterCall | None:
        """Remove and return the oldest call on a name, which its next reply belongs to, or None if there is none."""
        queue = self.by_name.get(name)
        if not queue:
            return None
        call = queue.popleft()
        if not queue:
            del self.by_name[name]
        call.customer.in_flight -= call.charged
        call.customer.pending_in_flight -= max(0.0, call.units - call.charged)
        return call
