"""What the counter's totals say of a customer's bucket."""

from __future__ import annotations

from thistleusher.core.actions import Action, Log
from thistleusher.core.customer import Customer
from thistleusher.core.settings import Settings
from thistleusher.policy.usage_replication import UsageReplication

LOSS_REQUESTS = 2.0  # most units, in largest requests, by which a total may be below what was added here
LOSS_LOG_S = 10.0  # between log lines about that
ASSUMED_LEVEL = 0.8  # of the burst that counts as left at the end of a window that nothing was seen of
ASSUMED_REFILL_S = 2.0  # in which the rest is taken to refill at the latest, however slow the quota's rate
LOCAL_PART_WEIGHT = 0.2  # of a new total in the part of a customer's usage that comes through here


def carried_over(now: float, customer: Customer) -> float:
    """Return what is assumed to be left of the previous window, and refilled since, if nothing is known of it."""
    burst = customer.plan.burst
    since = now + customer.phase - customer.window_at(now) * customer.window_length
    refill = max(customer.plan.rate, (1 - ASSUMED_LEVEL) * burst / ASSUMED_REFILL_S)
    return min(burst, ASSUMED_LEVEL * burst + refill * since)


class Totals:
    """Corrects buckets by totals: what a total contains beyond what is known here was admitted elsewhere."""

    def __init__(self, settings: Settings, replication: UsageReplication, actions: list[Action]) -> None:
        self.settings = settings
        self.replication = replication
        self.actions = actions
        self.last_loss = 0.0  # when a count was last found to have lost units

    def apply(self, now: float, customer: Customer, window: int, units: float, total: float, charge: float) -> None:
        """Correct a bucket by the total of a window, after a call that added `units`, `charge` of them a request's."""
        missed_windows = customer.window < window - 1
        no_history = missed_windows or (customer.window == window and not customer.continuous)
        if no_history and customer.is_wide() and not customer.owned:
            # Each ingress would assume most of a bucket to be left, anew in every window.
            customer.continuous = False
            customer.window = window
            customer.total = total
            customer.set_level(now, customer.plan.burst - total + charge)
            return
        customer.continuous = True
        if customer.window != window:
            self._begin_window(now, customer, window)
        missing = customer.acknowledged + units - total
        if customer.acknowledged > 0 and missing > LOSS_REQUESTS * self.settings.max_units:
            self._report_again(now, customer)
        customer.acknowledged += units
        customer.total = total
        if customer.doubtful > 0 and customer.doubtful_window == window and self.replication.in_touch(now, customer):
            self._resolve_doubt(customer, window)
        part = min(1.0, max(0.0, customer.acknowledged) / max(total, 1e-9))
        customer.local_part += LOCAL_PART_WEIGHT * (part - customer.local_part)
        excess = max(0.0, total - customer.acknowledged - customer.reported_in(window))
        customer.set_level(now, customer.headroom(now) - (excess - customer.excess))
        customer.excess = excess
        customer.excess_at = now

    def _begin_window(self, now: float, customer: Customer, window: int) -> None:
        """Carry the level over into a window that no total has come of."""
        if customer.window < window - 1 and not self.replication.knows_recent_usage(now, customer):
            # No history here: a part of the burst is taken as carried over, less what peers have reported since; what
            # was admitted or reported before stays known.
            carried = carried_over(now, customer) - customer.reported_in(window)
            customer.set_level(now, min(customer.headroom(now), carried))
        elif customer.excess > 0 and self.replication.knows_window(now, customer):
            customer.set_level(now, customer.headroom(now) + customer.excess)
        customer.window = window
        customer.acknowledged = 0.0
        customer.excess = 0.0

    def _report_again(self, now: float, customer: Customer) -> None:
        """Have the units that a count has lost reported again: it is another counter's, or its name was cut short.

        Its totals say nothing of what came before: the bucket goes on by what was admitted here and what peers report.
        """
        lost = customer.acknowledged
        if now - self.last_loss > LOSS_LOG_S:
            self.actions.append(Log(f"counter forgets: {lost:.1f} units of a name are gone; they are told anew"))
        self.last_loss = now
        customer.report_again()

    def _resolve_doubt(self, customer: Customer, window: int) -> None:
        """Decide whether calls without an answer were counted, where all other usage is known."""
        unknown = customer.total - customer.acknowledged - customer.reported_in(window)
        if unknown > customer.doubtful / 2:
            # Nobody else can have added so much: those units are in the count, and are not reported again.
            customer.acknowledged += customer.doubtful
            customer.pending -= customer.doubtful
        customer.doubtful = 0.0
