"""Upper bounds on how far a quota and a ceiling can be exceeded while the counter fails.

The derivation is in docs/counter-loss.md. Amounts are in units, times in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.gossip.owners import OWNER_CANDIDATES, OWNER_SKIP_S
from thistleusher.gossip.updates import OUTGOING_UPDATES_FRACTION
from thistleusher.quota.reservations import RESERVED_FRACTION
from thistleusher.quota.terms import GUARANTEED_FRACTION

DOWN_MISSES = 8  # consecutive failed calls after which an ingress considers the counter down
PEER_TIMEOUT_S = 1.0  # seconds without a message from a peer after which it counts as out of touch
NEGLIGIBLE_PROBABILITY = 1e-6  # probability below which a run of lost messages is ignored


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Conditions under which the bounds hold. Times are in seconds.

    loss: fraction of datagrams that are lost
    delay: maximum delay of a datagram
    update_interval: interval between two usage updates
    skew: maximum difference between two ingresses' clocks
    outage: length of the counter's outage
    folders: whether every ingress has a state folder, so that headroom survives a kill
    """

    loss: float = 0.0
    delay: float = 0.05
    update_interval: float = 0.1
    skew: float = 0.0
    outage: float = 60.0
    folders: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range."""
        if not 0 <= self.loss < 1:
            raise ValueError(f"loss: expected 0 or more and under 1, got {self.loss!r}")
        for name in ("delay", "update_interval", "skew", "outage"):
            if not (math.isfinite(getattr(self, name)) and getattr(self, name) >= 0):
                raise ValueError(f"{name}: expected seconds of 0 or more, got {getattr(self, name)!r}")


class Bound(NamedTuple):
    """Units that a customer of one plan can get beyond its quota and its ceiling; `ceiling` is None if it has none."""

    plan: str
    width: int
    staleness: float  # seconds until all connected ingresses know what one of them has admitted
    quota_in_touch: float  # excess while the ingresses receive each other's messages
    quota_cut_off: float  # excess while the ingresses do not receive each other's messages
    quota_split: float  # excess while an ingress is cut off and gets totals from a counter of its own
    ceiling: float | None
    quota_restart: float  # added for each simultaneous restart of a whole ingress set while the counter does not answer
    ceiling_restart: float | None  # the same for the ceiling; a restart of a single ingress adds nothing


def staleness(assumed: Assumptions, interval: float = 0.0) -> float:
    """Return the seconds until an update has arrived; each update also makes up for lost earlier ones.

    `interval`: seconds between two updates to one peer, if longer than `update_interval`.
    """
    attempts = 1 if assumed.loss == 0 else max(1, math.ceil(math.log(NEGLIGIBLE_PROBABILITY) / math.log(assumed.loss)))
    return attempts * max(assumed.update_interval, interval) + assumed.delay


def paced_interval(settings: Settings, width: int) -> float:
    """Return the seconds between two updates to one peer in a large deployment; 0 in a small one.

    An ingress shares ingress sets with 2 (width - 1) others. Assumes that each ingress accepts `peer_in_per_s` messages
    a second, and that ingress sets are spread evenly, so that each ingress sends as many messages as it receives.
    """
    if not settings.uses_gossip:
        return 0.0
    return min(settings.instances - 1, 2 * (width - 1)) / (OUTGOING_UPDATES_FRACTION * settings.peer_in_per_s)


def has_owner(settings: Settings, plan: PlanSettings, width: int) -> bool:
    """Return whether customers of this plan with a set of `width` ingresses have an owner that keeps their account."""
    return settings.uses_gossip and plan.wide(width) and plan.ceiling_rate <= 0


def bound_of(settings: Settings, plan: PlanSettings, assumed: Assumptions, width: int = 0) -> Bound:
    """Return the maximum excess of a customer whose requests come through `width` ingresses (0: all of them).

    In contact: for `staleness` seconds an ingress does not know what the others admit, at most a burst and its refill
    each. Cut off from its peers: each ingress has its share, or one whole request if the share is smaller. The ceiling
    is escrowed from the moment an ingress considers the counter down or its peers unreachable; until then each
    ingress admits what its bucket allows. If calls are rare, detecting that the counter is down takes longer than
    `detection_time`, but then all ingresses are in contact and at most `unseen` is unknown. A large deployment enforces
    ceilings by shares at all times, except for what is admitted on a counter total, so these bounds hold there with a
    margin.

    With state folders, a simultaneous restart adds only what was admitted on a counter total or a peer's message since
    the last commit, because reservations cover at most `RESERVED_FRACTION` of the guaranteed shares.
    """
    width = width or settings.instances
    if has_owner(settings, plan, width):
        return _bound_with_owner(settings, plan, assumed, width)
    stale = staleness(assumed, paced_interval(settings, width))
    detection_time = max(DOWN_MISSES * settings.counter_timeout, PEER_TIMEOUT_S + assumed.delay)
    unseen = (width - 1) * (plan.burst + plan.rate * (stale + assumed.skew))
    before_escrow = (width - 1) * (plan.burst + plan.rate * (detection_time + assumed.skew))
    start_burst = simultaneous_start_burst(plan)
    if plan.ceiling_rate <= 0:
        return Bound(
            plan.name,
            width,
            stale,
            quota_in_touch=unseen,
            quota_cut_off=before_escrow + width * settings.max_units,
            quota_split=before_escrow + (width - 1) * plan.rate * assumed.outage,
            ceiling=None,
            quota_restart=start_burst,
            ceiling_restart=None,
        )
    ceiling_over_quota = plan.ceiling_burst - plan.burst + max(0.0, plan.ceiling_rate - plan.rate) * assumed.outage
    # Until the ceiling is escrowed, each ingress admits its bucket and the bucket's refill, while the ceiling refills
    # too. When escrow starts, each ingress holds its share of the ceiling's excess over the quota.
    refilled = max(0.0, width * plan.rate - plan.ceiling_rate) * (detection_time + stale + assumed.skew)
    max_before_escrow = (width - 1) * plan.burst + refilled
    ceiling = min(before_escrow, max_before_escrow) + plan.ceiling_rate * assumed.skew
    reserved = RESERVED_FRACTION * GUARANTEED_FRACTION * plan.ceiling_burst
    return Bound(
        plan.name,
        width,
        stale,
        quota_in_touch=min(unseen, ceiling_over_quota + ceiling),
        quota_cut_off=ceiling_over_quota + ceiling,
        quota_split=ceiling_over_quota + ceiling,
        ceiling=ceiling,
        quota_restart=min(plan.burst, reserved) if assumed.folders else plan.burst,
        ceiling_restart=min(start_burst, reserved) if assumed.folders else start_burst,
    )


def _bound_with_owner(settings: Settings, plan: PlanSettings, assumed: Assumptions, width: int) -> Bound:
    """Return the bound of a customer whose account is kept by one ingress, its owner.

    While ingresses disagree about the owner, each candidate keeps an account. An ingress that reaches neither a
    candidate nor the counter admits one request, and then its share of the rate.
    """
    stale = staleness(assumed)
    other_candidates = OWNER_CANDIDATES - 1
    one_request_each = width * settings.max_units
    cut_off = other_candidates * (plan.burst + plan.rate * assumed.outage) + one_request_each
    return Bound(
        plan.name,
        width,
        stale,
        quota_in_touch=other_candidates * (plan.burst + plan.rate * (OWNER_SKIP_S + stale)),
        quota_cut_off=cut_off,
        quota_split=cut_off,
        ceiling=None,
        quota_restart=simultaneous_start_burst(plan) + one_request_each,
        ceiling_restart=None,
    )


def simultaneous_start_burst(plan: PlanSettings) -> float:
    """Return the units that an ingress set may admit at once after a simultaneous start: one burst of the quota."""
    return min(plan.burst, plan.ceiling_burst) if plan.ceiling_rate > 0 else plan.burst


def units_after_restart(plan: PlanSettings, bound: Bound, seconds: float) -> tuple[float, float]:
    """Return the most units that a set admits within `seconds` of a simultaneous restart, and what a quota allows."""
    rate = plan.ceiling_rate if plan.ceiling_rate > 0 else plan.rate
    at_once = bound.quota_restart if bound.ceiling_restart is None else bound.ceiling_restart
    return at_once + rate * seconds, plan.burst + plan.rate * seconds


def listed_widths(instances: int) -> list[int]:
    """Return the ingress set sizes to list: every size up to 8, then powers of two, and the maximum."""
    doublings = (1 << n for n in range(4, instances.bit_length()))
    return sorted({*range(1, min(instances, 8) + 1), *doublings, instances})


def format_table(settings: Settings, assumed: Assumptions) -> list[str]:
    """Return the bounds of all plans as human-readable lines."""
    lines = [
        f"{'plan':12} {'ingresses':>9} {'beyond quota, in touch':>23} {'cut off':>9} {'and split':>10}"
        f" {'beyond ceiling':>15}"
    ]
    for plan in settings.plans:
        lines += _plan_lines(settings, plan, assumed)
    lines += [
        "",
        "simultaneous restart of an ingress set without a counter: most units admitted within 0, 1 and 5 s",
    ]
    lines += [_restart_line(settings, plan, assumed) for plan in settings.plans if plan.rate > 0]
    if settings.uses_gossip:
        lines.append(
            f"{settings.instances} ingresses: updates go to each customer's ingress set; a customer whose set is larger"
            f" than its burst has an owner. Assumed: inboxes take in {settings.peer_in_per_s:g} messages a second,"
            " and ingress sets are spread evenly"
        )
    if assumed.folders:
        lines.append(
            "with state folders: if a kill loses the record of a write-back, it is counted twice unless a total of its"
            " window shows it; the customer may get that much less, at most a burst, and never more"
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
    pairs = [units_after_restart(plan, bound, seconds) for seconds in (0.0, 1.0, 5.0)]
    within = ", ".join(f"{let_in:.1f} (a full quota: {full:.1f})" for let_in, full in pairs)
    ceiling = "" if bound.ceiling_restart is None else f", its ceiling by {bound.ceiling_restart:.1f}"
    return f"{plan.name:12} {within}; each restart exceeds the quota by {bound.quota_restart:.1f}{ceiling} at most"
