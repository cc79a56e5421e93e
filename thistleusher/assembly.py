"""Assembles the decision module from its parts, in the same way for the daemon, the library and the simulator."""

from __future__ import annotations

from thistleusher.core.datagrams import USAGE_ENTRIES_MAX
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.gossip import Gossip
from thistleusher.policy import Gateway
from thistleusher.quota import EscrowTable, Placement
from thistleusher.quota.bound import simultaneous_start_burst
from thistleusher.quota.demands import DEMAND_INTERVAL_S
from thistleusher.quota.terms import Terms


def make_gateway(settings: Settings, seed: int, now: float, placement: Placement | None = None) -> Gateway:
    """Return the decision module of one ingress.

    now: Unix time of the start in seconds
    placement: placement of names on several counters, None with one counter
    """
    return Gateway(settings, seed, now, make_escrow(settings, now), placement, make_gossip(settings, now))


def make_gossip(settings: Settings, now: float) -> Gossip | None:
    """Return the gossip module for many ingresses, or None if each update is sent to every peer."""
    if not settings.uses_gossip:
        return None
    return Gossip(
        settings.instances, settings.me, settings.peer_in_per_s, USAGE_ENTRIES_MAX, settings.counter_timeout, now
    )


def quota_terms(plan: PlanSettings, max_units: float) -> Terms | None:
    """Return the terms of the allowance that is divided into shares, or None if the plan has no limit.

    most: maximum units of a request
    """
    if plan.ceiling_rate > 0 and plan.ceiling_burst > 0:
        return Terms(
            plan.ceiling_rate,
            plan.ceiling_burst,
            simultaneous_start_burst=simultaneous_start_burst(plan),
            prefetch_below=max_units,
        )
    if plan.rate <= 0 or plan.burst <= 0:
        return None
    return Terms(
        plan.rate, plan.burst, max_units, simultaneous_start_burst(plan), strict=False, prefetch_below=max_units
    )


def allowance_terms(settings: Settings) -> dict[str, tuple[float, float]]:
    """Return rate and burst of each plan's allowance. A reservation saved under different terms is invalid."""
    terms_by_plan = {p.name: quota_terms(p, settings.max_units) for p in settings.plans}
    return {name: (terms.rate, terms.burst) for name, terms in terms_by_plan.items() if terms is not None}


def make_escrow(settings: Settings, now: float) -> EscrowTable | None:
    """Return the escrowed shares of each plan's ceiling, or of its quota if it has no ceiling.

    Returns None if peers cannot be notified. Demands and their answers use at most half of the messages that an ingress
    accepts. Ingresses that start together share one burst of the quota.
    """
    if not settings.peers or not 2 <= settings.instances <= 255 or settings.peer_in_per_s <= 0:
        return None
    terms = tuple(quota_terms(p, settings.max_units) for p in settings.plans)
    interval_per_peer = 4 / settings.peer_in_per_s
    if settings.uses_gossip:
        return EscrowTable(settings.instances, settings.me, now, terms, DEMAND_INTERVAL_S, interval_per_peer)
    return EscrowTable(
        settings.instances,
        settings.me,
        now,
        terms,
        max(DEMAND_INTERVAL_S, interval_per_peer * (settings.instances - 1)),
    )
