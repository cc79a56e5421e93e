"""Runs of drawn days on the simulated core: faults and orders at their times, then quiet in which all must recover."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from functools import partial

from simnet.core.cluster import Cluster
from simnet.core.days import Day, draw
from simnet.core.faults.fault import Fault
from simnet.core.faults.injector import FaultInjector
from simnet.core.history import order_in
from simnet.errors import RuleViolationError

QUIET_S = 6.0  # after the last fault, in which the core must be back
ANSWER_S = 2.0  # after that, in which a change must be acknowledged
READ_S = 4.0  # for the last read
AFTER_CLOSING_S = 2.5  # from the closing fault until quiet is waited for
SHORTEST_DAY_S = 8.0
LONGEST_DAY_S = 300.0
SPARE_ITEMS = 4  # items on a disk beyond those of the state that it holds
LOG_LINES = 80  # of the newest, that a violation shows


def order(cluster: Cluster, what: str, lot: int) -> None:
    """Give one order of an operator, or two at once under one number."""
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
    """Play a day to its end. Raises RuleViolationError as soon as a rule is broken."""
    injector = FaultInjector(cluster, day.strict)

    def order_more() -> None:
        for _ in range(cluster.rng.randrange(3)):
            what, lot = cluster.rng.choice(("put", "race", "read")), cluster.rng.randrange(12)
            cluster.clock.later(cluster.rng.random(), partial(order, cluster, what, lot))

    injector.on_strike = order_more
    injector.schedule(day.faults)
    for at, what, lot in day.orders:
        cluster.clock.at(at, partial(order, cluster, what, lot))
    times = [fault.at for fault in day.faults] + [planned.at for planned in day.orders]
    cluster.clock.run(max([SHORTEST_DAY_S, *times]) + 1.0)
    _wait_for_quiet(cluster, injector)
    if day.closing is not None:
        injector.schedule([replace(day.closing, at=cluster.clock.now)])
        cluster.clock.run(cluster.clock.now + 0.001)
        order(cluster, "put", 0)
        cluster.clock.run(cluster.clock.now + AFTER_CLOSING_S)
        _wait_for_quiet(cluster, injector)
    finish(cluster)


def _wait_for_quiet(cluster: Cluster, injector: FaultInjector) -> None:
    """Go on until all faults have come and gone, and then for as long as the core may take to be back."""
    while injector.waiting or cluster.clock.now < cluster.calm_since + QUIET_S:
        if cluster.clock.now > LONGEST_DAY_S:
            raise RuleViolationError("the day does not end: a fault waits for ever, or does not end")
        cluster.clock.run(cluster.clock.now + 0.1)


def finish(cluster: Cluster) -> None:
    """Check what must hold at the end of a day, in calm."""
    operators = cluster.operators
    operators.acks_lost_until = 0.0
    present = [machine.address for machine in cluster.present()]
    before = len(operators.acks)
    cluster.version += 1
    operators.put(cluster.version, f"c{cluster.version}", present)
    cluster.clock.run(cluster.clock.now + ANSWER_S)
    if len(operators.acks) == before:
        raise RuleViolationError(
            f"the core did not come back: a change in calm was not acknowledged within {ANSWER_S} s"
        )
    least = cluster.history.acknowledged
    operators.read(present)
    cluster.clock.run(cluster.clock.now + READ_S)
    number = order_in(operators.last_read).number
    if number < least:
        raise RuleViolationError(f"LOST: at the end {number} is read, acknowledged was {least}")
    most = len(operators.last_read.items) + SPARE_ITEMS
    for machine in cluster.running():
        if len(machine.disk.items) > most:
            raise RuleViolationError(
                f"{machine.address} has {len(machine.disk.items)} items on disk, the state has fewer"
            )


def run(seed: int, faults: Sequence[Fault] | None = None) -> Cluster:
    """Play a seed's day, with its own faults or fewer. RuleViolationError says which rule is broken."""
    day = draw(seed)
    if faults is not None:
        day = day._replace(faults=list(faults))
    cluster = Cluster(seed, day.machines, slow=day.slow)
    try:
        play(cluster, day)
    except RuleViolationError as violation:
        violation.add_note("\n".join([*cluster.log[-LOG_LINES:], f"{cluster.clock.now:8.3f} broken"]))
        raise
    return cluster


def shrink(seed: int) -> list[Fault]:
    """Return the fewest of a seed's faults that still break a rule, each tried without."""
    faults = draw(seed).faults
    at = 0
    while at < len(faults):
        fewer = faults[:at] + faults[at + 1 :]
        try:
            run(seed, fewer)
            at += 1
        except RuleViolationError:
            faults = fewer
    return faults
