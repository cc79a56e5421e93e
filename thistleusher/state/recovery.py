"""What is still true of a member's record after an absence: pure, and by rules that are stated here.

1. A store refills while nobody looks: `level` at `at` says it all, as long as the clock has gone on. Where the clock
   has gone back, it counts as if no time had passed; where it has gone forward, as if it had, which is the clock's
   fault.
2. What peers let in meanwhile is in their running totals: with the last ones heard, the next telling makes up for all
   of it. A level that a peer tells wins over a record only at a member that this ingress knows nothing of.
3. What is in no count yet is told once: by this life, unless the folder is a copy, whose original may have told it. A
   unit that was on its way to the count at the kill may be in it: it is in doubt, and the next total of the same window
   says so where nobody else can have added as much. Elsewhere it is told twice: a member may get that much less, never
   more.
4. A plan that has changed keeps the units that were used: they come off the new burst.
5. A room that was left alone is worth what `ledger.reserve` says, under the terms that it was noted under only; of a
   copied folder it is worth nothing, as the original may live and spend it.
6. What was learned of backends ages: speeds for ten minutes, faults and ejections while they could still hold; of a
   clock that was put back nothing but the speeds is believed. Only the same process of a backend is meant.
7. A list of servers stands in until discovery speaks, for a minute at most: a drain is kept for a second only.
8. A record older than the time after which the member would have been forgotten says nothing: its store is full.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from thistleusher.core.settings import PlanSettings
from thistleusher.core.snapshots import Learned, SavedMember, SavedReservation
from thistleusher.state.records import Life, Listed, Member, Room

LEARNED_S, FAULTS_S, LIST_S = 600.0, 10.0, 60.0  # for which speeds, faults and a list say something


@dataclass(slots=True)
class Recovered:
    """What goes into the decisions; `left_out` by reason."""

    members: list[SavedMember] = field(default_factory=list)
    left_out: dict[str, int] = field(default_factory=dict)

    def leave_out(self, why: str) -> None:
        self.left_out[why] = self.left_out.get(why, 0) + 1


def recover(
    now: float, records: Iterable[Member], plans: Mapping[str, PlanSettings], kept: float, twin: bool = False
) -> Recovered:
    """`kept`: seconds after which a quiet member is forgotten; `twin`: the folder is a copy of another's."""
    out = Recovered()
    for m in records:
        plan = plans.get(m.plan)
        if plan is None or plan.rate <= 0:
            out.leave_out("plan is gone")
        elif m.burst <= 0 or not all(
            abs(x) < 1e12 for x in (m.level, m.at, m.told, m.pending, m.heard, m.excess, m.doubt)
        ):
            out.leave_out("not a number")
        elif m.at < now - kept and m.pending <= 0:
            out.leave_out("long full")
        else:
            same = (plan.rate, plan.burst) == (m.rate, m.burst)
            level = min(plan.burst, m.level if same else plan.burst - (m.burst - m.level))
            # Other windows have other names: what is in an old one's count is in no present one's.
            out.members.append(
                SavedMember(
                    m.key,
                    m.plan,
                    level,
                    min(m.at, now),
                    m.window if same and m.at <= now else -1,
                    m.told if same else 0.0,
                    0.0 if twin else max(0.0, m.pending),
                    m.mine,
                    dict(m.theirs),
                    *((m.heard, m.heard_in, m.excess, m.doubt, m.doubted) if same and m.at <= now else ()),
                )
            )
    return out


def active_until(now: float, before: Life | None) -> float | None:
    """Until when the life before may have been at work: to its end in order, or nobody knows; None without one."""
    if before is None:
        return None
    return min(now, before.ended) if before.ended > 0 else now


def still_there(
    rooms: Iterable[Room],
    plans: Mapping[str, PlanSettings],
    terms: Mapping[str, tuple[float, float]],
    twin: bool = False,
) -> list[SavedReservation]:
    """Rooms under the same terms as before; `terms`: rate and burst of each plan's allowance now."""
    numbers = {name: n for n, name in enumerate(plans)}
    if twin:
        return []
    return [
        SavedReservation(numbers[r.plan], r.customer, r.first, r.width, r.room, r.at)
        for r in rooms
        if r.plan in numbers
        and terms.get(r.plan) == (r.rate, r.burst)
        and 0 <= r.room <= r.burst
        and math.isfinite(r.at)
        and r.width > 0
    ]


def still_learned(now: float, learned: Learned | None) -> Learned | None:
    """What is left of it by now; None where it says nothing any more."""
    if learned is None or learned.at < now - LEARNED_S or not math.isfinite(learned.at):
        return None
    age, back = max(0.0, now - learned.at), learned.at > now
    left = math.exp(-age / FAULTS_S)
    numbers = [x for b in learned.backends.values() for x in b[:5]] + [x for c in learned.classes.values() for x in c]
    if not all(map(math.isfinite, [learned.slots, learned.rate, *numbers])):
        return None
    backends = {
        name: b._replace(
            ratio=1 + (b.ratio - 1) * (1 - age / LEARNED_S),
            errors=0.0 if back else b.errors * left,
            proof=0.0 if back else b.proof * left,
            resting=0.0 if back else b.resting,
            trial=b.trial and not back and age < FAULTS_S,
        )
        for name, b in learned.backends.items()
    }
    return learned._replace(rate=learned.rate * left, slots=learned.slots if age < LIST_S else 0.0, backends=backends)


def still_listed(now: float, listed: Listed | None) -> Listed | None:
    """The list, where it is not too old, nor from a time to come."""
    return listed if listed is not None and now - LIST_S <= listed.at <= now else None
