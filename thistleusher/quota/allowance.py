"""One ingress's part of one customer's allowance: its share, and the headroom that fills by it.

Headroom fills at share x rate up to share x burst. At an epoch's start shares are even again, and no headroom grows by
that. An ingress that starts within an epoch does not know what its earlier one gave: it is sure of its guaranteed
share, which nobody gives away, and holds the rest once it is reconciled with each peer of the set. Its headroom fills
from its start only, as its earlier incarnation may have spent all; a set that starts together has
`Terms.joint_start_burst` units between its ingresses besides. `quota.transfers` moves shares between ingresses.
"""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.quota.bootstrap import Bootstrap
from thistleusher.quota.reservations import Reservation, reservation_for
from thistleusher.quota.terms import WHOLE_SHARE, Terms, epoch_length, guaranteed_share


class Totals(NamedTuple):
    """What has gone one way between two ingresses in an epoch, as running totals."""

    share: int = 0
    grains: int = 0


NOTHING = Totals()


class Allowance:
    """Share and headroom of one ingress. Times in seconds of the one clock, headroom in units."""

    __slots__ = (
        "terms",
        "members",
        "next_members",
        "me",
        "bootstrap",
        "epoch_length",
        "epoch",
        "unreconciled",
        "earlier_net_share",
        "earlier_given_share",
        "share",
        "headroom",
        "at",
        "given",
        "taken",
        "last_demand_at",
        "last_used_at",
        "reservation",
        "last_asked",
    )

    def __init__(
        self,
        terms: Terms,
        members: tuple[int, ...],
        me: int,
        now: float,
        bootstrap: Bootstrap,
        spent: float,
        restored: float | None = None,
    ) -> None:
        """Begin to use the allowance here.

        members: the ingresses of the customer's set
        spent: units known to be gone of the whole allowance
        restored: headroom that a reservation of the earlier incarnation restores at this one's start; None without one
        """
        self.terms = terms
        self.members = members
        self.next_members = members  # of the next epoch
        self.me = me
        self.bootstrap = bootstrap
        self.epoch_length = epoch_length(terms)
        self.epoch = int(now // self.epoch_length)
        self.unreconciled = set[int]()  # peers of the set with whom this ingress is to reconcile to hold its share
        # By the balances of peers: share that earlier incarnations took less what they gave, and what they gave.
        self.earlier_net_share = 0
        self.earlier_given_share = 0
        self.share = 0  # parts of WHOLE_SHARE
        self.headroom = 0.0
        self.at = now  # up to when `headroom` is refilled
        self.given: dict[int, Totals] = {}
        self.taken: dict[int, Totals] = {}
        self.last_demand_at = now - 2 * self.epoch_length
        self.last_used_at = self.last_demand_at
        self.reservation: Reservation | None = None  # where headroom is recorded on disk
        self.last_asked = me  # an index into the other members; rotates, so that they are asked in turn
        self._begin(now, restored)
        unspent = terms.burst if self.is_wide() else self.fraction() * max(0.0, terms.burst - spent)
        self.headroom = min(self.headroom + (restored or 0.0), unspent, self.max_headroom())

    def _begin(self, now: float, restored: float | None) -> None:
        """Set share and headroom, by what is known of this ingress's start."""
        first_whole_epoch = int(self.bootstrap.started_at // self.epoch_length) + 1
        if not self.terms.strict:
            self._begin_lenient(now, restored)
        elif self.epoch < first_whole_epoch:
            self.unreconciled = {peer for peer in self.members if peer != self.me}
            self.share = self.guaranteed_share() if self.me in self.members else 0
            age = max(0.0, now - self.bootstrap.started_at)
            self.headroom = self.fraction() * self.terms.rate * age
            self.settle()
        else:
            self._begin_in_whole_epoch(now, first_whole_epoch * self.epoch_length)

    def _begin_lenient(self, now: float, restored: float | None) -> None:
        """Begin with the even share at once: service counts for more than the bound."""
        terms, bootstrap = self.terms, self.bootstrap
        self.share = self.even_share()
        starts_anew = not bootstrap.known_before and restored is None
        joint_start = terms.joint_start_burst if starts_anew else 0.0
        age = max(0.0, now - bootstrap.started_at)
        self.headroom = self.fraction() * (terms.rate * age + joint_start)
        if self.is_wide():  # a share under a unit would let nobody in: a request, once
            self.headroom = max(self.headroom, terms.min_burst)

    def _begin_in_whole_epoch(self, now: float, first_whole_epoch_at: float) -> None:
        """Begin with the even share: the epoch of this ingress's start is over."""
        terms, bootstrap = self.terms, self.bootstrap
        self.share = self.even_share()
        # What filled before the first whole epoch is this ingress's where it was reconciled with all by then.
        peers = (peer for peer in self.members if peer != self.me)
        reconciled = all(bootstrap.reconciled_by(peer, first_whole_epoch_at) for peer in peers)
        since = bootstrap.started_at if reconciled else first_whole_epoch_at
        joint_start = terms.joint_start_burst if bootstrap.started_together(self.members) else 0.0
        self.headroom = self.fraction() * (terms.rate * (now - since) + joint_start)

    def settle(self) -> None:
        """Look with whom this ingress has become reconciled; with all: add the rest of its share, and its headroom."""
        self.unreconciled = {p for p in self.unreconciled if not self.bootstrap.reconciled_by(p, self.at)}
        if self.unreconciled or self.me not in self.members:
            return
        own = self.even_share() - self.guaranteed_share()
        self.share = min(WHOLE_SHARE, self.share + max(0, own + self.earlier_net_share))
        # What was given to it may have filled a peer's headroom until then: only what it always had fills from its
        # start. A part that has been full since holds no more than its part of the burst.
        age = max(0.0, self.at - self.bootstrap.started_at)
        always_had = max(0, own - self.earlier_given_share) / WHOLE_SHARE
        self.headroom += always_had * min(self.terms.burst, self.terms.rate * age)
        if self.bootstrap.started_together(self.members):
            self.headroom += self.fraction() * self.terms.joint_start_burst
        self.headroom = min(self.headroom, self.max_headroom())

    def guaranteed_share(self) -> int:
        """Return what is left of the even share whatever was given."""
        return guaranteed_share(len(self.members)) if self.me in self.members else 1

    def even_share(self) -> int:
        """Return the share with which an epoch starts."""
        return WHOLE_SHARE // len(self.members) if self.me in self.members else 0

    def is_wide(self) -> bool:
        """Return whether an even share is less than a unit.

        Then each ingress lets in `min_burst` at once, or none of them anything.
        """
        return not self.terms.strict and len(self.members) > self.terms.burst

    def fraction(self) -> float:
        """Return the share, from 0 to 1."""
        return self.share / WHOLE_SHARE

    def max_headroom(self) -> float:
        """Return the headroom at most; `min_burst` lets a whole request through where the share is smaller than one."""
        return max(self.fraction() * self.terms.burst, self.terms.min_burst if self.share else 0.0)

    def advance(self, now: float) -> None:
        """Refill; at an epoch's start the shares are even again, and no headroom grows by that."""
        epoch = int(now // self.epoch_length)
        if epoch > self.epoch:
            self._refill((self.epoch + 1) * self.epoch_length)
            self.epoch = epoch
            self.members = self.next_members
            self.unreconciled.clear()
            self.share = self.even_share()
            self.given.clear()
            self.taken.clear()
            self.headroom = min(self.headroom, self.max_headroom())
        self._refill(now)
        if self.unreconciled:
            self.settle()

    def epoch_end(self) -> float:
        """Return when the present epoch ends."""
        return (self.epoch + 1) * self.epoch_length

    def _refill(self, now: float) -> None:
        if now > self.at:
            refill = self.fraction() * self.terms.rate * (now - self.at)
            self.headroom = min(self.max_headroom(), self.headroom + refill)
            self.at = now

    def admit(self, now: float, units: float) -> bool:
        """Spend the units if there is headroom for them; return whether there was."""
        self.advance(now)
        self.last_used_at = now
        if self.unreserved_headroom(now) < units:
            return False
        self.headroom -= units
        return True

    def unreserved_headroom(self, now: float) -> float:
        """Return the headroom that no record on disk promises to the next incarnation.

        A quota without a ceiling is not bound by records.
        """
        if self.reservation is None or not self.terms.strict:
            return self.headroom
        return self.headroom - self.reservation.reserved(now)

    def reserve(self, now: float) -> float:
        """Return the units to be recorded for the next incarnation; not to be spent until a lower record is on disk."""
        self.advance(now)
        if self.reservation is None:
            self.reservation = reservation_for(self.terms, len(self.members))
        return self.reservation.reserve(now, self.headroom if self.me in self.members else 0.0)

    def spend(self, now: float, units: float) -> None:
        """Take off units that were let in by another verdict; not below the burst's negative."""
        self.advance(now)
        self.headroom = min(self.max_headroom(), max(-self.terms.burst, self.headroom - units))

    def limit_to_unspent(self, now: float, spent: float) -> None:
        """Lower the headroom by what is known to be spent of the whole allowance; it is never raised."""
        self.advance(now)
        if self.is_wide():
            return  # a part of what is left is less than a request, whatever is spent: `min_burst` would be lost
        self.headroom = min(self.headroom, self.fraction() * max(0.0, self.terms.burst - spent))
