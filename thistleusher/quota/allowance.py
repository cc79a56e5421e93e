"""One ingress's share of one customer's allowance, and its headroom: the units that it may still admit.

Headroom refills at share x rate, up to share x burst. At the start of an epoch all shares are reset to the even share;
the reset never increases headroom. An ingress that starts within an epoch does not know which shares its earlier
incarnation transferred. Until it is reconciled with every peer of the ingress set, it holds only its guaranteed share,
which is never transferred; then it also holds the remainder. Its headroom refills from its own start only, because the
earlier incarnation may have spent everything before that. If all ingresses of a set start together, they also get
`Terms.simultaneous_start_burst` units between them. `quota.transfers` moves shares between ingresses.
"""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.quota.bootstrap import Bootstrap
from thistleusher.quota.reservations import Reservation, reservation_for
from thistleusher.quota.terms import WHOLE_SHARE, Terms, epoch_length, guaranteed_share


class TransferTotals(NamedTuple):
    """Running totals of the share and headroom transferred in one direction between two ingresses in one epoch."""

    share: int = 0
    grains: int = 0


NO_TRANSFERS = TransferTotals()


class Allowance:
    """Share and headroom of one ingress. Times are in seconds of the shared clock, headroom is in units."""

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
        "given_totals",
        "received_totals",
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
        restored_headroom: float | None = None,
    ) -> None:
        """Create the local state of an allowance.

        members: the ingresses of the customer's ingress set
        spent: units of the whole allowance that are known to be spent
        restored_headroom: headroom restored at this incarnation's start from a reservation of the earlier one; None if
            there is no reservation
        """
        self.terms = terms
        self.members = members
        self.next_members = members  # the ingress set from the next epoch on
        self.me = me
        self.bootstrap = bootstrap
        self.epoch_length = epoch_length(terms)
        self.epoch = int(now // self.epoch_length)
        self.unreconciled = set[int]()  # peers to reconcile with before this ingress holds its even share
        # Reported in peers' balances: share that earlier incarnations received minus share that they gave, and the
        # share that they gave.
        self.earlier_net_share = 0
        self.earlier_given_share = 0
        self.share = 0  # numerator over WHOLE_SHARE
        self.headroom = 0.0
        self.at = now  # time of the last refill of `headroom`
        self.given_totals: dict[int, TransferTotals] = {}
        self.received_totals: dict[int, TransferTotals] = {}
        self.last_demand_at = now - 2 * self.epoch_length
        self.last_used_at = self.last_demand_at
        self.reservation: Reservation | None = None  # None until headroom is first recorded on disk
        self.last_asked = me  # index into the other members; rotates so that demands go to them in turn
        self._begin(now, restored_headroom)
        unspent = terms.burst if self.even_share_below_unit() else self.fraction() * max(0.0, terms.burst - spent)
        self.headroom = min(self.headroom + (restored_headroom or 0.0), unspent, self.max_headroom())

    def _begin(self, now: float, restored_headroom: float | None) -> None:
        """Set the initial share and headroom from what is known about this ingress's start."""
        first_whole_epoch = int(self.bootstrap.started_at // self.epoch_length) + 1
        if not self.terms.strict:
            self._begin_lenient(now, restored_headroom)
        elif self.epoch < first_whole_epoch:
            self.unreconciled = {peer for peer in self.members if peer != self.me}
            self.share = self.guaranteed_share() if self.me in self.members else 0
            age = max(0.0, now - self.bootstrap.started_at)
            self.headroom = self.fraction() * self.terms.rate * age
            self.update_unreconciled()
        else:
            self._begin_in_whole_epoch(now, first_whole_epoch * self.epoch_length)

    def _begin_lenient(self, now: float, restored_headroom: float | None) -> None:
        """Start with the even share immediately: for these plans availability has priority over the bound."""
        terms, bootstrap = self.terms, self.bootstrap
        self.share = self.even_share()
        starts_anew = not bootstrap.peer_knew_earlier and restored_headroom is None
        start_burst = terms.simultaneous_start_burst if starts_anew else 0.0
        age = max(0.0, now - bootstrap.started_at)
        self.headroom = self.fraction() * (terms.rate * age + start_burst)
        if self.even_share_below_unit():  # a share below one unit would admit nothing, so allow one request
            self.headroom = max(self.headroom, terms.min_burst)

    def _begin_in_whole_epoch(self, now: float, first_whole_epoch_at: float) -> None:
        """Start with the even share: the epoch in which this ingress started is over."""
        terms, bootstrap = self.terms, self.bootstrap
        self.share = self.even_share()
        # The refill before the first whole epoch counts only if this ingress was reconciled with all peers by then.
        peers = (peer for peer in self.members if peer != self.me)
        reconciled = all(bootstrap.reconciled_by(peer, first_whole_epoch_at) for peer in peers)
        since = bootstrap.started_at if reconciled else first_whole_epoch_at
        start_burst = terms.simultaneous_start_burst if bootstrap.started_together(self.members) else 0.0
        self.headroom = self.fraction() * (terms.rate * (now - since) + start_burst)

    def update_unreconciled(self) -> None:
        """Drop reconciled peers from `unreconciled`; when none is left, add the rest of the share and its headroom."""
        self.unreconciled = {p for p in self.unreconciled if not self.bootstrap.reconciled_by(p, self.at)}
        if self.unreconciled or self.me not in self.members:
            return
        transferable = self.even_share() - self.guaranteed_share()
        self.share = min(WHOLE_SHARE, self.share + max(0, transferable + self.earlier_net_share))
        # Share that peers gave to this ingress may have refilled a peer's headroom before the transfer, so only share
        # that never left this ingress counts from its start. That refill is capped at the same share of the burst.
        age = max(0.0, self.at - self.bootstrap.started_at)
        never_given_fraction = max(0, transferable - self.earlier_given_share) / WHOLE_SHARE
        self.headroom += never_given_fraction * min(self.terms.burst, self.terms.rate * age)
        if self.bootstrap.started_together(self.members):
            self.headroom += self.fraction() * self.terms.simultaneous_start_burst
        self.headroom = min(self.headroom, self.max_headroom())

    def guaranteed_share(self) -> int:
        """Return the part of the even share that is never transferred."""
        return guaranteed_share(len(self.members)) if self.me in self.members else 1

    def even_share(self) -> int:
        """Return the share held at the start of an epoch."""
        return WHOLE_SHARE // len(self.members) if self.me in self.members else 0

    def even_share_below_unit(self) -> bool:
        """Return whether the even share of the burst is less than one unit.

        In that case each ingress may admit `min_burst` at once; otherwise none of them could admit anything.
        """
        return not self.terms.strict and len(self.members) > self.terms.burst

    def fraction(self) -> float:
        """Return the share as a fraction from 0 to 1."""
        return self.share / WHOLE_SHARE

    def max_headroom(self) -> float:
        """Return the maximum headroom; at least `min_burst`, so that a small share still admits a whole request."""
        return max(self.fraction() * self.terms.burst, self.terms.min_burst if self.share else 0.0)

    def advance(self, now: float) -> None:
        """Refill headroom up to `now`; at an epoch's start, reset the share to even without increasing headroom."""
        epoch = int(now // self.epoch_length)
        if epoch > self.epoch:
            self._refill((self.epoch + 1) * self.epoch_length)
            self.epoch = epoch
            self.members = self.next_members
            self.unreconciled.clear()
            self.share = self.even_share()
            self.given_totals.clear()
            self.received_totals.clear()
            self.headroom = min(self.headroom, self.max_headroom())
        self._refill(now)
        if self.unreconciled:
            self.update_unreconciled()

    def epoch_end(self) -> float:
        """Return the time at which the current epoch ends."""
        return (self.epoch + 1) * self.epoch_length

    def _refill(self, now: float) -> None:
        if now > self.at:
            refill = self.fraction() * self.terms.rate * (now - self.at)
            self.headroom = min(self.max_headroom(), self.headroom + refill)
            self.at = now

    def admit(self, now: float, units: float) -> bool:
        """Spend the units if the unreserved headroom covers them; return whether it did."""
        self.advance(now)
        self.last_used_at = now
        if self.unreserved_headroom(now) < units:
            return False
        self.headroom -= units
        return True

    def unreserved_headroom(self, now: float) -> float:
        """Return the headroom that is not reserved on disk for the next incarnation.

        Reservations do not limit a quota without a ceiling.
        """
        if self.reservation is None or not self.terms.strict:
            return self.headroom
        return self.headroom - self.reservation.reserved(now)

    def reserve(self, now: float) -> float:
        """Return the units to record for the next incarnation; they stay unspent until a lower record is on disk."""
        self.advance(now)
        if self.reservation is None:
            self.reservation = reservation_for(self.terms, len(self.members))
        return self.reservation.reserve(now, self.headroom if self.me in self.members else 0.0)

    def spend(self, now: float, units: float) -> None:
        """Subtract units that were admitted without the escrow; headroom does not fall below -burst."""
        self.advance(now)
        self.headroom = min(self.max_headroom(), max(-self.terms.burst, self.headroom - units))

    def limit_to_unspent(self, now: float, spent: float) -> None:
        """Cap the headroom at this ingress's share of the unspent allowance; headroom is never raised."""
        self.advance(now)
        if self.even_share_below_unit():
            return  # a share of the unspent units is always below one request, so the cap would remove `min_burst`
        self.headroom = min(self.headroom, self.fraction() * max(0.0, self.terms.burst - spent))
