"""The options of a fleet, and the settings of its ingresses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from standins.deployments import MATCHING, Deployment
from standins.faults import Fault
from standins.match import ServerCapacity
from standins.verdict import PlanRule

SEMANTICS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
HALL_COUNT = 2  # number of halls; servers and ingresses belong to the hall `number % HALL_COUNT`


@dataclass(frozen=True, slots=True)
class Options:
    """The size and the duration of a run. `port` is that of the first ingress; 0 selects unused ports.

    `members`, `capacity` and `plans` default to those of the deployment. `loss` and `delay` configure the relay.
    """

    ingresses: int = 3
    servers: int = 10
    seconds: float = 10.0
    rate: float = 120.0
    seed: int = 1
    port: int = 0
    members: Mapping[str, int] = field(default_factory=dict)
    faults: tuple[Fault, ...] = ()
    capacity: ServerCapacity = None  # type: ignore[assignment]  # replaced in __post_init__
    loss: float = 0.01
    delay: float = 0.01
    switch_interval_s: float = 0.0
    plans: Mapping[str, PlanRule] = field(default_factory=dict)
    deployment: Deployment = MATCHING
    folders: bool = False  # give each ingress a state folder

    def __post_init__(self) -> None:
        for name in ("members", "capacity", "plans"):
            if not getattr(self, name):
                object.__setattr__(self, name, getattr(self.deployment, name))


def settings(o: Options, me: int) -> dict[str, Any]:
    """Return the settings of ingress number `me`."""
    d = o.deployment
    classes = [
        {
            "name": name,
            "semantics": SEMANTICS[c.effect],
            "objective": c.budget,
            "hardLimit": c.budget,
            "credit": d.worth.get(name, 1.0),
            "group": "all",
            "window": 15.0,
        }
        for name, c in d.classes.items()
    ]
    plans = [
        {
            "name": name,
            "rate": p.rate,
            "storeSize": p.burst,
            "capRate": p.ceiling_rate,
            "neverOverDepth": p.ceiling_burst,
            "pays": 1.0,
        }
        for name, p in o.plans.items()
    ]
    return {
        "balancers": o.ingresses,
        "me": me,
        "zone": "z0",
        "step": 0.004,
        "classes": classes,
        "plans": plans,
        "extra": {"counter": True, "counterTimeout": 0.08, "maxUnits": 4, "truedUp": False, "peerInPerS": 100.0},
        "limits": {
            "maxAttempts": d.max_attempts,
            "retryAfter": d.retry_after,
            "cancel": True,
            "peers": True,
            "connIdle": 15.0,
            "mayProbe": True,
            "connectTimeout": 0.5,
            "maxRetryAfter": 1.0,
        },
        "invariants": {
            "drainGrace": 1.0,
            "fallMultiple": d.cold_multiple,
            "tipAfter": d.cold_window,
            "startCapacity": o.capacity.cold,
            "cold": o.capacity.cold_s,
        },
    }
