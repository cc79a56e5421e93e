"""The size of a fleet, and what its ingresses are configured with."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from standins.deployments import MATCHING, Deployment
from standins.faults import Fault
from standins.match import Shape
from standins.verdict import PlanRule

SEMANTICS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
HALLS = 2  # servers and ingresses of odd numbers stand in another than those of even ones


@dataclass(frozen=True, slots=True)
class Options:
    """The size and the length of a run. `port` is the first ingress's; 0 takes free ones.

    What is left out is the deployment's own.
    """

    ingresses: int = 3
    servers: int = 10
    seconds: float = 10.0
    rate: float = 120.0
    seed: int = 1
    port: int = 0
    members: Mapping[str, int] = field(default_factory=dict)
    faults: tuple[Fault, ...] = ()
    shape: Shape = None  # type: ignore[assignment]  # set below
    loss: float = 0.01
    delay: float = 0.01
    move_s: float = 0.0
    plans: Mapping[str, PlanRule] = field(default_factory=dict)
    deployment: Deployment = MATCHING
    folders: bool = False  # a state folder for each ingress

    def __post_init__(self) -> None:
        for name in ("members", "shape", "plans"):
            if not getattr(self, name):
                object.__setattr__(self, name, getattr(self.deployment, name))


def settings(o: Options, me: int) -> dict[str, Any]:
    """Return an ingress's configuration."""
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
            "startCapacity": o.shape.cold,
            "cold": o.shape.cold_s,
        },
    }
