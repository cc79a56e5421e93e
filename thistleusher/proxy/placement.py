"""Backends of the registry's list, and the tiers in which they are considered for a request.

Tiers are ordered by network cost: this proxy's region first, then all other regions. A backend that is draining or lies
in an evacuated zone is in no tier. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from thistleusher.core.backend_record import Backend


@dataclass(slots=True)
class ListedBackend:
    """A backend of the registry's list; `warming_until`: end of its slow start on this proxy's monotonic clock."""

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
    """The zone and region of this proxy, and the evacuated zones."""

    zone: str
    region: str
    evacuated_zones: set[str] = field(default_factory=set)


def tiers(
    locality: Locality,
    listed: Mapping[str, ListedBackend],
    ready: list[Backend],
    allowed_regions: frozenset[str] | None,
) -> list[list[Backend]]:
    """Return the eligible backends by tier, nearest tier first, without empty tiers; linear in the ready backends."""
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
