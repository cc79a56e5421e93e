"""Which backends a request may go to, in tiers: near ones first, never outside its homes.

Tiers by what the way costs: this region, then all others. A backend in an evacuated zone, one that is draining, and
one that a 421 has shown to be somebody else are in none. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from thistleusher.core.backend_record import Backend


@dataclass(slots=True)
class Place:
    """One backend as the list tells of it; `cold_until`: on this ingress's steady clock."""

    name: str
    service: str
    address: tuple[str, int]
    zone: str
    region: str
    slots: int
    draining: bool
    cold_until: float = 0.0


@dataclass(slots=True)
class Ground:
    """Where this ingress is, and which zones are to be left."""

    zone: str
    region: str
    evacuated: set[str] = field(default_factory=set)


def homes_of(*bounds: Iterable[str]) -> frozenset[str] | None:
    """The regions that all of several bounds allow; None where none of them binds."""
    homes: frozenset[str] | None = None
    for bound in bounds:
        regions = frozenset(bound)
        if regions:
            homes = regions if homes is None else homes & regions
    return homes


def tiers(
    ground: Ground,
    places: dict[str, Place],
    ready: list[Backend],
    homes: frozenset[str] | None,
) -> list[list[Backend]]:
    """The backends that may be sent to, nearest tier first. Costs a look at each."""
    near: list[Backend] = []
    far: list[Backend] = []
    for backend in ready:
        place = places.get(backend.entry.backend)
        if place is None or place.draining or place.zone in ground.evacuated:
            continue
        if homes is not None and place.region not in homes:
            continue
        (near if place.region == ground.region else far).append(backend)
    return [tier for tier in (near, far) if tier]
