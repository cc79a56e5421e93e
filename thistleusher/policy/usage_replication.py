"""Usage replication among ingresses: customers' buckets here, kept in step with those at the peers.

Guarantee: a unit that a peer reports, or a total shows, comes off the bucket once, whichever is known first.
Cost: constant a request; a notification costs in proportion to the customers admitted since the last one.
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

PRESENCE_S = 0.4  # without a notification, after which an ingress answers peers that it is there
TOUCH_S = 1.0  # without a message, after which a peer counts as out of touch while the counter is down
AWAY_S = 60.0  # the same while totals come: they show its usage, and it is likely to be restarting
EXCESS_S = 0.3  # after which units of a total that no peer has reported were a charge that was added back


@dataclass(eq=False, repr=False)
class UsageReplication:
    """The buckets of all customers at one ingress; with `gossip` not every peer gets every update."""

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
        self.last_heard = dict.fromkeys(range(settings.instances), 0.0)  # from each peer

    def owner_of(self, now: float, customer: Customer) -> int | None:
        """Return the ingress that owns the account of a customer with a wide set; None where each ingress decides.

        A ceiling has no owner: while owners change its headroom could be had twice.
        """
        if self.gossip is None or not customer.is_wide() or customer.plan.ceiling_rate > 0:
            return None
        return self.gossip.owner(now, customer.key, customer.first, customer.width)

    def admit(self, now: float, customer: Customer, units: float, charge: Charge | None = None) -> None:
        """Take units that were admitted here off the bucket, and have peers notified."""
        customer.consume(now, units)
        self.customers.mark_changed(customer)
        if self.escrow is not None and not (charge is not None and charge.from_escrow):
            self.escrow.spend(now, self.plan_numbers[customer.plan.name], customer.key, units)
        if charge is not None:
            charge.consumed = units
        self.notifier.usage_changed(now, customer, units, lazy=charge is None)

    def reconcile(self, now: float, charge: Charge, units: float) -> None:
        """Correct what a request was charged by so many units, where its customer's account is kept."""
        customer = charge.customer
        if charge.owner is not None and self.gossip is not None:
            self.gossip.reconcile(charge.owner, customer.key, self.plan_numbers[customer.plan.name], units)
            return
        customer.pending += units
        self.admit(now, customer, units)

    def admit_from_share(self, now: float, customer: Customer, units: float) -> bool:
        """Return whether this ingress's own share of the allowance admits units; if not, ask peers for theirs."""
        if self.escrow is None:
            return True
        plan = self.plan_numbers[customer.plan.name]
        spent = max(0.0, customer.plan.burst - customer.headroom(now))  # of a ceiling no more: it refills faster
        admitted = self.escrow.admit(now, plan, customer.key, customer.first, customer.width, units, spent)
        if not admitted:
            self.notifier.send_demands(now)
            self.notifier.notify_due = True  # what is not sent now goes with the next notification
        return admitted

    def peer_message_received(self, now: float, message: events.PeerMessage) -> None:
        """Take in a peer's usage, shares, or the name of a window that is used up."""
        sender, payload = message
        self.last_heard[sender] = now
        mark = payload[:1]
        has_usage = mark == USAGE_MARK and len(payload) > 1
        if self.gossip is not None:
            self.gossip.record_message(now, sender, has_usage)
        if mark == USAGE_MARK and len(payload) % USAGE_ENTRY.size == 1 and self.notifier.limits.enabled:
            quiet = now - self.notifier.last_notified > PRESENCE_S
            self.notifier.notify_due |= self.gossip is None and has_usage and quiet
            for name, total, new, level in USAGE_ENTRY.iter_unpack(payload[1:]):
                self.merge_usage(now, sender, int.from_bytes(name), total, new, level / LEVEL_STEPS)
        elif self.escrow is not None and mark in ESCROW_MARKS:
            self.notifier.send((sender, answer) for answer in self.escrow.receive(now, sender, payload))
        else:
            self.exhausted.record(now, payload, self.customers.retention)

    def merge_usage(self, now: float, peer: int, name: int, total: int, new: int, level: float) -> None:
        """Take a customer's usage at a peer off its bucket.

        The peer's total, modulo 2^16, makes up for lost messages, unless the peer has started anew. An ingress that has
        only started itself knows nothing of what went before: the peer's level replaces its own.
        """
        plan = self.customers.plan_of(name & 127)
        if plan is None:
            return
        customer = self.customers.see(now, name >> 7, plan)
        quarters = customer.peer_usage(peer, total, new, -8 * self.settings.max_units, 8 * plan.burst)
        units = quarters / 4
        covered = min(max(0.0, customer.excess), max(0.0, units))  # a total has shown that much of it already
        window = customer.window_at(now)
        customer.reported = units + customer.reported_in(window)
        customer.reported_window = window
        customer.excess -= covered
        # What only the total reports came in messages that were lost; where messages are few that is seconds ago. The
        # bucket has refilled since, and what went beyond it took nothing: it can be empty for that, but not in debt.
        lost = max(0.0, (quarters - new) / 4) if self.gossip is not None else 0.0
        late = min(lost, max(0.0, units - covered))
        customer.consume(now, units - covered - late)
        customer.level = max(customer.level - late, min(customer.level, 0.0))
        if not customer.level_confirmed and now - self.started_at < self.customers.retention:
            customer.level_confirmed = True
            customer.set_level(now, min(customer.headroom(now), level * plan.burst))

    def in_touch(self, now: float, customer: Customer, strict: bool = False) -> bool:
        """Return whether all ingresses of the customer's set are heard from: the bucket is known without calls.

        `strict`: within the shorter time also while totals come.
        """
        if customer.owned:
            return True
        short = strict or self.counters.of_customer(now, customer).is_silent(now)
        if strict and now - self.started_at < TOUCH_S:  # peers are given time to say that they are there
            return True
        if not self.notifier.limits.enabled or customer.is_wide():
            return False
        since = now - (TOUCH_S if short else AWAY_S)
        peers = (i % self.settings.instances for i in range(customer.first, customer.first + customer.width))
        return all(
            i == self.settings.me
            or self.last_heard[i] > since
            or (self.escrow is not None and self.escrow.has_shut_down(i))
            for i in peers
        )

    def is_level_assumed(self, now: float, customer: Customer) -> bool:
        """Return whether a bucket counts as full here only because an earlier incarnation's knowledge is gone."""
        if self.escrow is None or customer.level_confirmed:
            return False
        return now - self.started_at < customer.window_length and self.escrow.has_restarted()

    def knows_window(self, now: float, customer: Customer) -> bool:
        """Return whether all that the present window's total contains was admitted here or reported by peers."""
        if customer.owned or not self.in_touch(now, customer):
            return False
        return customer.created_at <= customer.window_at(now) * customer.window_length - customer.phase

    def knows_recent_usage(self, now: float, customer: Customer) -> bool:
        """Return whether all that the customer has used of late must be known here.

        Peers would have reported it; or it came through here alone, and this ingress, or a counter of its own, is old
        enough to know it.
        """
        if customer.owned:
            return True
        old_enough = now - self.started_at > 2 * customer.window_length
        instances = self.settings.instances
        alone = customer.width == 1 and customer.first % instances == self.settings.me % instances
        if alone and (self.settings.own_counter or old_enough):
            return True
        if not self.in_touch(now, customer):
            return False
        return customer.level_confirmed or old_enough or self.knows_window(now, customer)

    def release_stale_excess(self, now: float, customer: Customer) -> None:
        """Put back what a total contained and no peer has reported since: a charge that was added back."""
        if customer.excess > 0 and now - customer.excess_at > EXCESS_S and self.knows_window(now, customer):
            customer.set_level(now, customer.headroom(now) + customer.excess)
            customer.excess = 0.0
