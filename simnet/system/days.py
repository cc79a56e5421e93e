"""Random scenarios ("days") of the simulated system.

A seed determines the faults and the planned work, with their times. A period without faults follows, in which the
recovery of the service is checked.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from simnet.errors import RuleViolationError
from simnet.system.clients import RECOVERY_LIMITED_SHARE
from simnet.system.faults import Fault, FaultInjector, FaultKind
from simnet.system.rules import FAULT_FREE_S
from simnet.system.world import World

FIRST_CONFIGURATION_S = 2.0
FIRST_CHECK_S = 3.0
FIRST_FAULT_S = 5.0
MIN_DAY_S = 6.0
RECOVERY_S = 5.0  # recovery time after the last fault and `FAULT_FREE_S`, before requests are counted
MEASUREMENT_S = 4.0  # period in which requests are counted
MIN_ANSWERS = 100  # minimum number of answers in `MEASUREMENT_S`
MIN_SERVED_SHARE = 0.9  # minimum fraction of answers that are successful
WIPE_ISOLATION_S = 6.0  # minimum time without a fault before and after a loss of a disk
KINDS: tuple[FaultKind, ...] = tuple(FaultKind)


class PlannedWork(NamedTuple):
    """An action of the operator at a time: 'put', 'drain', 'begin ZONE' or 'end ZONE'."""

    at: float
    what: str


class Day(NamedTuple):
    """The faults and the planned work of one seed."""

    faults: list[Fault]
    planned: list[PlannedWork]


def draw(seed: int, kinds: Sequence[FaultKind] = KINDS) -> Day:
    """Draw the day of a seed, with faults of the given kinds.

    A disk is lost only when no other fault is in force.
    """
    rng = random.Random(seed * 7907 + 3)
    at = FIRST_FAULT_S
    faults: list[Fault] = []
    for _ in range(rng.randint(1, 4)):
        at += rng.choice((0.1, 1.0, 3.0)) * (0.5 + rng.random())
        kind = rng.choice(kinds)
        wipe_before = bool(faults) and faults[-1].kind is FaultKind.CORE_WIPE
        if kind is FaultKind.CORE_WIPE or wipe_before:
            at = max([at, *(fault.at + fault.duration_s + WIPE_ISOLATION_S for fault in faults)])
        faults.append(Fault(at, kind, rng.choice((0.4, 1.2, 3.0)) * (0.5 + rng.random())))
    planned: list[PlannedWork] = []
    for _ in range(rng.randint(1, 5)):
        when = 5.0 + rng.random() * (at - 2.0)
        planned.append(PlannedWork(when, rng.choice(("put", "put", "drain", "begin a1", "end a1"))))
    return Day(faults, sorted(planned))


def run_day(world: World, day: Day) -> None:
    """Run a day: the first configuration, traffic with faults and planned work, recovery, and the final check.

    Raises RuleViolationError as soon as a rule is broken.
    """
    world.clock.at(FIRST_CONFIGURATION_S, partial(world.operator.put_configuration, 1))
    world.clock.at(FIRST_CHECK_S, world.check_overdue)
    injector = FaultInjector(world)
    for at, kind, duration_s in day.faults:
        world.clock.at(at, partial(injector.inject, kind, duration_s))
    _schedule(world, day.planned)
    ends = [fault.at + fault.duration_s for fault in day.faults]
    times = [work.at for work in day.planned]
    measurement_from = max([MIN_DAY_S, *ends, *times]) + FAULT_FREE_S + RECOVERY_S
    world.clock.run(measurement_from)
    world.clients.limited_share = RECOVERY_LIMITED_SHARE
    world.rules.reset_counts()
    world.clock.run(measurement_from + MEASUREMENT_S)
    _check_recovery(world)


def _schedule(world: World, planned: Sequence[PlannedWork]) -> None:
    version = 1
    for at, what in planned:
        action, _, zone = what.partition(" ")
        if action == "put":
            version += 1
            world.clock.at(at, partial(world.operator.put_configuration, version))
        elif action == "drain":
            world.clock.at(at, world.drain_backend)
        else:
            world.clock.at(at, partial(world.operator.evacuate, zone, action == "begin"))


def _check_recovery(world: World) -> None:
    served, answered = world.rules.served_count, world.rules.answered_count
    if answered < MIN_ANSWERS or served < MIN_SERVED_SHARE * answered:
        raise RuleViolationError(
            f"the service has not recovered from the faults: {served} of {answered} requests served"
        )
    if world.rules.acknowledged.version < 1:
        raise RuleViolationError("no configuration was ever acknowledged")


def run(seed: int, faults: Sequence[Fault] | None = None) -> World:
    """Run the day of a seed, with all its faults or with the given ones.

    Raises RuleViolationError if a rule is broken; its notes hold the log of the run.
    """
    day = draw(seed)
    if faults is not None:
        day = day._replace(faults=list(faults))
    world = World(seed)
    try:
        run_day(world, day)
    except RuleViolationError as violation:
        violation.add_note("\n".join([*world.log, f"at {world.clock.now:.3f}"]))
        raise
    return world


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
