"""Deployments that the stand-ins can run: the traffic of members, the settings of ingresses and the audited limits.

They differ in properties that an ingress must not assume: whether the most valuable class may be sent again, whether
plans have ceilings, whether members are told when to retry, and how much load a cold server can take.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from standins.front import RequestClass
from standins.match import ServerCapacity
from standins.verdict import PlanRule


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment. `members` gives the number of members by plan.

    A cold server fails at `cold_multiple` times the work that it can do within `cold_window` seconds.
    """

    name: str
    classes: Mapping[str, RequestClass]
    plans: Mapping[str, PlanRule]
    members: Mapping[str, int]
    capacity: ServerCapacity
    max_attempts: int = 3
    retry_after: bool = False
    cold_multiple: float = 4.0
    cold_window: float = 1.5
    worth: Mapping[str, float] = field(default_factory=dict)  # by class; 1 for a class that is missing


MATCHING = Deployment(
    "matching",
    {
        "browse": RequestClass("safe", 0.7),
        "send-message": RequestClass("keyed", 0.25),
        "charge": RequestClass("unsafe", 0.05),
    },
    {"basic": PlanRule(2.4, 10.0), "plus": PlanRule(16.0, 36.0, 29.0, 65.0)},
    {"basic": 40, "plus": 8},
    ServerCapacity(cores=3, work=0.03, cold=0.3, cold_s=5.0),
)

# The most valuable class is not idempotent and is half of the traffic; no plan has a ceiling.
BILLING = Deployment(
    "billing",
    {"share-read": RequestClass("safe", 0.51), "settle-post": RequestClass("unsafe", 0.49, 4.0)},
    {"klein": PlanRule(1.6, 7.0), "mittel": PlanRule(5.2, 24.0), "gross": PlanRule(21.0, 42.0)},
    {"klein": 30, "mittel": 16, "gross": 4},
    ServerCapacity(cores=2, work=0.03, cold=0.22, cold_s=6.0),
    max_attempts=5,
    retry_after=True,
    cold_multiple=2.0,
    cold_window=3.0,
    worth={"share-read": 3.0, "settle-post": 9.0},
)

DEPLOYMENTS = {d.name: d for d in (MATCHING, BILLING)}
