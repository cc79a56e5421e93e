"""Derives a request's class, service and allowed regions from its matched route. Free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable

from thistleusher.configuration.index import RouteMatch
from thistleusher.core.settings import ClassSettings, Effect

MIN_OBJECTIVE_S = 0.05  # lower bound of a class's latency target


def class_settings_of(match: RouteMatch) -> ClassSettings:
    """Return the request class that represents a route in the decision module."""
    route = match.route
    return ClassSettings(
        match.name,
        Effect.SAFE if route.idempotent else Effect.UNSAFE,
        max(MIN_OBJECTIVE_S, route.target_ms / 1000),
        route.deadline_ms / 1000,
    )


def draw_service(match: RouteMatch, rng: random.Random) -> str:
    """Return one of the route's services at random by weight; a route to a single service uses no random number."""
    shares = match.route.weighted_services
    if len(shares) == 1:
        return shares[0].target
    draw = rng.random() * sum(share.weight for share in shares)
    for share in shares:
        draw -= share.weight
        if draw < 0:
            return share.target
    return max(shares, key=lambda share: share.weight).target  # reached only by rounding errors


def allowed_regions(*limits: Iterable[str]) -> frozenset[str] | None:
    """Return the regions that all limits allow, None if there is no restriction; an empty limit allows every region."""
    allowed: frozenset[str] | None = None
    for limit in limits:
        regions = frozenset(limit)
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed
