"""What one ingress knows of one customer: its quota as a leaky bucket that refills at the quota's rate.

The state and its arithmetic; what is admitted by it is decided in `thistleusher.policy`.
"""

from __future__ import annotations

from thistleusher.core.datagrams import hash63
from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import SavedCustomer

SHORT_NAME_BYTES = 5  # of a window's name, in messages to peers


class Customer:
    """What one ingress knows of one customer's quota. Amounts are units of quota, times Unix seconds.

    The counter service keeps a customer's count in windows of the time in which a whole burst refills; a total is what
    it answered of one. Here a bucket (`level`) is kept and corrected by totals and by the usage that peers report, in
    quarter units. The customer's set are the ingresses that its requests come to.
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
        "local_part",
        "admitted_share",
        "_name_window",
        "_name",
    )

    def __init__(self, key: int, plan: PlanSettings, now: float) -> None:
        self.key = key
        self.plan = plan
        self.first = 0  # the ingresses of its set are numbers `first` to `first + width - 1`
        self.width = 1
        self.window_length = plan.burst / plan.rate if plan.rate > 0 else 1.0
        self.phase = hash63(key, 0) / (1 << 63) * self.window_length  # customers' windows turn at different times
        self.created_at = now
        self.last_seen = now
        self.level = plan.burst  # units left at `level_at`; without history the bucket counts as full
        self.level_at = now
        self.level_confirmed = False  # by a peer, to an ingress that had only started, or by a snapshot
        self.continuous = True  # the level goes on from an earlier window; otherwise each window starts full
        self.owned = False  # all its usage comes through this ingress, the owner of its account
        self.window = -1  # the number of the last total's window
        self.total = 0.0  # the last total
        self.acknowledged = 0.0  # own units that the total contains
        self.reported = 0.0  # units that peers have reported in `reported_window`
        self.reported_window = -1
        self.excess = 0.0  # of the total over `acknowledged` and `reported`: others' units, taken off the level
        self.excess_at = 0.0
        self.pending = 0.0  # own usage that no call has taken to the count yet
        self.pending_in_flight = 0.0  # own usage that is on its way to the count
        self.in_flight = 0.0  # charges without a verdict
        self.doubtful = 0.0  # units of calls without an answer in `doubtful_window`: added, or not
        self.doubtful_window = -1
        self.admitted_quarters = 0  # admitted here
        self.notified_quarters = 0  # the same, as last sent to all peers
        self.notified_by_peer: dict[int, int] = {}  # the same, where peers are notified one by one
        self.peer_quarters: dict[int, int] = {}  # the same of each peer, as last received
        self.local_part = 0.0  # fraction of the customer's recent usage that came through here
        self.admitted_share = 1.0  # fraction of its recent requests that were admitted by a total
        self._name_window = -1
        self._name = 0

    def window_at(self, now: float) -> int:
        """Return the number of the window."""
        return int((now + self.phase) // self.window_length)

    def count_name(self, now: float) -> int:
        """Return the name of the window's count; it is hashed once a window."""
        window = self.window_at(now)
        if window != self._name_window:
            self._name_window = window
            self._name = hash63(self.key, window + 1)
        return self._name

    def short_name(self, now: float) -> bytes:
        """Return that name in few bytes, for peers."""
        return self.count_name(now).to_bytes(8)[:SHORT_NAME_BYTES]

    def is_wide(self) -> bool:
        """Return whether its set is so wide that an even share is less than a unit."""
        return self.plan.wide(self.width)

    def headroom(self, now: float) -> float:
        """Return the units left: the level and what has refilled since. Charges in flight still count as left."""
        if not self.continuous:  # a fixed window: no refill within it, the whole burst in the next
            return self.level if self.window_at(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.level_at))

    def available(self, now: float) -> float:
        """Return the headroom less the charges that wait for their verdict."""
        return self.headroom(now) - self.in_flight

    def reported_in(self, window: int) -> float:
        """Return the units that peers have reported in this window."""
        return self.reported if self.reported_window == window else 0.0

    def set_level(self, now: float, level: float) -> None:
        """Set the units left as of now."""
        self.level = level
        self.level_at = now

    def own(self, now: float) -> None:
        """Keep the customer's account at this ingress from now on."""
        if not self.continuous:
            self.set_level(now, self.headroom(now))
            self.continuous = True
        self.owned = True

    def consume(self, now: float, units: float) -> None:
        """Take admitted units off the bucket."""
        if self.continuous:
            self.set_level(now, self.headroom(now) - units)
        else:
            self.level -= units

    def peer_usage(self, peer: int, total: int, new: int, least: float, most: float) -> int:
        """Return the quarter units that a peer has admitted since its last report, and note its total.

        The total, modulo 2^16, makes up for lost reports. Where it gives less than `least` or more than `most` quarter
        units the peer has started anew, and `new` counts.
        """
        quarters = (total - self.peer_quarters.get(peer, total - new) + 0x8000) % 0x10000 - 0x8000
        if not least <= quarters <= most:
            quarters = new
        self.peer_quarters[peer] = total
        return quarters

    def add_doubtful(self, window: int, units: float) -> None:
        """Note units of a call without an answer in a window."""
        earlier = self.doubtful if self.doubtful_window == window else 0.0
        self.doubtful = units + earlier
        self.doubtful_window = window

    def report_again(self) -> None:
        """Have the next call add all own units that the count contained: the count has lost them."""
        self.pending += self.acknowledged
        self.acknowledged = 0.0
        self.doubtful = 0.0
        self.excess = 0.0

    def to_saved(self) -> SavedCustomer:
        """Return what the next incarnation can go on from.

        What is on its way to the count may not have arrived: it is saved as pending and as doubtful.
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
        """Go on from what an earlier incarnation knew. It counts as confirmed: no peer's level replaces it any more."""
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
        self.doubtful = saved.doubtful  # the next total may show whether it was added
        self.doubtful_window = saved.doubtful_window
