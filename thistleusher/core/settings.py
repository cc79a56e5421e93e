"""Settings of the decision module: request classes, plans, and the parameters of one ingress."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from thistleusher.core.datagrams import NOTIFY_INTERVAL_S, NOTIFY_SHARE


class Effect(Enum):
    """Effect of repeating a request."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends that together deduplicate a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(ok: bool, name: str, wanted: str, value: object) -> None:
    if not ok:
        raise ValueError(f"{name}: expected {wanted}, got {value!r}")


def _require_non_negative(owner: object, prefix: str, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _require(math.isfinite(value) and value >= 0, prefix + name, "a finite number of 0 or more", value)


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One request class: its effect when repeated, latency target (`objective`) and value. Times are in seconds."""

    name: str
    effect: Effect
    objective: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: float = 0.0

    def __post_init__(self) -> None:
        _require(isinstance(self.effect, Effect), "classes.effect", "an Effect", self.effect)
        _require(isinstance(self.group, Group), "classes.group", "a Group", self.group)
        _require_non_negative(self, "classes.", "objective", "deadline", "worth", "late_worth", "window")


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """One plan: quota (rate in units per second, and burst), ceiling (a second, higher limit) and price."""

    name: str
    rate: float
    burst: float
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    max_open: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _require_non_negative(
            self,
            "plans.",
            "rate",
            "burst",
            "price",
            "over_worth",
            "over_cost",
            "max_open",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        )

    def wide(self, width: int) -> bool:
        """Return whether an even share of the burst between `width` ingresses is below one unit."""
        return width > self.burst


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one ingress. Times are in seconds. ValueError names an invalid field."""

    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    instances: int = 1
    me: int = 0
    zone: str = ""
    step: float = 0.0
    counter: bool = False
    counter_timeout: float = 0.05
    counter_price: float = 0.0
    max_units: float = 1.0
    settles: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after: float = 0.0
    may_probe: bool = False
    may_cancel: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    second_copies: bool = False
    own_backends: bool = False  # the backends serve only this ingress
    own_counter: bool = False  # the counter started with this ingress and serves only it
    list_on_request: bool = False
    ask_every: float = 10.0
    load_in_answers: bool = False
    load_in_probes: bool = False
    drain_grace: float = 0.0
    fall_multiple: float = 1.0
    fall_after: float = 1.0
    start_capacity: float = 1.0
    cold_time: float = 0.0
    connect_timeout: float = 0.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    cancel_stops_work: bool = False  # backends stop work when the connection closes; else it remains load

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _require(len(self.plans) > 0, "plans", "at least one plan", self.plans)
        _require(self.instances >= 1, "instances", "1 or more", self.instances)
        _require(self.max_attempts >= 1, "max_attempts", "1 or more", self.max_attempts)
        _require_non_negative(
            self,
            "",
            "me",
            "step",
            "counter_timeout",
            "counter_price",
            "max_units",
            "max_retry_after",
            "peer_in_per_s",
            "ask_every",
            "drain_grace",
            "fall_multiple",
            "fall_after",
            "start_capacity",
            "cold_time",
            "connect_timeout",
            "late_fail_price",
            "waste_price",
            "cross_zone_price",
            "probe_price",
        )

    @property
    def uses_gossip(self) -> bool:
        """Whether there are too many peers to send each one every update per tick, so updates go to sets and owners."""
        return (
            self.peers
            and self.counter
            and 0 < NOTIFY_INTERVAL_S * NOTIFY_SHARE * self.peer_in_per_s < self.instances - 1
        )
