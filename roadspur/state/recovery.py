"""What is still true of a member's record after an absence: pure, and by rules that are stated here.

1. A store refills while nobody looks: `level` at `at` says it all, as long as the clock has gone on. Where the clock
   has gone back, it counts as if no time had passed; where it has gone forward, as if it had, which is the clock's
   fault.
2. What peers let in meanwhile is in their running totals: with the last ones heard, the next telling makes up for all
   of it. A level that a peer tells wins over a record only at a member that this ingress knows nothing of.
3. What is in no count yet is told once: by this life, unless the folder is a copy, whose original may have told it. A
   unit that was added after the last commit, and whose note was lost by the kill, is told twice: a member may get
   that much less, never more.
4. A plan that has changed keeps the units that were used: they come off the new burst.
5. A record older than the time after which the member would have been forgotten says nothing: its store is full.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from roadspur import interface as io
from roadspur.state.records import Member


@dataclass(slots=True)
class Recovered:
    """What goes into the decisions; `left_out` by reason."""

    members: list[io.SavedMember] = field(default_factory=list)
    left_out: dict[str, int] = field(default_factory=dict)

    def leave_out(self, why: str) -> None:
        self.left_out[why] = self.left_out.get(why, 0) + 1


def recover(now: float, records: Iterable[Member], plans: Mapping[str, io.PlanSettings], kept: float,
            twin: bool = False) -> Recovered:
    """`kept`: seconds after which a quiet member is forgotten; `twin`: the folder is a copy of another's."""
    out = Recovered()
    for m in records:
        plan = plans.get(m.plan)
        if plan is None or plan.rate <= 0:
            out.leave_out("plan is gone")
        elif m.burst <= 0 or not all(abs(x) < 1e12 for x in (m.level, m.at, m.told, m.pending, m.heard, m.excess)):
            out.leave_out("not a number")
        elif m.at < now - kept and m.pending <= 0:
            out.leave_out("long full")
        else:
            same = (plan.rate, plan.burst) == (m.rate, m.burst)
            level = min(plan.burst, m.level if same else plan.burst - (m.burst - m.level))
            # Other windows have other names: what is in an old one's count is in no present one's.
            out.members.append(io.SavedMember(
                m.key, m.plan, level, min(m.at, now), m.window if same and m.at <= now else -1, m.told if same else 0.0,
                0.0 if twin else max(0.0, m.pending), m.mine, dict(m.theirs), *(
                    (m.heard, m.heard_in, m.excess) if same and m.at <= now else (0.0, -1, 0.0))))
    return out
