"""Where the simulated system stands, what its bounds are, and the configuration that its operator puts."""

from __future__ import annotations

import json
from typing import Any

from thistleusher.common.node_settings import Bounds

RATE = BURST = 40.0  # of the one limited tenant
BOUNDS = Bounds()
CORES = {"c1": ("a1", "a"), "c2": ("a1", "a"), "c3": ("a2", "a")}
PROXIES = {"d1": ("a1", "a"), "d2": ("a2", "a"), "d3": ("b1", "b"), "d4": ("b2", "b")}
PLACES = {**CORES, **PROXIES}  # machine -> zone, region
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}  # zone -> region
DEADLINE_S = 2.0


def way(a: str, b: str) -> float:
    """Seconds from one zone to another."""
    if a == b:
        return 0.0002
    return 0.0014 if ZONES[a] == ZONES[b] else 0.055


def document(version: int) -> bytes:
    """A configuration: two routes, one limited tenant and one that is not."""

    def route(name: str, variant: str) -> dict[str, Any]:
        return {
            "hostname": "h",
            "path_prefix": f"/{name}/",
            "variant": variant,
            "deadline_ms": 2000,
            "target_ms": 600,
            "target": "s",
            "tries": 2,
        }

    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"pure": route("p", "pure"), "once": route("o", "x")},
            "services": {"s": {"max_conns": 100}},
            "limits": {},
            "tenants": {"t": {"rate_per_s": RATE, "burst": BURST}, "free": {}},
        }
    ).encode()
