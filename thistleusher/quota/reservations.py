"""Headroom reserved for the next incarnation: recorded on disk, and not spent before a lower record is there.

An ingress that is killed within an epoch starts from empty, as its earlier incarnation may have spent all. With a state
folder it may start with what that incarnation cannot have spent. Recording each unit ahead of its answer would cost a
commit a request; so a reservation says how much headroom is *left alone*: at most half of what is there less one large
request, and never more than `RESERVED_FRACTION` of what the ingress is always sure of. What is above it is spent
without any write.

Guaranteed: at every moment the headroom of the living allowance is at least what each reservation that may be on disk
restores, the last committed one and the one in flight. So headroom after a kill is at most what it would have been
without it, and nothing is admitted twice, however often an ingress is killed and whatever the last commit lost.

How. A reservation of `v` units at time `t` restores min(limit, v + guaranteed rate x time since t): the living headroom
refills at least as fast, as the guaranteed share is never given away. Cost: constant a request; no I/O and no clock
here. Source: reservation by leases of numbers ahead ("hi/lo"), here of units that are *not* to be used.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Protocol

from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota.terms import WHOLE_SHARE, AllowanceKey, Terms, guaranteed_share

RESERVED_FRACTION = 0.5  # of the burst that an ingress is always sure of, that is left alone at most
HEADROOM_FRACTION = 0.5  # of the present headroom, that is left alone at most

Record = tuple[float, float]  # units, at


class Reservation:
    """The records of one allowance's reserved headroom, in units; times in seconds of the allowance's clock."""

    __slots__ = ("rate", "limit", "large_request", "committed", "in_flight")

    def __init__(self, rate: float, burst: float, large_request: float) -> None:
        """`rate`, `burst`: of what the ingress is always sure of; `large_request` in units."""
        self.rate = rate
        self.limit = RESERVED_FRACTION * burst
        self.large_request = large_request
        self.committed: Record | None = None
        self.in_flight: Record | None = None  # not known to be on disk yet

    def reserved(self, now: float) -> float:
        """Return the headroom that must not be spent."""
        return max(self.restored(self.committed, now), self.restored(self.in_flight, now))

    def restored(self, record: Record | None, now: float) -> float:
        """Return what a record is worth by now; a clock that was set back adds nothing."""
        if record is None:
            return 0.0
        units, at = record
        return min(self.limit, units + self.rate * max(0.0, now - at))

    def reserve(self, now: float, headroom: float) -> float:
        """Return the units to be left alone from now on, beside the last record's until `confirm`."""
        units = max(0.0, min(self.limit, HEADROOM_FRACTION * headroom - self.large_request))
        self.in_flight = (units, now)
        return units

    def drop(self) -> None:
        """Forget the record in flight: it was not handed over, so it will never be on disk."""
        self.in_flight = None

    def confirm(self) -> None:
        """Take the record in flight for committed; the one before it is on disk no more."""
        if self.in_flight is not None:
            self.committed = self.in_flight
            self.in_flight = None


def reservation_for(terms: Terms, width: int) -> Reservation:
    """Return an empty reservation of an allowance in a set of `width` ingresses."""
    fraction = guaranteed_share(width) / WHOLE_SHARE
    return Reservation(fraction * terms.rate, fraction * terms.burst, terms.prefetch_below)


class Reservable(Protocol):
    """What the tracker asks of an allowance."""

    at: float
    next_members: tuple[int, ...]
    reservation: Reservation | None

    def reserve(self, now: float) -> float:
        """Return the units to be left alone from now on."""


class ReservationTracker:
    """Which reservations are to be recorded, and those of the earlier incarnation that are not claimed yet."""

    def __init__(self) -> None:
        """Track nothing until `enable`."""
        self._changed: dict[AllowanceKey, None] | None = None  # since they were last recorded; None: nothing is saved
        self._unclaimed: dict[AllowanceKey, SavedReservation] = {}  # of the earlier incarnation
        self.forgotten: dict[AllowanceKey, Reservation] = {}  # of forgotten allowances; may still be on disk

    def enable(self) -> None:
        """Track changes from now on."""
        self._changed = {}

    def restore(self, reservations: Iterable[SavedReservation], plans: int) -> None:
        """Take in the earlier incarnation's reservations; `plans`: number of plans in the settings."""
        self._unclaimed = {(r.plan, r.customer): r for r in reservations if r.plan < plans}

    def claim(self, key: AllowanceKey) -> SavedReservation | None:
        """Return what the earlier incarnation reserved of an allowance, once."""
        return self._unclaimed.pop(key, None)

    def mark_changed(self, key: AllowanceKey) -> None:
        """Note that an allowance's headroom has changed: a new record is due."""
        if self._changed is not None:
            self._changed[key] = None

    def due(self, now: float, limit: int, allowances: Mapping[AllowanceKey, Reservable]) -> list[SavedReservation]:
        """Return reservations of up to `limit` changed allowances; of each one at a time, until it is committed."""
        due: list[SavedReservation] = []
        in_flight: list[AllowanceKey] = []
        changed = self._changed if self._changed is not None else {}
        for key in list(islice(changed, limit)):
            del changed[key]
            allowance = allowances.get(key)
            if allowance is None:
                due.append(SavedReservation(*key, 0, 1, 0.0, -math.inf))
            elif allowance.reservation is not None and allowance.reservation.in_flight is not None:
                in_flight.append(key)
            else:
                members = allowance.next_members
                units = allowance.reserve(now)
                due.append(SavedReservation(*key, members[0], len(members), units, allowance.at))
        for key in in_flight:
            self.mark_changed(key)
        return due

    def dropped(self, key: AllowanceKey, allowance: Reservable | None) -> None:
        """Note that the last record of an allowance could not be handed over; another one will be due."""
        if allowance is not None and allowance.reservation is not None:
            allowance.reservation.drop()
        self.mark_changed(key)

    def committed(self, keys: Iterable[AllowanceKey], allowances: Mapping[AllowanceKey, Reservable]) -> None:
        """Note that the last records of these allowances are on disk."""
        for key in keys:
            allowance = allowances.get(key)
            if allowance is None:
                self.forgotten.pop(key, None)
            elif allowance.reservation is not None:
                allowance.reservation.confirm()
