"""Usage admitted at this ingress that has not been reported to all peers yet."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from thistleusher.core.customer import Customer
from thistleusher.core.customer_table import CustomerTable
from thistleusher.core.datagrams import USAGE_ENTRIES_MAX, USAGE_MARK, encode_usage


class UsageOutbox:
    """Customers with unreported usage, and the messages that report it."""

    def __init__(self, customers: CustomerTable) -> None:
        self.customers = customers
        self.pending: dict[int, Customer] = {}  # due to all peers; unused with gossip

    def message_to(self, now: float, peer: int, keys: list[int]) -> bytes:
        """Return the message that reports the usage of customers to one peer."""
        known = [c for c in map(self.customers.get, keys) if c is not None]
        return USAGE_MARK + b"".join([self._entry(now, c, self._new_to(c, peer)) for c in known])

    def messages_to_all(self, now: float, limit: int) -> Iterator[bytes]:
        """Yield up to `limit` messages (at least one) that report usage to all peers, an empty one if there is none."""
        if not self.pending:  # only shows that this ingress runs
            yield USAGE_MARK
        customers = list(islice(self.pending.values(), max(1, limit) * USAGE_ENTRIES_MAX))
        for n in range(0, len(customers), USAGE_ENTRIES_MAX):
            batch = customers[n : n + USAGE_ENTRIES_MAX]
            yield USAGE_MARK + b"".join([self._entry(now, c, self._new_to_all(c)) for c in batch])

    def _new_to(self, customer: Customer, peer: int) -> int:
        total = customer.admitted_quarters
        new = total - customer.notified_by_peer.get(peer, customer.notified_quarters)
        customer.notified_by_peer[peer] = total
        return new

    def _new_to_all(self, customer: Customer) -> int:
        del self.pending[customer.key]
        new = customer.admitted_quarters - customer.notified_quarters
        customer.notified_quarters = customer.admitted_quarters
        return new

    def _entry(self, now: float, customer: Customer, new: int) -> bytes:
        number = self.customers.plan_numbers[customer.plan.name]
        headroom = customer.headroom(now)
        return encode_usage(number, customer.key, customer.admitted_quarters, new, headroom, customer.plan.burst)
