"""Correction of customers' buckets by the counter's totals."""

from __future__ import annotations

from thistleusher.core.actions import Action, Log
from thistleusher.core.customer import Customer
from thistleusher.core.settings import Settings
from thistleusher.policy.usage_replication import UsageReplication

LOSS_TOLERANCE_REQUESTS = 2.0  # shortfall of a total against own added units, in largest requests, that is no loss yet
LOSS_LOG_S = 10.0  # minimum interval between log lines about lost counts
ASSUMED_LEVEL = 0.8  # fraction of the burst assumed to be left at the end of a window without history
ASSUMED_REFILL_S = 2.0  # longest time assumed for the refill of the remaining fraction, even at a low rate
LOCAL_SHARE_WEIGHT = 0.2  # weight of a new total in the moving share of usage that comes through this ingress


def carried_over(now: float, customer: Customer) -> float:
    """Return the level assumed for a customer without known history: what the last window left, plus refill."""
    burst = customer.plan.burst
    since = now + customer.phase - customer.window_at(now) * customer.window_length
    refill = max(customer.plan.rate, (1 - ASSUMED_LEVEL) * burst / ASSUMED_REFILL_S)
    return min(burst, ASSUMED_LEVEL * burst + refill * since)


class Totals:
    """Corrects buckets by totals: units in a total that are unknown here were admitted at other ingresses."""

    def __init__(self, settings: Settings, replication: UsageReplication, actions: list[Action]) -> None:
        self.settings = settings
        self.replication = replication
        self.actions = actions
        self.last_loss_at = 0.0  # time at which a count was last found to have lost units

    def apply(self, now: float, customer: Customer, window: int, units: float, total: float, charge: float) -> None:
        """Correct a bucket by a window's total after a call that added `units`, including a request's `charge`."""
        missed_windows = customer.window < window - 1
        no_history = missed_windows or (customer.window == window and not customer.continuous)
        if no_history and customer.has_share_below_unit() and not customer.owned:
            # Otherwise each of many ingresses would assume an almost full bucket in every window.
            customer.continuous = False
            customer.window = window
            customer.total = total
            customer.set_level(now, customer.plan.burst - total + charge)
            return
        customer.continuous = True
        if customer.window != window:
            self._begin_window(now, customer, window)
        shortfall = customer.acknowledged + units - total
        if customer.acknowledged > 0 and shortfall > LOSS_TOLERANCE_REQUESTS * self.settings.max_units:
            self._handle_lost_units(now, customer)
        customer.acknowledged += units
        customer.total = total
        if customer.doubtful > 0 and customer.doubtful_window == window and self.replication.in_contact(now, customer):
            self._resolve_unconfirmed(customer, window)
        local_share = min(1.0, max(0.0, customer.acknowledged) / max(total, 1e-9))
        customer.local_share += LOCAL_SHARE_WEIGHT * (local_share - customer.local_share)
        excess = max(0.0, total - customer.acknowledged - customer.reported_in_window(window))
        customer.set_level(now, customer.headroom(now) - (excess - customer.excess))
        customer.excess = excess
        customer.excess_at = now

    def _begin_window(self, now: float, customer: Customer, window: int) -> None:
        """Carry the level over into a window without a total so far."""
        if customer.window < window - 1 and not self.replication.knows_recent_usage(now, customer):
            # Without recent history, assume part of the burst as carried over, less what peers reported in this window.
            # The level known from earlier usage stays an upper bound.
            carried = carried_over(now, customer) - customer.reported_in_window(window)
            customer.set_level(now, min(customer.headroom(now), carried))
        elif customer.excess > 0 and self.replication.knows_window(now, customer):
            customer.set_level(now, customer.headroom(now) + customer.excess)
        customer.window = window
        customer.acknowledged = 0.0
        customer.excess = 0.0

    def _handle_lost_units(self, now: float, customer: Customer) -> None:
        """Queue the units that a count has lost to be reported again, as after a change of counter or early expiry.

        Totals no longer contain earlier usage, so the bucket follows own admissions and peers' reports instead.
        """
        lost = customer.acknowledged
        if now - self.last_loss_at > LOSS_LOG_S:
            self.actions.append(Log(f"counter forgets: {lost:.1f} units of a name are gone; they are told anew"))
        self.last_loss_at = now
        customer.mark_unreported()

    def _resolve_unconfirmed(self, customer: Customer, window: int) -> None:
        """Decide whether unanswered calls were counted. Requires that all other usage is known."""
        unknown = customer.total - customer.acknowledged - customer.reported_in_window(window)
        if unknown > customer.doubtful / 2:
            # No other ingress can have added these units: the unanswered calls were counted. Do not report them again.
            customer.acknowledged += customer.doubtful
            customer.pending -= customer.doubtful
        customer.doubtful = 0.0
