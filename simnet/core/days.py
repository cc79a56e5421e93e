"""Random scenarios ("days") of the simulated core: number of machines, faults, and orders of operators."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from simnet.core.faults.fault import Fault

FIRST_FAULT_S = 4.0
FIRST_ORDER_S = 1.5
LONG_FAULT_S = 20.0  # duration of the few cuts, freezes and kills that are long
EARLIEST_ORDER_S = 2.0  # earliest time of all orders but the first


class PlannedOrder(NamedTuple):
    """An operator's action at a time: 'put', 'race', 'evacuate' or 'read'; the random `lot` selects its parameters."""

    at: float
    what: str
    lot: int


class Day(NamedTuple):
    """The scenario of one seed.

    `strict`: no fault exceeds the tolerance of the settings. `slow` is the factor on the network delays. `closing` is a
    last fault, after the recovery from the others.
    """

    machines: int
    strict: bool
    slow: float
    faults: list[Fault]
    orders: list[PlannedOrder]
    closing: Fault | None


VARIANTS: dict[str, tuple[tuple[str, ...], ...]] = {
    "node_kill": (
        (),
        ("power",),
        ("leader",),
        ("leader", "power"),
        ("leader", "race", "hard"),
        ("meet",),
        ("replica",),
    ),
    "roll_term": ((),),
    "herd_kill": ((), ("power",)),
    "seed_turnover": ((),),
    "after_ack_kill": ((), ("kill",), ("timed",), ("timed", "kill")),
    "after_ack_wipe": ((), ("lot",), ("timed",), ("timed", "lot")),
    "disk_stall": ((), ("leader",), ("replica",)),
    "disk_slow": ((), ("leader",), ("replica",)),
    "disk_full": ((), ("leader",), ("replica",)),
    "zone_loss": ((),),
    "zone_cut": ((),),
    "core_cut": ((), ("leader",), ("leader", "one_way"), ("one_way",), ("seeds",), ("both",), ("leader", "race")),
    "link_cut": ((), ("leader",), ("leader", "one_way"), ("one_way",)),
    "node_freeze": ((), ("leader",), ("replica",)),
    "node_slow": ((), ("leader",)),
    "replace_core": ((), ("leader",), ("planned",), ("planned", "leader"), ("replica",), ("planned", "replica")),
    "returns": ((),),
    "clock_step": ((),),
    "hup": ((),),
    "reset_conns": ((), ("leader",)),
    "ack_lost": ((),),
    "client_kill": ((),),
    "client_reset": ((),),
}
FREQUENT_KINDS = (
    "node_kill",
    "after_ack_kill",
    "after_ack_wipe",
    "core_cut",
    "link_cut",
    "node_freeze",
    "replace_core",
)
KINDS = (*VARIANTS, *FREQUENT_KINDS, *FREQUENT_KINDS)
SECOND_LOSSES = ("replace_core", "replace_core", "node_kill", "after_ack_wipe", "core_cut", "node_freeze")
CLOSING_FAULTS = (
    ("wipe_after_ack", ()),
    ("wipe_after_ack", ("leader",)),
    ("wipe_after_ack", ("replica",)),
    ("wipe_after_ack", ("alone", "leader")),
    ("wipe_after_ack", ("timed",)),
    ("power_off_all", ()),
    ("kill_all", ()),
)


def draw(seed: int) -> Day:
    """Draw the day of a seed."""
    rng = random.Random(seed * 7919 + 1)
    machines = rng.choice((3, 3, 3, 5))
    strict = rng.random() < 0.6
    faults = _draw_faults(rng)
    last = max(fault.at for fault in faults)
    orders = _draw_orders(rng, faults, last + 6.0)
    closing = None
    if rng.random() < 0.4:
        kind, how = rng.choice(CLOSING_FAULTS)
        closing = Fault(0.0, kind, 0.3 + rng.random(), how, lot=rng.randrange(12))
    return Day(machines, strict, rng.choice((1.0, 1.0, 20.0)), faults, orders, closing)


def _draw_faults(rng: random.Random) -> list[Fault]:
    """Draw the faults.

    About one day in three begins with two losses in a row, where the second comes as soon as the first is repaired.
    """
    faults: list[Fault] = []
    at = FIRST_FAULT_S
    if rng.random() < 0.35:
        for kind in (rng.choice(SECOND_LOSSES[:4]), rng.choice(SECOND_LOSSES)):
            faults.append(_draw_fault(rng, at, kind))
            at += rng.choice((0.01, 0.3, 1.0))
    for _ in range(rng.randint(1, 5)):
        at += rng.choice((0.02, 0.5, 1.5, 4.0)) * (0.5 + rng.random())
        faults.append(_draw_fault(rng, at, rng.choice(KINDS)))
    return faults


def _draw_fault(rng: random.Random, at: float, kind: str) -> Fault:
    duration_s = rng.choice((0.2, 1.0, 3.0, 6.0)) * (0.5 + rng.random())
    if kind in ("core_cut", "node_freeze", "node_kill") and rng.random() < 0.15:
        duration_s = LONG_FAULT_S
    count = 1 if rng.random() < 0.7 else 2
    how = rng.choice(VARIANTS[kind])
    lot = rng.randrange(12)
    return Fault(at, kind, duration_s, how, count, lot, rng.choice((0.5, 1.0, 2.0, 3.0)))


def _draw_order_time(rng: random.Random, faults: Sequence[Fault], end: float) -> float:
    """Draw the time of an order, which is close to a fault with probability 0.6."""
    if rng.random() < 0.6:
        return rng.choice(faults).at + rng.random() * 0.8 - 0.2
    return FIRST_FAULT_S + rng.random() * end


def _draw_orders(rng: random.Random, faults: Sequence[Fault], end: float) -> list[PlannedOrder]:
    orders = [PlannedOrder(FIRST_ORDER_S + rng.random(), "put", 0)]
    orders += [PlannedOrder(fault.at + 0.02, "put", 0) for fault in faults if fault.kind.startswith("after_ack")]
    for _ in range(rng.randint(4, 14)):
        at = _draw_order_time(rng, faults, end)
        what = rng.choice(("put", "put", "put", "race", "evacuate", "read", "read"))
        orders.append(PlannedOrder(max(EARLIEST_ORDER_S, at), what, rng.randrange(12)))
    return sorted(orders)
