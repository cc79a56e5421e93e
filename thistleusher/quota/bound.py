"""How far a quota and a ceiling can be passed while the counter fails, stated in advance.

The derivation is in docs/counter-loss.md; figures are units, times seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.gossip.owners import CANDIDATES, MUTE_S
from thistleusher.gossip.updates import TELL_PART
from thistleusher.quota.reserve import KEEP, TOP

MISSES = 8  # misses in a row after which an ingress counts the counter as down
TOUCH_S = 1.0  # without a peer's message, after which it is out of touch
RARE = 1e-6  # chance of a run of lost messages that is left out


@dataclass(frozen=True, slots=True)
class Assumed:
    """What the figures hold under. `loss`: share of datagrams lost; `skew`: clocks apart; `outage`: its length.

    `folders`: every ingress has a state folder, so that rooms outlive a kill.
    """

    loss: float = 0.0
    delay: float = 0.05
    tell_every: float = 0.1
    skew: float = 0.0
    outage: float = 60.0
    folders: bool = False

    def __post_init__(self) -> None:
        if not 0 <= self.loss < 1:
            raise ValueError(f"loss: expected 0 or more and under 1, got {self.loss!r}")
        for name in ("delay", "tell_every", "skew", "outage"):
            if not (math.isfinite(getattr(self, name)) and getattr(self, name) >= 0):
                raise ValueError(f"{name}: expected seconds of 0 or more, got {getattr(self, name)!r}")


class Bound(NamedTuple):
    """Units that a member of one plan can get beyond its quota and its ceiling; `ceiling` None without one."""

    plan: str
    width: int
    stale: float  # seconds after which all in touch know what one has let in
    quota_in_touch: float
    quota_cut_off: float
    quota_split: float  # cut off, with totals from a counter of its own
    ceiling: float | None
    quota_restart: float  # more for each time that all of a set restart together while the counter is silent
    ceiling_restart: float | None  # the same of the ceiling; one ingress alone that restarts gets nothing more


def staleness(a: Assumed, every: float = 0.0) -> float:
    """Seconds until a telling has come: some are lost, and the next one makes up for them. `every`: between two."""
    tries = 1 if a.loss == 0 else max(1, math.ceil(math.log(RARE) / math.log(a.loss)))
    return tries * max(a.tell_every, every) + a.delay


def paced(settings: Settings, width: int) -> float:
    """Seconds between two tellings to one peer in a large fleet: a set's member shares sets with this many others.

    Assumed of the inbox: it takes in `peer_in_per_s`, and sets lie evenly, so that others send what is sent to them.
    """
    if not settings.large:
        return 0.0
    return min(settings.instances - 1, 2 * (width - 1)) / (TELL_PART * settings.peer_in_per_s)


def housed(settings: Settings, plan: PlanSettings, width: int) -> bool:
    """Whether members of such a set have a home that keeps their account."""
    return settings.large and plan.wide(width) and plan.ceiling_rate <= 0


def bound_of(settings: Settings, plan: PlanSettings, assumed: Assumed, width: int = 0) -> Bound:
    """The most that a member whose requests come through `width` ingresses (0: all) can get too much.

    In touch, an ingress does not know what the others have let in for `stale` seconds: each of them its burst and
    what refills. Cut off from its peers, each has its share, and one whole request where that is less. The
    ceiling is escrowed from the moment that an ingress counts the counter as down, or its peers as out of touch:
    until then each lets in what its store allows. While calls are few the former takes longer than `notice`; all
    are in touch then, and no more than `unseen` goes unknown. A large fleet holds ceilings by shares at all times but
    for what a total lets in: the same figures are more than it needs.

    With folders a joint restart adds only what was let in on a total's or a peer's word since the last commit: notes
    promise `reserve.TOP` of what ingresses are always sure of at most.
    """
    w, u, r, b = width or settings.instances, settings.max_units, plan.rate, plan.burst
    home = housed(settings, plan, w)
    stale = staleness(assumed, 0.0 if home else paced(settings, w))
    notice = max(MISSES * settings.counter_timeout, TOUCH_S + assumed.delay)
    unseen = (w - 1) * (b + r * (stale + assumed.skew))
    entering = (w - 1) * (b + r * (notice + assumed.skew))
    fresh = fresh_room(plan)
    if home:
        # While ingresses disagree on the home, each candidate keeps an account. Whoever reaches none, nor the counter,
        # lets in one request, and then its part of the rate.
        others = CANDIDATES - 1
        return Bound(
            plan.name,
            w,
            stale,
            others * (b + r * (MUTE_S + stale)),
            others * (b + r * assumed.outage) + w * u,
            others * (b + r * assumed.outage) + w * u,
            None,
            fresh + w * u,
            None,
        )
    if plan.ceiling_rate <= 0:
        return Bound(
            plan.name, w, stale, unseen, entering + w * u, entering + (w - 1) * r * assumed.outage, None, fresh, None
        )
    room = plan.ceiling_burst - b + max(0.0, plan.ceiling_rate - r) * assumed.outage
    # Each lets in its store and what refills until then; the ceiling refills meanwhile, and of what it has more
    # than the quota each has its share on entering.
    most = (w - 1) * b + max(0.0, w * r - plan.ceiling_rate) * (notice + stale + assumed.skew)
    ceiling = min(entering, most) + plan.ceiling_rate * assumed.skew
    noted = TOP * KEEP * plan.ceiling_burst
    return Bound(
        plan.name,
        w,
        stale,
        min(unseen, room + ceiling),
        room + ceiling,
        room + ceiling,
        ceiling,
        min(b, noted) if assumed.folders else b,
        min(fresh, noted) if assumed.folders else fresh,
    )


def fresh_room(plan: PlanSettings) -> float:
    """Units that a set which begins together may let in at once: one quota's burst, as a full store has it."""
    return min(plan.burst, plan.ceiling_burst) if plan.ceiling_rate > 0 else plan.burst


def after_restart(plan: PlanSettings, b: Bound, seconds: float) -> tuple[float, float]:
    """Units that a set which restarted together in an outage has let in at most by then, and what a full quota has."""
    rate = plan.ceiling_rate if plan.ceiling_rate > 0 else plan.rate
    at_once = b.quota_restart if b.ceiling_restart is None else b.ceiling_restart
    return at_once + rate * seconds, plan.burst + plan.rate * seconds


def widths(instances: int) -> list[int]:
    """Sizes of sets that are worth a line: all of a few, doublings of many."""
    return sorted({*range(1, min(instances, 8) + 1), *(1 << n for n in range(4, instances.bit_length())), instances})


def table(settings: Settings, assumed: Assumed) -> list[str]:
    """The figures of all plans, for people."""
    out = [
        f"{'plan':12} {'ingresses':>9} {'beyond quota, in touch':>23} {'cut off':>9} {'and split':>10}"
        f" {'beyond ceiling':>15}"
    ]
    for plan in settings.plans:
        if plan.rate <= 0:
            out.append(f"{plan.name:12} no quota")
            continue
        for w in widths(settings.instances):
            b = bound_of(settings, plan, assumed, w)
            ceiling = "-" if b.ceiling is None else f"{b.ceiling:.1f}"
            out.append(
                f"{b.plan:12} {w:9} {b.quota_in_touch:23.1f} {b.quota_cut_off:9.1f}"
                f" {b.quota_split:10.1f} {ceiling:>15}"
            )
    out += ["", "all of a set restarted together while the counter is silent: units let in at most within 0, 1 and 5 s"]
    for plan in settings.plans:
        if plan.rate > 0:
            b = bound_of(settings, plan, assumed)
            pairs = [after_restart(plan, b, s) for s in (0.0, 1.0, 5.0)]
            within = ", ".join(f"{have:.1f} (a full quota: {whole:.1f})" for have, whole in pairs)
            ceiling = "" if b.ceiling_restart is None else f", its ceiling by {b.ceiling_restart:.1f}"
            out.append(f"{plan.name:12} {within}; each time passes the quota by {b.quota_restart:.1f}{ceiling} at most")
    if settings.large:
        out.append(
            f"{settings.instances} ingresses: words go to the sets of their members, sets wider than a burst"
            f" have a home. Assumed: inboxes take in {settings.peer_in_per_s:g} messages a second,"
            " and sets lie evenly"
        )
    if assumed.folders:
        out.append(
            "with folders: a write-back whose note a kill loses is counted twice unless a total of its window"
            " tells; a member may get that much less, a burst at most, and never more"
        )
    return out
