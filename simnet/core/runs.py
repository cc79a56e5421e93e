"""Runs of random days on the simulated core: faults and orders, then a period without faults and the final checks."""

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

RECOVERY_S = 6.0  # time after the last fault in which the core must recover
ACKNOWLEDGEMENT_TIMEOUT_S = 2.0  # time after recovery in which a change must be acknowledged
READ_TIMEOUT_S = 4.0  # time for the final read
AFTER_CLOSING_S = 2.5  # simulated time from the closing fault to the wait for recovery
MIN_DAY_S = 8.0  # minimum simulated time before the wait for recovery
MAX_DAY_S = 300.0  # limit in simulated time; a longer day counts as a violation
MAX_EXTRA_ITEMS = 4  # maximum number of items on a disk in excess of the items of the state
LOG_LINES = 80  # number of the newest log lines that a violation shows


def send_order(cluster: Cluster, what: str, lot: int) -> None:
    """Send one operator order, or two concurrent ones with the same number."""
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


def run_day(cluster: Cluster, day: Day) -> None:
    """Run a day to its end. Raises RuleViolationError as soon as a rule is broken."""
    injector = FaultInjector(cluster, day.strict)

    def send_more_orders() -> None:
        for _ in range(cluster.rng.randrange(3)):
            what, lot = cluster.rng.choice(("put", "race", "read")), cluster.rng.randrange(12)
            cluster.clock.later(cluster.rng.random(), partial(send_order, cluster, what, lot))

    injector.on_injected = send_more_orders
    injector.schedule(day.faults)
    for at, what, lot in day.orders:
        cluster.clock.at(at, partial(send_order, cluster, what, lot))
    times = [fault.at for fault in day.faults] + [planned.at for planned in day.orders]
    cluster.clock.run(max([MIN_DAY_S, *times]) + 1.0)
    _wait_for_recovery(cluster, injector)
    if day.closing is not None:
        injector.schedule([replace(day.closing, at=cluster.clock.now)])
        cluster.clock.run(cluster.clock.now + 0.001)
        send_order(cluster, "put", 0)
        cluster.clock.run(cluster.clock.now + AFTER_CLOSING_S)
        _wait_for_recovery(cluster, injector)
    finish(cluster)


def _wait_for_recovery(cluster: Cluster, injector: FaultInjector) -> None:
    """Run until all faults are over and the core has had `RECOVERY_S` to recover."""
    while injector.waiting or cluster.clock.now < cluster.fault_free_since + RECOVERY_S:
        if cluster.clock.now > MAX_DAY_S:
            raise RuleViolationError(f"the day lasts longer than {MAX_DAY_S} s: a fault still waits or does not end")
        cluster.clock.run(cluster.clock.now + 0.1)


def finish(cluster: Cluster) -> None:
    """Check the rules at the end of a day, without faults.

    A change is acknowledged and read back, and no disk has many superfluous items.
    """
    operators = cluster.operators
    operators.acks_lost_until = 0.0
    present = [machine.address for machine in cluster.present()]
    before = len(operators.acks)
    cluster.version += 1
    operators.put(cluster.version, f"c{cluster.version}", present)
    cluster.clock.run(cluster.clock.now + ACKNOWLEDGEMENT_TIMEOUT_S)
    if len(operators.acks) == before:
        raise RuleViolationError(
            f"the core did not recover: no acknowledgement of a change within {ACKNOWLEDGEMENT_TIMEOUT_S} s"
        )
    least = cluster.history.acknowledged
    operators.read(present)
    cluster.clock.run(cluster.clock.now + READ_TIMEOUT_S)
    number = order_in(operators.last_read).number
    if number < least:
        raise RuleViolationError(f"LOST: the final read returned number {number}, but {least} was acknowledged")
    most = len(operators.last_read.items) + MAX_EXTRA_ITEMS
    for machine in cluster.running():
        if len(machine.disk.items) > most:
            raise RuleViolationError(f"{machine.address} has {len(machine.disk.items)} items on disk, more than {most}")


def run(seed: int, faults: Sequence[Fault] | None = None) -> Cluster:
    """Run the day of a seed, with all its faults or with the given ones.

    Raises RuleViolationError if a rule is broken; its notes hold the newest log lines.
    """
    day = draw(seed)
    if faults is not None:
        day = day._replace(faults=list(faults))
    cluster = Cluster(seed, day.machines, slow=day.slow)
    try:
        run_day(cluster, day)
    except RuleViolationError as violation:
        violation.add_note("\n".join([*cluster.log[-LOG_LINES:], f"{cluster.clock.now:8.3f} broken"]))
        raise
    return cluster


def shrink(seed: int) -> list[Fault]:
    """Return a minimal subset of a seed's faults that still breaks a rule.

    Each fault is dropped if a rule is still broken without it.
    """
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
