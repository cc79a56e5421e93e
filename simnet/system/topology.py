"""Topology of the simulated system: machines, zones, regions, one-way delays, rule bounds and the configuration."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from thistleusher.common.node_settings import Bounds

BOUNDS = Bounds()
RATE_PER_S = BURST = 40.0  # quota of `LIMITED_TENANT`, the only tenant with a limit
LIMITED_TENANT, UNLIMITED_TENANT = "t", "free"
PURE_ROUTE, EFFECTFUL_ROUTE = "pure", "once"
SERVICE = "s"  # the only service; both routes lead to it
DEADLINE_S = 2.0  # deadline of each client request
TOLERANCE = 1  # number of core machines that may be lost at the same time

SAME_ZONE_S, SAME_REGION_S, OTHER_REGION_S = 0.0002, 0.0014, 0.055  # one-way network delays


class Location(NamedTuple):
    """The zone and the region of a machine."""

    zone: str
    region: str


CORES = {"c1": Location("a1", "a"), "c2": Location("a1", "a"), "c3": Location("a2", "a")}
PROXIES = {
    "d1": Location("a1", "a"),
    "d2": Location("a2", "a"),
    "d3": Location("b1", "b"),
    "d4": Location("b2", "b"),
}
MACHINES = {**CORES, **PROXIES}
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}  # zone -> region
BACKEND_ZONES = ("a1", "a1", "a2", "b1", "b1", "b2")  # zones of the initial backends, by backend number


def one_way_delay(sender_zone: str, receiver_zone: str) -> float:
    """Return the one-way network delay between two zones, in seconds."""
    if sender_zone == receiver_zone:
        return SAME_ZONE_S
    return SAME_REGION_S if REGIONS[sender_zone] == REGIONS[receiver_zone] else OTHER_REGION_S


def configuration_document(version: int) -> bytes:
    """Return a configuration as JSON, with two routes, one tenant with a quota and one tenant without."""

    def route(path: str, variant: str) -> dict[str, Any]:
        return {
            "hostname": "h",
            "path_prefix": f"/{path}/",
            "variant": variant,
            "deadline_ms": 2000,
            "target_ms": 600,
            "target": SERVICE,
            "tries": 2,
        }

    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {PURE_ROUTE: route("p", "pure"), EFFECTFUL_ROUTE: route("o", "x")},
            "services": {SERVICE: {"max_conns": 100}},
            "limits": {},
            "tenants": {LIMITED_TENANT: {"rate_per_s": RATE_PER_S, "burst": BURST}, UNLIMITED_TENANT: {}},
        }
    ).encode()
