"""Usage replication: customers' buckets at this ingress, updated by usage at its peers.

Guarantee: a unit that both a peer and a total report is deducted once, whichever report arrives first.
Cost: constant per request; a notification is linear in the customers with new usage since the last one.
"""

from __future__ import annotations

from dataclasses import dataclass

from thistleusher.core import events
from thistleusher.core.actions import Action
from thistleusher.core.charges import Charge
from thistleusher.core.customer import Customer
from thistleusher.core.customer_table import CustomerTable, ExhaustedWindows
from thistleusher.core.datagrams import ESCROW_MARKS, LEVEL_STEPS, USAGE_ENTRY, USAGE_MARK
from thistleusher.core.decision_ports import Escrow, Gossip
from thistleusher.core.peer_notifier import PeerNotifier
from thistleusher.core.per_counter import PerCounter
from thistleusher.core.settings import Settings
from thistleusher.policy.health import CounterHealth

PRESENCE_INTERVAL_S = 0.4  # time without an own notification after which a peer's usage report triggers one
CONTACT_TIMEOUT_S = 1.0  # time without a message after which a peer is out of contact while the counter is silent
CONTACT_TIMEOUT_WITH_TOTALS_S = 60.0  # same while totals arrive: they include the usage of a restarting peer
EXCESS_MAX_AGE_S = 0.3  # age at which units of a total that no peer has reported count as a reversed charge


@dataclass(eq=False, repr=False)
class UsageReplication:
    """The buckets of all customers at one ingress. With `gossip`, an update does not go to every peer."""

    settings: Settings
    counters: PerCounter[CounterHealth]
    actions: list[Action]
    started_at: float
    escrow: Escrow | None = None
    gossip: Gossip | None = None

    def __post_init__(self) -> None:
        settings = self.settings
        self.escrow = self.escrow if settings.peers else None
        self.customers = CustomerTable(settings)
        self.plan_numbers = self.customers.plan_numbers
        self.exhausted = ExhaustedWindows()
        self.notifier = PeerNotifier(settings, self.customers, self.actions, self.started_at, self.escrow, self.gossip)
        self.last_message_at = dict.fromkeys(range(settings.instances), 0.0)  # Unix time of each peer's last message

    def owner_of(self, now: float, customer: Customer) -> int | None:
        """Return the ingress that owns a customer's account, or None if each ingress decides.

        Only customers with a wide set have an owner. Plans with a ceiling have none, because their headroom could be
        granted twice while owners change.
        """
        if self.gossip is None or not customer.has_share_below_unit() or customer.plan.ceiling_rate > 0:
            return None
        return self.gossip.owner(now, customer.key, customer.first, customer.width)

    def admit(self, now: float, customer: Customer, units: float, charge: Charge | None = None) -> None:
        """Deduct units that were admitted here from the bucket, and queue a notification of peers."""
        customer.consume(now, units)
        self.customers.mark_changed(customer)
        if self.escrow is not None and not (charge is not None and charge.from_escrow):
            self.escrow.spend(now, self.plan_numbers[customer.plan.name], customer.key, units)
        if charge is not None:
            charge.consumed = units
        self.notifier.usage_changed(now, customer, units, lazy=charge is None)

    def reconcile(self, now: float, charge: Charge, units: float) -> None:
        """Add `units` (which may be negative) to a request's charge, at the owner of its customer's account if any."""
        customer = charge.customer
        if charge.owner is not None and self.gossip is not None:
            self.gossip.reconcile(charge.owner, customer.key, self.plan_numbers[customer.plan.name], units)
            return
        customer.pending += units
        self.admit(now, customer, units)

    def admit_from_share(self, now: float, customer: Customer, units: float) -> bool:
        """Return whether this ingress's own share of the allowance admits units; if not, demand shares from peers."""
        if self.escrow is None:
            return True
        plan = self.plan_numbers[customer.plan.name]
        spent = max(0.0, customer.plan.burst - customer.headroom(now))  # also for a ceiling, which refills faster
        admitted = self.escrow.admit(now, plan, customer.key, customer.first, customer.width, units, spent)
        if not admitted:
            self.notifier.send_demands(now)
            self.notifier.notify_due = True  # demands not sent now go with the next one
        return admitted

    def peer_message_received(self, now: float, message: events.PeerMessage) -> None:
        """Handle a peer's usage report, share message, or the name of an exhausted window."""
        sender, payload = message
        self.last_message_at[sender] = now
        mark = payload[:1]
        has_usage = mark == USAGE_MARK and len(payload) > 1
        if self.gossip is not None:
            self.gossip.record_message(now, sender, has_usage)
        if mark == USAGE_MARK and len(payload) % USAGE_ENTRY.size == 1 and self.notifier.limits.enabled:
            quiet = now - self.notifier.last_notified > PRESENCE_INTERVAL_S
            self.notifier.notify_due |= self.gossip is None and has_usage and quiet
            for name, total, new, level in USAGE_ENTRY.iter_unpack(payload[1:]):
                self.merge_usage(now, sender, int.from_bytes(name), total, new, level / LEVEL_STEPS)
        elif self.escrow is not None and mark in ESCROW_MARKS:
            self.notifier.send((sender, answer) for answer in self.escrow.receive(now, sender, payload))
        else:
            self.exhausted.record(now, payload, self.customers.retention)

    def merge_usage(self, now: float, peer: int, name: int, total: int, new: int, level: float) -> None:
        """Deduct a customer's usage at a peer from its bucket.

        The peer's total, modulo 2^16, recovers lost messages unless the peer has restarted. An ingress that has itself
        just started has no history, so the peer's level replaces its own if it is lower.
        """
        plan = self.customers.plan_by_number(name & 127)
        if plan is None:
            return
        customer = self.customers.get_or_create(now, name >> 7, plan)
        quarters = customer.record_peer_total(peer, total, new, -8 * self.settings.max_units, 8 * plan.burst)
        units = quarters / 4
        covered = min(max(0.0, customer.excess), max(0.0, units))  # already deducted by a total
        window = customer.window_at(now)
        customer.reported = units + customer.reported_in_window(window)
        customer.reported_window = window
        customer.excess -= covered
        # Usage in the total but not in `new` was in lost messages, which may be seconds old if messages are rare. The
        # bucket has refilled since and overflow took nothing, so late usage may empty it but not make it negative.
        lost = max(0.0, (quarters - new) / 4) if self.gossip is not None else 0.0
        late = min(lost, max(0.0, units - covered))
        customer.consume(now, units - covered - late)
        customer.level = max(customer.level - late, min(customer.level, 0.0))
        if not customer.level_confirmed and now - self.started_at < self.customers.retention:
            customer.level_confirmed = True
            customer.set_level(now, min(customer.headroom(now), level * plan.burst))

    def in_contact(self, now: float, customer: Customer, strict: bool = False) -> bool:
        """Return whether all ingresses of the customer's set are in contact, so that its bucket is known without calls.

        `strict`: require contact within `CONTACT_TIMEOUT_S` even while totals arrive.
        """
        if customer.owned:
            return True
        use_short_timeout = strict or self.counters.for_customer(now, customer).is_silent(now)
        if strict and now - self.started_at < CONTACT_TIMEOUT_S:  # give peers time for a first message
            return True
        if not self.notifier.limits.enabled or customer.has_share_below_unit():
            return False
        since = now - (CONTACT_TIMEOUT_S if use_short_timeout else CONTACT_TIMEOUT_WITH_TOTALS_S)
        peers = (i % self.settings.instances for i in range(customer.first, customer.first + customer.width))
        return all(
            i == self.settings.me
            or self.last_message_at[i] > since
            or (self.escrow is not None and self.escrow.has_shut_down(i))
            for i in peers
        )

    def is_level_assumed(self, now: float, customer: Customer) -> bool:
        """Return whether a bucket is only assumed full, because an earlier incarnation's state is lost."""
        if self.escrow is None or customer.level_confirmed:
            return False
        return now - self.started_at < customer.window_length and self.escrow.has_restarted()

    def knows_window(self, now: float, customer: Customer) -> bool:
        """Return whether all usage in the current window was admitted here or reported by peers."""
        if customer.owned or not self.in_contact(now, customer):
            return False
        return customer.created_at <= customer.window_at(now) * customer.window_length - customer.phase

    def knows_recent_usage(self, now: float, customer: Customer) -> bool:
        """Return whether all recent usage of the customer is known here.

        Either peers have reported it, or the customer comes through this ingress alone, and this ingress has run for
        two windows or uses a counter of its own.
        """
        if customer.owned:
            return True
        old_enough = now - self.started_at > 2 * customer.window_length
        instances = self.settings.instances
        alone = customer.width == 1 and customer.first % instances == self.settings.me % instances
        if alone and (self.settings.own_counter or old_enough):
            return True
        if not self.in_contact(now, customer):
            return False
        return customer.level_confirmed or old_enough or self.knows_window(now, customer)

    def release_stale_excess(self, now: float, customer: Customer) -> None:
        """Credit units of a total that no peer has reported in time: a charge that was reversed elsewhere."""
        if customer.excess > 0 and now - customer.excess_at > EXCESS_MAX_AGE_S and self.knows_window(now, customer):
            customer.set_level(now, customer.headroom(now) + customer.excess)
            customer.excess = 0.0
