"""How far a quota and a ceiling can be exceeded while the counter fails, stated in advance.

The derivation is in docs/counter-loss.md; figures are units, times seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.gossip.owners import CANDIDATES, SKIP_S
from thistleusher.gossip.updates import UPDATES_FRACTION
from thistleusher.quota.reservations import RESERVED_FRACTION
from thistleusher.quota.terms import GUARANTEED_FRACTION

MISSES = 8  # misses in a row after which an ingress counts the counter as down
TOUCH_S = 1.0  # without a peer's message, after which it is out of touch
NEGLIGIBLE = 1e-6  # chance of a run of lost messages that is left out


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What the figures hold under.

    loss: share of datagrams lost
    delay: of a datagram, at most
    update_interval: between two updates of usage
    skew: clocks apart
    outage: its length
    folders: every ingress has a state folder, so that headroom outlives a kill
    """

    loss: float = 0.0
    delay: float = 0.05
    update_interval: float = 0.1
    skew: float = 0.0
    outage: float = 60.0
    folders: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError where a value cannot be."""
        if not 0 <= self.loss < 1:
            raise ValueError(f"loss: expected 0 or more and under 1, got {self.loss!r}")
        for name in ("delay", "update_interval", "skew", "outage"):
            if not (math.isfinite(getattr(self, name)) and getattr(self, name) >= 0):
                raise ValueError(f"{name}: expected seconds of 0 or more, got {getattr(self, name)!r}")


class Bound(NamedTuple):
    """Units that a customer of one plan can get beyond its quota and its ceiling; `ceiling` is None without one."""

    plan: str
    width: int
    staleness: float  # seconds after which all in touch know what one has let in
    quota_in_touch: float
    quota_cut_off: float
    quota_split: float  # cut off, with totals from a counter of its own
    ceiling: float | None
    quota_restart: float  # more for each time that all of a set restart together while the counter is silent
    ceiling_restart: float | None  # the same of the ceiling; one ingress alone that restarts gets nothing more


def staleness(assumed: Assumptions, interval: float = 0.0) -> float:
    """Return the seconds until an update has come: some are lost, and the next one makes up for them.

    `interval`: between two updates to one peer, where it is longer than `update_interval`.
    """
    attempts = 1 if assumed.loss == 0 else max(1, math.ceil(math.log(NEGLIGIBLE) / math.log(assumed.loss)))
    return attempts * max(assumed.update_interval, interval) + assumed.delay


def paced_interval(settings: Settings, width: int) -> float:
    """Return the seconds between two updates to one peer in a large fleet, 0 in a small one.

    An ingress of a set shares sets with 2 (width - 1) others. Assumed of the inbox: it takes in `peer_in_per_s`, and
    sets lie evenly, so that others send what is sent to them.
    """
    if not settings.uses_gossip:
        return 0.0
    return min(settings.instances - 1, 2 * (width - 1)) / (UPDATES_FRACTION * settings.peer_in_per_s)


def has_owner(settings: Settings, plan: PlanSettings, width: int) -> bool:
    """Return whether members of such a set have an owner of their account."""
    return settings.uses_gossip and plan.wide(width) and plan.ceiling_rate <= 0


def bound_of(settings: Settings, plan: PlanSettings, assumed: Assumptions, width: int = 0) -> Bound:
    """Return the most that a customer whose requests come through `width` ingresses (0: all) can get too much.

    In touch, an ingress does not know what the others have let in for `staleness` seconds: each of them its burst and
    what refills. Cut off from its peers, each has its share, and one whole request where that is less. The ceiling is
    escrowed from the moment that an ingress counts the counter as down, or its peers as out of touch: until then each
    lets in what its bucket allows. While calls are few the former takes longer than `notice`; all are in touch then,
    and no more than `unseen` goes unknown. A large fleet holds ceilings by shares at all times but for what a total
    lets in: the same figures are more than it needs.

    With folders a joint restart adds only what was let in on a total's or a peer's message since the last commit:
    reservations promise `RESERVED_FRACTION` of what ingresses are always sure of at most.
    """
    width = width or settings.instances
    if has_owner(settings, plan, width):
        return _bound_with_owner(settings, plan, assumed, width)
    stale = staleness(assumed, paced_interval(settings, width))
    notice = max(MISSES * settings.counter_timeout, TOUCH_S + assumed.delay)
    unseen = (width - 1) * (plan.burst + plan.rate * (stale + assumed.skew))
    entering = (width - 1) * (plan.burst + plan.rate * (notice + assumed.skew))
    at_start = joint_start_burst(plan)
    if plan.ceiling_rate <= 0:
        return Bound(
            plan.name,
            width,
            stale,
            quota_in_touch=unseen,
            quota_cut_off=entering + width * settings.max_units,
            quota_split=entering + (width - 1) * plan.rate * assumed.outage,
            ceiling=None,
            quota_restart=at_start,
            ceiling_restart=None,
        )
    spread = plan.ceiling_burst - plan.burst + max(0.0, plan.ceiling_rate - plan.rate) * assumed.outage
    # Each lets in its bucket and what refills until then; the ceiling refills meanwhile, and of what it has more than
    # the quota each has its share on entering.
    refilled = max(0.0, width * plan.rate - plan.ceiling_rate) * (notice + stale + assumed.skew)
    most = (width - 1) * plan.burst + refilled
    ceiling = min(entering, most) + plan.ceiling_rate * assumed.skew
    reserved = RESERVED_FRACTION * GUARANTEED_FRACTION * plan.ceiling_burst
    return Bound(
        plan.name,
        width,
        stale,
        quota_in_touch=min(unseen, spread + ceiling),
        quota_cut_off=spread + ceiling,
        quota_split=spread + ceiling,
        ceiling=ceiling,
        quota_restart=min(plan.burst, reserved) if assumed.folders else plan.burst,
        ceiling_restart=min(at_start, reserved) if assumed.folders else at_start,
    )


def _bound_with_owner(settings: Settings, plan: PlanSettings, assumed: Assumptions, width: int) -> Bound:
    """Return the bound of a customer whose account one ingress keeps.

    While ingresses disagree on the owner, each candidate keeps an account. Whoever reaches none, nor the counter, lets
    in one request, and then its part of the rate.
    """
    stale = staleness(assumed)
    others = CANDIDATES - 1
    one_request_each = width * settings.max_units
    cut_off = others * (plan.burst + plan.rate * assumed.outage) + one_request_each
    return Bound(
        plan.name,
        width,
        stale,
        quota_in_touch=others * (plan.burst + plan.rate * (SKIP_S + stale)),
        quota_cut_off=cut_off,
        quota_split=cut_off,
        ceiling=None,
        quota_restart=joint_start_burst(plan) + one_request_each,
        ceiling_restart=None,
    )


def joint_start_burst(plan: PlanSettings) -> float:
    """Return the units that a set which starts together may let in at once: one quota's burst, as a full bucket has."""
    return min(plan.burst, plan.ceiling_burst) if plan.ceiling_rate > 0 else plan.burst


def after_restart(plan: PlanSettings, bound: Bound, seconds: float) -> tuple[float, float]:
    """Return what a set that restarted together in an outage has let in at most by then, and what a full quota has."""
    rate = plan.ceiling_rate if plan.ceiling_rate > 0 else plan.rate
    at_once = bound.quota_restart if bound.ceiling_restart is None else bound.ceiling_restart
    return at_once + rate * seconds, plan.burst + plan.rate * seconds


def listed_widths(instances: int) -> list[int]:
    """Return the sizes of sets that are worth a line: all of a few, doublings of many."""
    doublings = (1 << n for n in range(4, instances.bit_length()))
    return sorted({*range(1, min(instances, 8) + 1), *doublings, instances})


def format_table(settings: Settings, assumed: Assumptions) -> list[str]:
    """Return the figures of all plans as lines for people."""
    lines = [
        f"{'plan':12} {'ingresses':>9} {'beyond quota, in touch':>23} {'cut off':>9} {'and split':>10}"
        f" {'beyond ceiling':>15}"
    ]
    for plan in settings.plans:
        lines += _plan_lines(settings, plan, assumed)
    lines += [
        "",
        "all of a set restarted together while the counter is silent: units let in at most within 0, 1 and 5 s",
    ]
    lines += [_restart_line(settings, plan, assumed) for plan in settings.plans if plan.rate > 0]
    if settings.uses_gossip:
        lines.append(
            f"{settings.instances} ingresses: words go to the sets of their members, sets wider than a burst"
            f" have a home. Assumed: inboxes take in {settings.peer_in_per_s:g} messages a second,"
            " and sets lie evenly"
        )
    if assumed.folders:
        lines.append(
            "with folders: a write-back whose note a kill loses is counted twice unless a total of its window"
            " tells; a member may get that much less, a burst at most, and never more"
        )
    return lines


def _plan_lines(settings: Settings, plan: PlanSettings, assumed: Assumptions) -> list[str]:
    if plan.rate <= 0:
        return [f"{plan.name:12} no quota"]
    lines = []
    for width in listed_widths(settings.instances):
        bound = bound_of(settings, plan, assumed, width)
        ceiling = "-" if bound.ceiling is None else f"{bound.ceiling:.1f}"
        lines.append(
            f"{bound.plan:12} {width:9} {bound.quota_in_touch:23.1f} {bound.quota_cut_off:9.1f}"
            f" {bound.quota_split:10.1f} {ceiling:>15}"
        )
    return lines


def _restart_line(settings: Settings, plan: PlanSettings, assumed: Assumptions) -> str:
    bound = bound_of(settings, plan, assumed)
    pairs = [after_restart(plan, bound, seconds) for seconds in (0.0, 1.0, 5.0)]
    within = ", ".join(f"{let_in:.1f} (a full quota: {full:.1f})" for let_in, full in pairs)
    ceiling = "" if bound.ceiling_restart is None else f", its ceiling by {bound.ceiling_restart:.1f}"
    return f"{plan.name:12} {within}; each time passes the quota by {bound.quota_restart:.1f}{ceiling} at most"
