"""The core's drawn days: faults and orders at times that a seed draws, then quiet, in which all must come back."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from simnet.core.cluster import Cluster
from simnet.core.faults import Fault, Faults
from simnet.core.history import held_order
from simnet.errors import RuleViolationError

QUIET_S = 6.0  # after the last trouble, in which the core must be back
ANSWER_S = 2.0  # after that, in which a change must be acknowledged
READ_S = 4.0  # for the last read
FIRST_FAULT_S = 4.0
LONGEST_DAY_S = 300.0
SPARE_ITEMS = 4  # items on a disk beyond those of the state that it holds

Moment = tuple[float, str, int]  # an order: when, what, a number to draw from


class Day(NamedTuple):
    """What a seed draws. `strict`: all faults keep to the tolerance of the settings."""

    machines: int
    strict: bool
    slow: float
    faults: list[Fault]
    orders: list[Moment]
    closing: Fault | None


HOWS: dict[str, tuple[tuple[str, ...], ...]] = {
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
OFTEN = ("node_kill", "after_ack_kill", "after_ack_wipe", "core_cut", "link_cut", "node_freeze", "replace_core")
KINDS = (*HOWS, *OFTEN, *OFTEN)
SECOND_LOSSES = ("replace_core", "replace_core", "node_kill", "after_ack_wipe", "core_cut", "node_freeze")
CLOSING = (
    ("wipe_after_ack", ()),
    ("wipe_after_ack", ("leader",)),
    ("wipe_after_ack", ("replica",)),
    ("wipe_after_ack", ("alone", "leader")),
    ("wipe_after_ack", ("timed",)),
    ("power_off_all", ()),
    ("kill_all", ()),
)


def draw(seed: int) -> Day:
    """A seed's day."""
    rng = random.Random(seed * 7919 + 1)
    machines = rng.choice((3, 3, 3, 5))
    strict = rng.random() < 0.6
    faults = _draw_faults(rng)
    at = max(f.at for f in faults)
    orders = _draw_orders(rng, faults, at + 6.0)
    closing = None
    if rng.random() < 0.4:
        kind, how = rng.choice(CLOSING)
        closing = Fault(0.0, kind, 0.3 + rng.random(), how, lot=rng.randrange(12))
    return Day(machines, strict, rng.choice((1.0, 1.0, 20.0)), faults, orders, closing)


def _draw_faults(rng: random.Random) -> list[Fault]:
    """Some faults; one time in three two losses in a row, the second as soon as the first has been made good."""
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
    for_s = rng.choice((0.2, 1.0, 3.0, 6.0)) * (0.5 + rng.random())
    if kind in ("core_cut", "node_freeze", "node_kill") and rng.random() < 0.15:
        for_s = 20.0
    count = 1 if rng.random() < 0.7 else 2
    return Fault(at, kind, for_s, rng.choice(HOWS[kind]), count, rng.randrange(12), rng.choice((0.5, 1.0, 2.0, 3.0)))


def _draw_orders(rng: random.Random, faults: Sequence[Fault], end: float) -> list[Moment]:
    orders: list[Moment] = [(1.5 + rng.random(), "put", 0)]
    orders += [(f.at + 0.02, "put", 0) for f in faults if f.kind.startswith("after_ack")]
    for _ in range(rng.randint(4, 14)):
        near = rng.random() < 0.6
        at = rng.choice(faults).at + rng.random() * 0.8 - 0.2 if near else FIRST_FAULT_S + rng.random() * end
        what = rng.choice(("put", "put", "put", "race", "evacuate", "read", "read"))
        orders.append((max(2.0, at), what, rng.randrange(12)))
    return sorted(orders)


def order(cluster: Cluster, what: str, lot: int) -> None:
    """One order of an operator, or two at once under one number."""
    if what == "put":
        cluster.version += 1 + lot % 3
        cluster.operators.put(cluster.version, f"c{cluster.version}")
    elif what == "race":
        cluster.version += 1
        for side in "xy":
            cluster.operators.put(cluster.version, f"c{cluster.version}{side}")
    elif what == "evacuate":
        cluster.operators.evacuate("abc"[lot % 3], lot % 2 == 0)
    else:
        cluster.operators.read()


def play(cluster: Cluster, day: Day) -> None:
    """A day to its end."""
    faults = Faults(cluster, day.strict)

    def more_orders() -> None:
        for _ in range(cluster.rng.randrange(3)):
            what, lot = cluster.rng.choice(("put", "race", "read")), cluster.rng.randrange(12)
            cluster.clock.later(cluster.rng.random(), lambda w=what, n=lot: order(cluster, w, n))  # type: ignore[misc]

    faults.on_strike = more_orders
    faults.schedule(day.faults)
    for at, what, lot in day.orders:
        cluster.clock.at(at, lambda w=what, n=lot: order(cluster, w, n))  # type: ignore[misc]
    cluster.clock.run(max([8.0, *(f.at for f in day.faults), *(at for at, _, _ in day.orders)]) + 1.0)
    _quiet(cluster, faults)
    if day.closing is not None:
        faults.schedule([replace(day.closing, at=cluster.clock.now)])
        cluster.clock.run(cluster.clock.now + 0.001)
        order(cluster, "put", 0)
        cluster.clock.run(cluster.clock.now + 2.5)
        _quiet(cluster, faults)
    finish(cluster)


def _quiet(cluster: Cluster, faults: Faults) -> None:
    """Go on until all faults have come and gone, and then for as long as the core may take to be back."""
    while faults.waiting or cluster.clock.now < cluster.calm_since + QUIET_S:
        if cluster.clock.now > LONGEST_DAY_S:
            raise RuleViolationError("the day does not end: a fault waits for ever, or trouble does not")
        cluster.clock.run(cluster.clock.now + 0.1)


def finish(cluster: Cluster) -> None:
    """What must hold at the end of a day, in calm."""
    operators, history = cluster.operators, cluster.history
    operators.acks_lost_until = 0.0
    present = [m.address for m in cluster.present()]
    before = len(operators.acks)
    cluster.version += 1
    operators.put(cluster.version, f"c{cluster.version}", present)
    cluster.clock.run(cluster.clock.now + ANSWER_S)
    if len(operators.acks) == before:
        raise RuleViolationError(
            f"the core did not come back: a change in calm was not acknowledged within {ANSWER_S} s"
        )
    least = history.acknowledged
    operators.read(present)
    cluster.clock.run(cluster.clock.now + READ_S)
    held = held_order(operators.last_read).number
    if held < least:
        raise RuleViolationError(f"LOST: at the end {held} is read, acknowledged was {least}")
    most = len(operators.last_read.items) + SPARE_ITEMS
    for machine in cluster.running():
        if len(machine.disk.items) > most:
            raise RuleViolationError(
                f"{machine.address} has {len(machine.disk.items)} items on disk, the state has fewer"
            )


def run(seed: int, faults: Sequence[Fault] | None = None) -> Cluster:
    """Play a seed's day, with its own faults or fewer. RuleViolationError says which rule."""
    day = draw(seed)
    if faults is not None:
        day = day._replace(faults=list(faults))
    cluster = Cluster(seed, day.machines, slow=day.slow)
    try:
        play(cluster, day)
    except RuleViolationError as broken:
        broken.add_note("\n".join([*cluster.log[-80:], f"{cluster.clock.now:8.3f} broken"]))
        raise
    return cluster


def shrink(seed: int) -> list[Fault]:
    """The fewest of a seed's faults that still break a rule, each tried without."""
    faults, at = draw(seed).faults, 0
    while at < len(faults):
        fewer = faults[:at] + faults[at + 1 :]
        try:
            run(seed, fewer)
            at += 1
        except RuleViolationError:
            faults = fewer
    return faults
