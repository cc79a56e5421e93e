"""The store of a customer: a leaky bucket that refills at the quota's rate, seen through totals."""

from __future__ import annotations

from thistleusher.core.datagrams import hash63
from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import SavedMember

UNKNOWN = 0.8   # of the burst that counts as left at the end of a window that nothing was seen of
GUESS_S = 2.0   # after which that is no longer held against a customer, however slowly its store refills


class Customer:
    """What one ingress knows of a customer's count: a refilling store, seen through totals."""

    __slots__ = ("key", "plan", "width", "first", "length", "phase", "window", "total", "told", "heard",
                 "heard_in", "excess", "excess_at", "mine", "mine_told", "theirs", "level", "at", "born",
                 "vouched", "seen", "named", "hashed",
                 "doubt", "doubted", "pending", "flying", "owing", "part", "known", "chance", "housed", "told_to")

    def __init__(self, key: int, plan: PlanSettings, now: float) -> None:
        self.key, self.plan, self.width = key, plan, 1
        self.length = plan.burst / plan.rate if plan.rate > 0 else 1.0
        self.phase = hash63(key, 0) / (1 << 63) * self.length  # windows of customers turn at different times
        self.window, self.total = -1, 0.0
        self.named, self.hashed = -1, 0
        self.doubt, self.doubted = 0.0, -1  # of calls without an answer in this window: added, or not
        self.told = 0.0  # own units that the total holds
        self.heard, self.heard_in = 0.0, -1  # what peers have told of, and in which window
        self.excess, self.excess_at = 0.0, 0.0  # of the total over both, taken off the level; since when
        self.mine, self.mine_told = 0, 0  # quarter units let in here, and as last told to peers
        self.theirs: dict[int, int] = {}  # the same of each peer
        self.level, self.at = plan.burst, now  # without history it counts as full
        self.first, self.born, self.seen = 0, now, now
        self.vouched = False  # a peer has told the level to this ingress, which had only begun
        self.pending, self.flying = 0.0, 0.0  # own use not in the count yet, and charges without a verdict
        self.owing = 0.0  # own use that is on its way to the count
        self.part = 0.0  # of the customer's recent use, what came through here
        self.housed = False  # all that it uses comes through this ingress, the home of its account
        self.told_to: dict[int, int] = {}  # `mine` as last told to each peer, where they are told one by one
        self.known, self.chance = True, 1.0  # carried on from an earlier window; share admitted of late

    def turn(self, now: float) -> int:
        """The number of the window."""
        return int((now + self.phase) // self.length)

    def name(self, now: float) -> int:
        """The name of the count of the window; hashed once a window."""
        turn = self.turn(now)
        if turn != self.named:
            self.named, self.hashed = turn, hash63(self.key, turn + 1)
        return self.hashed

    def short(self, now: float) -> bytes:
        """That name in few bytes, for peers."""
        return self.name(now).to_bytes(8)[:5]

    def room(self, now: float) -> float:
        """Units in the store, with all that is known to have been let in taken off."""
        if not self.known:  # a fixed window: no refill within it, the whole burst in the next
            return self.level if self.turn(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.at))

    def carried(self, now: float) -> float:
        """What is taken to be left of the window before, and has refilled since, where nothing is known of it."""
        since = now + self.phase - self.turn(now) * self.length
        refill = max(self.plan.rate, (1 - UNKNOWN) * self.plan.burst / GUESS_S)
        return min(self.plan.burst, UNKNOWN * self.plan.burst + refill * since)

    def saved(self) -> SavedMember:
        """What of it can be put back in another life; what is on its way to the count may not have come."""
        window = self.window if self.known else -1
        doubt = (self.doubt if self.doubted == self.named else 0.0) + self.owing
        return SavedMember(self.key, self.plan.name, self.level, self.at, window, self.told,
                              self.pending + self.owing, self.mine, dict(self.theirs), self.heard, self.heard_in,
                              self.excess, doubt, self.named)

    def restore(self, s: SavedMember) -> None:
        """Put back what another life knew: a peer's level does not stand in for it any more."""
        self.level, self.at, self.window, self.told, self.pending = s.level, s.at, s.window, s.told, s.pending
        self.mine = self.mine_told = s.mine
        self.theirs, self.vouched = dict(s.theirs), True
        self.heard, self.heard_in, self.excess, self.excess_at = s.heard, s.heard_in, s.excess, self.born
        self.doubt, self.doubted = s.doubt, s.doubted  # the next total may tell

    def house(self, now: float) -> None:
        """Its account is kept here from now on."""
        if not self.known:
            self.level, self.at, self.known = self.room(now), now, True
        self.housed = True

    def wide(self) -> bool:
        """Whether its set is so wide that an even share is less than a unit."""
        return self.plan.wide(self.width)

    def use(self, now: float, units: float) -> None:
        """Units were let in."""
        if self.known:
            self.level, self.at = self.room(now) - units, now
        else:
            self.level -= units
