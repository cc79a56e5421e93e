"""One value for each of several counters between which the counts are distributed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from thistleusher.core.customer import Customer
from thistleusher.core.decision_ports import CounterPlacement

T = TypeVar("T")


class PerCounter(Generic[T]):
    """A value for each counter, created by `make`, so that a failed counter affects only its own counts.

    Without a placement there is one counter, number 0.
    """

    def __init__(self, make: Callable[[], T], placement: CounterPlacement | None = None) -> None:
        self.make = make
        self.placement = placement
        self.by_number: dict[int, T] = {0: make()}

    def set_placement(self, placement: CounterPlacement) -> None:
        """Switch to another placement. Values are reset, because the numbers now refer to other counters."""
        self.placement = placement
        self.by_number = {0: self.make()}

    def for_name(self, name: int) -> T:
        """Return the value of the counter that holds a name."""
        number = 0 if self.placement is None else self.placement.of(name)
        found = self.by_number.get(number)
        if found is None:
            found = self.by_number[number] = self.make()
        return found

    def for_customer(self, now: float, customer: Customer) -> T:
        """Return the value of the counter that holds the name of the customer's current window."""
        if self.placement is None:
            return self.by_number[0]
        return self.for_name(customer.count_name(now))
