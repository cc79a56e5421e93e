"""Headroom reserved on disk for the next incarnation; it is not spent until a lower record is on disk.

An ingress that restarts within an epoch starts without headroom, because its earlier incarnation may have spent all.
With a state folder it may start with the headroom that the earlier incarnation cannot have spent. Recording each unit
before it is spent would cost one commit per request. Instead, a reservation records how much headroom is *not spent*:
at most half of the current headroom minus one large request, and at most `RESERVED_FRACTION` of the burst of the
guaranteed share. Headroom above the reservation is spent without any write.

Guarantee: at any time, the headroom of the running ingress is at least what each reservation that may be on disk
restores, i.e. the last committed one and the one in flight. So headroom after a kill is at most what it would have been
without the kill, and no unit is admitted twice, however often an ingress is killed and whichever commits are lost.

A reservation of `v` units at time `t` restores min(limit, v + guaranteed rate x time since t). The running ingress's
headroom refills at least as fast, because the guaranteed share is never given away. Cost: constant per request. Pure:
no I/O and no clock. The technique is the hi/lo allocation of identifiers, applied to units that are *not* to be used.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Protocol

from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota.terms import WHOLE_SHARE, AllowanceKey, Terms, guaranteed_share

RESERVED_FRACTION = 0.5  # maximum reservation as a fraction of the burst of the guaranteed share
HEADROOM_FRACTION = 0.5  # maximum reservation as a fraction of the current headroom

Record = tuple[float, float]  # units, at


class Reservation:
    """The records of one allowance's reserved headroom, in units; times are in seconds of the allowance's clock."""

    __slots__ = ("rate", "limit", "large_request", "committed", "in_flight")

    def __init__(self, rate: float, burst: float, large_request: float) -> None:
        """Create without records; `rate`, `burst`: those of the guaranteed share; `large_request` in units."""
        self.rate = rate
        self.limit = RESERVED_FRACTION * burst
        self.large_request = large_request
        self.committed: Record | None = None
        self.in_flight: Record | None = None  # handed over for writing, not confirmed yet

    def reserved(self, now: float) -> float:
        """Return the headroom that must not be spent."""
        return max(self.restorable(self.committed, now), self.restorable(self.in_flight, now))

    def restorable(self, record: Record | None, now: float) -> float:
        """Return the headroom in units that a record restores at `now`; a clock that was set back adds nothing."""
        if record is None:
            return 0.0
        units, at = record
        return min(self.limit, units + self.rate * max(0.0, now - at))

    def reserve(self, now: float, headroom: float) -> float:
        """Return the units to reserve from now on; the committed record also stays in effect until `confirm`."""
        units = max(0.0, min(self.limit, HEADROOM_FRACTION * headroom - self.large_request))
        self.in_flight = (units, now)
        return units

    def drop(self) -> None:
        """Discard the record in flight: it was not handed over for writing, so it will never be on disk."""
        self.in_flight = None

    def confirm(self) -> None:
        """Mark the record in flight as committed; it has replaced the earlier one on disk."""
        if self.in_flight is not None:
            self.committed = self.in_flight
            self.in_flight = None


def reservation_for(terms: Terms, width: int) -> Reservation:
    """Return an empty reservation of an allowance in a set of `width` ingresses."""
    fraction = guaranteed_share(width) / WHOLE_SHARE
    return Reservation(fraction * terms.rate, fraction * terms.burst, terms.prefetch_below)


class Reservable(Protocol):
    """What the tracker needs of an allowance."""

    at: float
    next_members: tuple[int, ...]
    reservation: Reservation | None

    def reserve(self, now: float) -> float:
        """Return the units to reserve from now on."""


class ReservationTracker:
    """Tracks reservations to record, and those of the earlier incarnation that have not been claimed yet."""

    def __init__(self) -> None:
        """Track nothing until `enable`."""
        # Allowances that changed since they were last recorded; None if there is no state folder.
        self._changed: dict[AllowanceKey, None] | None = None
        self._unclaimed: dict[AllowanceKey, SavedReservation] = {}  # reservations of the earlier incarnation
        self.evicted: dict[AllowanceKey, Reservation] = {}  # of evicted allowances; may still be on disk

    def enable(self) -> None:
        """Track changes from now on."""
        self._changed = {}

    def restore(self, reservations: Iterable[SavedReservation], plans: int) -> None:
        """Load the earlier incarnation's reservations; `plans`: number of plans in the settings."""
        self._unclaimed = {(r.plan, r.customer): r for r in reservations if r.plan < plans}

    def claim(self, key: AllowanceKey) -> SavedReservation | None:
        """Return and remove the earlier incarnation's reservation of an allowance; None if there is none."""
        return self._unclaimed.pop(key, None)

    def mark_changed(self, key: AllowanceKey) -> None:
        """Mark an allowance as changed, so that a new record is due."""
        if self._changed is not None:
            self._changed[key] = None

    def due(self, now: float, limit: int, allowances: Mapping[AllowanceKey, Reservable]) -> list[SavedReservation]:
        """Return reservations of up to `limit` changed allowances, at most one per allowance until it is committed."""
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
        """Record that an allowance's last record could not be handed over for writing; a new one becomes due."""
        if allowance is not None and allowance.reservation is not None:
            allowance.reservation.drop()
        self.mark_changed(key)

    def committed(self, keys: Iterable[AllowanceKey], allowances: Mapping[AllowanceKey, Reservable]) -> None:
        """Record that the last records of these allowances are on disk."""
        for key in keys:
            allowance = allowances.get(key)
            if allowance is None:
                self.evicted.pop(key, None)
            elif allowance.reservation is not None:
                allowance.reservation.confirm()
