"""Addresses, zones and ports of the whole system on loopback, and the operator's configurations."""

from __future__ import annotations

from typing import Any

CORES = ("127.0.41.1", "127.0.41.2", "127.0.42.1")
FRONTS = ("127.0.41.11", "127.0.42.11", "127.0.43.11")
ZONES = {"127.0.41": "z-1", "127.0.42": "z-2", "127.0.43": "z-3"}
REGIONS = {"z-1": "r-1", "z-2": "r-1", "z-3": "r-2"}
CONTROL, FRONT, READY, DIRECTORY = 18381, 18388, 18384, 18383  # listening ports
HOST = "shop.example"


def zone_of(ip: str) -> str:
    """Return the zone that an address is in."""
    return ZONES[ip.rpartition(".")[0]]


def configuration(version: int, service: str = "ledger", rate: float = 40.0) -> dict[str, Any]:
    """Return a configuration in the format of the operator's API."""
    route = {
        "hostname": HOST,
        "variant": "pure",
        "deadline_ms": 3000,
        "target_ms": 800,
        "rank": 1,
        "tries": 2,
        "public": False,
        "regions_allowed": [],
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "read": {**route, "path_prefix": "/read/", "target": service},
            "pay": {**route, "path_prefix": "/pay/", "variant": "effectful", "target": "ledger"},
        },
        "services": {
            name: {
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "cold_per_s": 0.0,
            }
            for name in ("ledger", "pages")
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": {
            "large": {"api_keys": ["key-large"], "rate_per_s": 1000, "burst": 1000},
            "small": {"api_keys": ["key-small"], "rate_per_s": rate, "burst": rate},
        },
    }
