"""State of one customer at one ingress: the quota as a token bucket that refills at the quota's rate.

This module holds the state and its arithmetic. Admission decisions are in `thistleusher.policy`.
"""

from __future__ import annotations

from thistleusher.core.datagrams import hash63
from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import SavedCustomer

SHORT_NAME_BYTES = 5  # length of a window's name in messages to peers


class Customer:
    """One customer's quota at one ingress. Amounts are in units of quota, times in Unix seconds.

    The counter service keeps one count per customer and window, the time in which a whole burst refills; its answer for
    a count is the total. The bucket (`level`) is corrected by totals and by peers' usage reports, which are in quarter
    units. The customer's ingress set are the ingresses that receive its requests.
    """

    __slots__ = (
        "key",
        "plan",
        "first",
        "width",
        "window_length",
        "phase",
        "created_at",
        "last_seen",
        "level",
        "level_at",
        "level_confirmed",
        "continuous",
        "owned",
        "window",
        "total",
        "acknowledged",
        "reported",
        "reported_window",
        "excess",
        "excess_at",
        "pending",
        "pending_in_flight",
        "in_flight",
        "doubtful",
        "doubtful_window",
        "admitted_quarters",
        "notified_quarters",
        "notified_by_peer",
        "peer_quarters",
        "local_share",
        "admitted_share",
        "_name_window",
        "_name",
    )

    def __init__(self, key: int, plan: PlanSettings, now: float) -> None:
        self.key = key
        self.plan = plan
        self.first = 0  # its ingress set: numbers `first` to `first + width - 1`, modulo the ingresses
        self.width = 1
        self.window_length = plan.burst / plan.rate if plan.rate > 0 else 1.0
        self.phase = hash63(key, 0) / (1 << 63) * self.window_length  # spreads the windows of customers in time
        self.created_at = now
        self.last_seen = now
        self.level = plan.burst  # units left at `level_at`; without history the bucket counts as full
        self.level_at = now
        self.level_confirmed = False  # by a peer after this ingress's start, or by a snapshot
        self.continuous = True  # the level carries over between windows; otherwise each window starts full
        self.owned = False  # this ingress owns the account, so all usage comes through it
        self.window = -1  # window number of the last total
        self.total = 0.0  # last total
        self.acknowledged = 0.0  # own units that the last total includes
        self.reported = 0.0  # units that peers have reported in `reported_window`
        self.reported_window = -1
        self.excess = 0.0  # units of the total beyond `acknowledged` and `reported`, already deducted from the level
        self.excess_at = 0.0  # time of the last total
        self.pending = 0.0  # own usage that no call has reported yet
        self.pending_in_flight = 0.0  # own pending usage in outstanding calls
        self.in_flight = 0.0  # charges in outstanding calls
        self.doubtful = 0.0  # units of timed-out calls in `doubtful_window`, which may have been added
        self.doubtful_window = -1
        self.admitted_quarters = 0  # quarter units admitted here
        self.notified_quarters = 0  # `admitted_quarters` as last sent to all peers
        self.notified_by_peer: dict[int, int] = {}  # `admitted_quarters` as last sent to each peer (gossip)
        self.peer_quarters: dict[int, int] = {}  # `admitted_quarters` of each peer as last received
        self.local_share = 0.0  # moving share of the customer's usage that comes through this ingress
        self.admitted_share = 1.0  # moving share of its requests that totals admitted
        self._name_window = -1
        self._name = 0

    def window_at(self, now: float) -> int:
        """Return the number of the window at a time."""
        return int((now + self.phase) // self.window_length)

    def count_name(self, now: float) -> int:
        """Return the name of the current window's count, cached per window."""
        window = self.window_at(now)
        if window != self._name_window:
            self._name_window = window
            self._name = hash63(self.key, window + 1)
        return self._name

    def short_name(self, now: float) -> bytes:
        """Return the count's name shortened for messages to peers."""
        return self.count_name(now).to_bytes(8)[:SHORT_NAME_BYTES]

    def has_share_below_unit(self) -> bool:
        """Return whether an even share of the burst between the ingresses of its set is below one unit."""
        return self.plan.wide(self.width)

    def headroom(self, now: float) -> float:
        """Return the units left: the level plus the refill since. Charges in flight are not deducted."""
        if not self.continuous:  # a fixed window: no refill within it, the whole burst in the next
            return self.level if self.window_at(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.level_at))

    def available(self, now: float) -> float:
        """Return the headroom less the charges in flight."""
        return self.headroom(now) - self.in_flight

    def reported_in_window(self, window: int) -> float:
        """Return the units that peers have reported in a window."""
        return self.reported if self.reported_window == window else 0.0

    def set_level(self, now: float, level: float) -> None:
        """Set the units left at a time."""
        self.level = level
        self.level_at = now

    def take_ownership(self, now: float) -> None:
        """Make this ingress the owner of the customer's account."""
        if not self.continuous:
            self.set_level(now, self.headroom(now))
            self.continuous = True
        self.owned = True

    def consume(self, now: float, units: float) -> None:
        """Deduct admitted units from the bucket."""
        if self.continuous:
            self.set_level(now, self.headroom(now) - units)
        else:
            self.level -= units

    def record_peer_total(self, peer: int, total: int, new: int, lowest: float, highest: float) -> int:
        """Record a peer's total and return the quarter units that it has admitted since its last report.

        The total, modulo 2^16, recovers lost reports. A difference outside `lowest` to `highest` quarter units shows
        that the peer has restarted, and `new` is returned instead.
        """
        quarters = (total - self.peer_quarters.get(peer, total - new) + 0x8000) % 0x10000 - 0x8000
        if not lowest <= quarters <= highest:
            quarters = new
        self.peer_quarters[peer] = total
        return quarters

    def add_unconfirmed(self, window: int, units: float) -> None:
        """Record units of a timed-out call in a window, which may or may not have been added."""
        earlier = self.doubtful if self.doubtful_window == window else 0.0
        self.doubtful = units + earlier
        self.doubtful_window = window

    def mark_unreported(self) -> None:
        """Queue all acknowledged units for the next call, because the count has lost them."""
        self.pending += self.acknowledged
        self.acknowledged = 0.0
        self.doubtful = 0.0
        self.excess = 0.0

    def to_saved(self) -> SavedCustomer:
        """Return the state for the next incarnation of this ingress.

        Units in outstanding calls may not have been counted, so they are saved both as pending and as doubtful.
        """
        doubtful = (self.doubtful if self.doubtful_window == self._name_window else 0.0) + self.pending_in_flight
        return SavedCustomer(
            key=self.key,
            plan=self.plan.name,
            level=self.level,
            at=self.level_at,
            window=self.window if self.continuous else -1,
            acknowledged=self.acknowledged,
            pending=self.pending + self.pending_in_flight,
            admitted_quarters=self.admitted_quarters,
            peer_quarters=dict(self.peer_quarters),
            reported=self.reported,
            reported_window=self.reported_window,
            excess=self.excess,
            doubtful=doubtful,
            doubtful_window=self._name_window,
        )

    def restore(self, saved: SavedCustomer) -> None:
        """Restore an earlier incarnation's state. It counts as confirmed, so no peer's level replaces it."""
        self.level = saved.level
        self.level_at = saved.at
        self.level_confirmed = True
        self.window = saved.window
        self.acknowledged = saved.acknowledged
        self.pending = saved.pending
        self.admitted_quarters = saved.admitted_quarters
        self.notified_quarters = saved.admitted_quarters
        self.peer_quarters = dict(saved.peer_quarters)
        self.reported = saved.reported
        self.reported_window = saved.reported_window
        self.excess = saved.excess
        self.excess_at = self.created_at
        self.doubtful = saved.doubtful  # the next total may show whether these units were added
        self.doubtful_window = saved.doubtful_window
