"""What a stored record is still worth after an absence: pure functions, by the rules stated here.

1. A bucket refills while nobody looks: `level` at `at` says it all as long as the clock has gone on. Where the clock
   was set back, no time counts as passed; where it was set forward, that time counts, which is the clock's fault.
2. What peers admitted meanwhile is in their running totals: with the last ones received, the next update makes up for
   all of it. A level that a peer reports replaces a record only for a member that this ingress knows nothing of.
3. What no count includes yet is written back once, by this incarnation, unless the folder is a copy, whose original
   may have written it. A unit that was on its way to the count at the kill may be in it: it is uncertain, and the next
   total of the same window shows it where nobody else can have added as much. Otherwise it is counted twice: the member
   may get that much less, never more.
4. Where a plan has changed, the units that were used stay used: they come off the new burst.
5. A reservation is worth what `quota.reservations` says, and only under the terms that it was noted under; in a copied
   folder it is worth nothing, as the original may be alive and spend it.
6. What was learned of backends ages: speeds for ten minutes, faults and ejections while they could still hold. After
   the clock was set back only the speeds are believed. Only the same process of a backend is meant.
7. An endpoint list serves until discovery answers, for a minute at most; a drained server stays in it for a second.
8. A record older than the time after which the member would have been forgotten says nothing: its bucket is full.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import Learned, LearnedBackend, SavedCustomer, SavedReservation
from thistleusher.state.records import EndpointListRecord, IncarnationRecord, MemberRecord, ReservationRecord

SPEEDS_MAX_AGE_S = 600.0  # for which learned speeds say something
FAULTS_DECAY_S = 10.0  # time constant with which learned faults fade
ENDPOINT_LIST_MAX_AGE_S = 60.0  # for which an endpoint list and the learned concurrency say something
MAX_UNITS = 1e12  # of any figure in a record; beyond it the record is not believed
UNKNOWN_WINDOW = -1


@dataclass(slots=True)
class RecoveredMembers:
    """Members to be restored into the decision module, and how many records were skipped, by reason."""

    members: list[SavedCustomer] = field(default_factory=list)
    skipped: dict[str, int] = field(default_factory=dict)

    def skip(self, reason: str) -> None:
        """Count a record that is not restored."""
        self.skipped[reason] = self.skipped.get(reason, 0) + 1


def recover_members(
    now: float,
    records: Iterable[MemberRecord],
    plans: Mapping[str, PlanSettings],
    retention: float,
    is_copy: bool = False,
) -> RecoveredMembers:
    """Return the members that can be restored.

    retention: seconds after which the decision module forgets a quiet member
    is_copy: the folder is a copy of another ingress's
    """
    recovered = RecoveredMembers()
    for record in records:
        plan = plans.get(record.plan)
        if plan is None or plan.rate <= 0:
            recovered.skip("plan is gone")
        elif not _plausible(record):
            recovered.skip("not a number")
        elif record.at < now - retention and record.pending <= 0:
            recovered.skip("long full")
        else:
            recovered.members.append(_recover_member(now, record, plan, is_copy))
    return recovered


def _plausible(record: MemberRecord) -> bool:
    figures = (
        record.level,
        record.at,
        record.acknowledged,
        record.pending,
        record.reported,
        record.excess,
        record.doubtful,
    )
    if record.burst <= 0:
        return False
    return all(abs(figure) < MAX_UNITS for figure in figures)  # NaN compares as false


def _recover_member(now: float, record: MemberRecord, plan: PlanSettings, is_copy: bool) -> SavedCustomer:
    same_plan = (plan.rate, plan.burst) == (record.rate, record.burst)
    used = record.burst - record.level
    level = min(plan.burst, record.level if same_plan else plan.burst - used)
    # Windows of another length have other names: what an old window's count holds is in no present one's. The same
    # where the clock was set back.
    window_known = same_plan and record.at <= now
    member = SavedCustomer(
        record.key,
        record.plan,
        level,
        min(record.at, now),
        record.window if window_known else UNKNOWN_WINDOW,
        record.acknowledged if same_plan else 0.0,
        0.0 if is_copy else max(0.0, record.pending),
        record.admitted_quarters,
        dict(record.peer_quarters),
    )
    if not window_known:
        return member
    # What peers reported and what is uncertain hold for their windows only.
    return SavedCustomer(
        *member[:9],
        record.reported,
        record.reported_window,
        record.excess,
        record.doubtful,
        record.doubtful_window,
    )


def last_active_time(now: float, previous: IncarnationRecord | None) -> float | None:
    """Return until when the previous incarnation may have been active; None without one.

    That is its shutdown, or `now` where it was killed, as nobody knows when.
    """
    if previous is None:
        return None
    return min(now, previous.ended_at) if previous.ended_at > 0 else now


def recover_reservations(
    records: Iterable[ReservationRecord],
    plans: Mapping[str, PlanSettings],
    terms: Mapping[str, tuple[float, float]],
    is_copy: bool = False,
) -> list[SavedReservation]:
    """Return the reservations under the same terms as before.

    terms: rate and burst of each plan's allowance now
    is_copy: the folder is a copy, so nothing in it may be spent
    """
    if is_copy:
        return []
    plan_numbers = {name: number for number, name in enumerate(plans)}
    return [
        SavedReservation(plan_numbers[r.plan], r.customer, r.first, r.width, r.units, r.at)
        for r in records
        if r.plan in plan_numbers
        and terms.get(r.plan) == (r.rate, r.burst)
        and 0 <= r.units <= r.burst
        and math.isfinite(r.at)
        and r.width > 0
    ]


def recover_learned(now: float, learned: Learned | None) -> Learned | None:
    """Return what is left by now of what was learned; None where it says nothing any more."""
    if learned is None or learned.at < now - SPEEDS_MAX_AGE_S or not _all_finite(learned):
        return None
    age = max(0.0, now - learned.at)
    clock_set_back = learned.at > now
    decay = math.exp(-age / FAULTS_DECAY_S)
    backends = {name: _age_backend(backend, age, decay, clock_set_back) for name, backend in learned.backends.items()}
    return learned._replace(
        rate=learned.rate * decay,
        slots=learned.slots if age < ENDPOINT_LIST_MAX_AGE_S else 0.0,
        backends=backends,
    )


def _all_finite(learned: Learned) -> bool:
    figures = [learned.at, learned.slots, learned.rate]
    for backend in learned.backends.values():
        figures += backend[:5]
    for class_figures in learned.classes.values():
        figures += class_figures
    return all(map(math.isfinite, figures))


def _age_backend(backend: LearnedBackend, age: float, decay: float, clock_set_back: bool) -> LearnedBackend:
    ratio = 1 + (backend.ratio - 1) * (1 - age / SPEEDS_MAX_AGE_S)
    if clock_set_back:
        return backend._replace(ratio=ratio, errors=0.0, fault_evidence=0.0, ejected_until=0.0, trial=False)
    return backend._replace(
        ratio=ratio,
        errors=backend.errors * decay,
        fault_evidence=backend.fault_evidence * decay,
        trial=backend.trial and age < FAULTS_DECAY_S,
    )


def recover_endpoint_list(now: float, record: EndpointListRecord | None) -> EndpointListRecord | None:
    """Return the endpoint list where it is neither too old nor from the future, else None."""
    if record is None or not now - ENDPOINT_LIST_MAX_AGE_S <= record.at <= now:
        return None
    return record
