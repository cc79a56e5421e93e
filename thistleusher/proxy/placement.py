"""Backends as the registry lists them, and the tiers in which a request may go to them.

Tiers by network cost: this region first, then all others. A backend that is draining or lies in an evacuated zone is in
no tier. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from thistleusher.core.backend_record import Backend


@dataclass(slots=True)
class ListedBackend:
    """One backend of the registry's list; `warming_until`: end of its warm-up on this ingress's steady clock."""

    name: str
    service: str
    address: tuple[str, int]
    zone: str
    region: str
    slots: int
    draining: bool
    warming_until: float = 0.0


@dataclass(slots=True)
class Locality:
    """Where this ingress runs, and which zones are evacuated."""

    zone: str
    region: str
    evacuated_zones: set[str] = field(default_factory=set)


def tiers(
    locality: Locality,
    listed: Mapping[str, ListedBackend],
    ready: list[Backend],
    allowed_regions: frozenset[str] | None,
) -> list[list[Backend]]:
    """Return the ready backends that may be sent to, nearest tier first; no tier is empty. Costs a look at each."""
    near: list[Backend] = []
    far: list[Backend] = []
    for backend in ready:
        entry = listed.get(backend.entry.backend)
        if entry is None or entry.draining or entry.zone in locality.evacuated_zones:
            continue
        if allowed_regions is not None and entry.region not in allowed_regions:
            continue
        (near if entry.region == locality.region else far).append(backend)
    return [tier for tier in (near, far) if tier]
