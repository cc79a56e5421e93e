"""Rules for restoring stored records at a start. All functions are pure.

1. A bucket refills while the process is down, so `level` at the time `at` determines its present level. If the clock
   was set back, no time counts as elapsed. If it was set forward, the additional time counts as elapsed.
2. Units that peers admitted in the meantime are in their running totals. The last received totals are restored, so the
   next update from each peer accounts for the difference. A level reported by a peer replaces the stored one only for a
   member that this ingress does not know.
3. Units that no count includes yet are written back once, by this incarnation. This is not done from a copied folder,
   because the original may have written them back. A unit that was being sent to the counter at the time of the kill
   may or may not be counted. The next total of the same window settles this if nobody else can have added as much.
   Otherwise the unit is counted twice: the member may get that much less, but never more.
4. If a plan has changed, used units stay used: they are deducted from the new burst.
5. The value of a reservation is defined in `quota.reservations`. It holds only under the terms that were in effect when
   it was recorded. In a copied folder it is worth nothing, because the original may still be running and spend it.
6. Measurements of backends age: speeds hold for ten minutes, faults and ejections for as long as they could still
   apply. If the clock was set back, only the speeds are used. They apply to the same incarnation of a backend only.
7. An endpoint list is used until discovery answers, for a minute at most. A drained backend stays in it for a second.
8. A record older than the retention period is ignored, unless it has pending units: the bucket is full by then.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import Learned, LearnedBackend, SavedCustomer, SavedReservation
from thistleusher.state.records import EndpointListRecord, IncarnationRecord, MemberRecord, ReservationRecord

SPEEDS_MAX_AGE_S = 600.0  # age beyond which measured speeds are discarded
FAULTS_DECAY_S = 10.0  # time constant of the exponential decay of measured faults
ENDPOINT_LIST_MAX_AGE_S = 60.0  # age beyond which an endpoint list and the measured concurrency are discarded
MAX_UNITS = 1e12  # a record with a larger figure is treated as invalid
UNKNOWN_WINDOW = -1


@dataclass(slots=True)
class RecoveredMembers:
    """Members to restore into the decision module, and the number of skipped records by reason."""

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

    retention: seconds of inactivity after which the decision module forgets a member
    is_copy: whether the folder is a copy of another ingress's folder
    """
    recovered = RecoveredMembers()
    for record in records:
        plan = plans.get(record.plan)
        if plan is None or plan.rate <= 0:
            recovered.skip("of unknown plans")
        elif not _has_valid_figures(record):
            recovered.skip("with invalid figures")
        elif record.at < now - retention and record.pending <= 0:
            recovered.skip("expired")
        else:
            recovered.members.append(_recover_member(now, record, plan, is_copy))
    return recovered


def _has_valid_figures(record: MemberRecord) -> bool:
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
    # A window's number depends on its length. After a change of the plan, or if the clock was set back, the count of
    # the old window is part of no present window.
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
    # The units reported by peers and the unconfirmed units apply to their own windows only.
    return SavedCustomer(
        *member[:9],
        record.reported,
        record.reported_window,
        record.excess,
        record.doubtful,
        record.doubtful_window,
    )


def last_active_time(now: float, previous: IncarnationRecord | None) -> float | None:
    """Return the time until which the previous incarnation may have been active, or None if there was none.

    This is the time of its shutdown, or `now` if it was killed, because the time of a kill is not recorded.
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
    """Return the reservations whose terms have not changed.

    terms: present rate and burst of each plan's allowance
    is_copy: whether the folder is a copy; no reservation of a copied folder may be spent
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
    """Return the measurements of the backends, aged to `now`, or None if they are too old or invalid."""
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
    """Return the endpoint list, or None if it is too old or from the future."""
    if record is None or not now - ENDPOINT_LIST_MAX_AGE_S <= record.at <= now:
        return None
    return record
