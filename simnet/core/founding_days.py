"""Random scenarios of the founding: kills, losses of power, freezes, cuts and disk trouble from the first moment on.

Unlike the days of `days`, troubles come before there is a first epoch, and may strike all founders at once. Afterwards
there must be one core that acknowledges, as soon as a majority of the seeds has run again with its disk for
`ACKNOWLEDGE_S`; and none at all if a majority of the seeds has lost its disk.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from simnet.core.cluster import Cluster
from simnet.core.machine import Machine
from simnet.core.runs import LOG_LINES, finish
from simnet.errors import RuleViolationError

ACKNOWLEDGE_S = 8.0  # `ack_within_ms` of the settings
COMPLETE_S = 12.0  # time for machines that were late to become voters, beyond ACKNOWLEDGE_S
LAST_TROUBLE_S = 4.0
RECORDING_S = 0.01  # span after the start in which the founders' records are written
FOUNDING_AT_S = 1.2  # about when the first epoch begins on an undisturbed day
KINDS = ("kill", "kill", "kill", "terminate", "power", "wipe", "freeze", "cut", "cut_pair", "stall", "slow", "full")


class Trouble(NamedTuple):
    """One trouble: its time, its kind, the number of machines from the one at `lot` on, and its duration in seconds."""

    at: float
    kind: str
    machines: int
    lot: int
    duration_s: float
    bootstrap: bool  # what the settings of the processes that start again say


class FoundingDay(NamedTuple):
    """The scenario of one seed; `slow` is the factor on the network delays."""

    machines: int
    slow: float
    troubles: list[Trouble]


def draw(seed: int) -> FoundingDay:
    """Draw the founding of a seed."""
    rng = random.Random(seed * 6007 + 5)
    troubles = [_draw_trouble(rng) for _ in range(rng.randint(1, 5))]
    return FoundingDay(rng.choice((3, 3, 5)), rng.choice((1.0, 1.0, 20.0)), sorted(troubles))


def _draw_trouble(rng: random.Random) -> Trouble:
    at = rng.choice(
        (
            rng.random() * RECORDING_S,
            FOUNDING_AT_S + rng.random() * 0.05,
            FOUNDING_AT_S + rng.random() * 0.5,
            rng.random() * LAST_TROUBLE_S,
        )
    )
    machines = rng.choice((1, 1, 2, 5))
    duration_s = rng.choice((0.0, 0.05, 0.5, 1.0, 3.0)) * (0.5 + rng.random())
    return Trouble(at, rng.choice(KINDS), machines, rng.randrange(5), duration_s, rng.random() < 0.2)


class _Troubles:
    """Strikes the machines of one core."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._wiped = False

    def strike(self, trouble: Trouble) -> None:
        machines = list(self._cluster.machines.values())
        first = trouble.lot % len(machines)
        chosen = (machines[first:] + machines[:first])[: trouble.machines]
        self._cluster.note(f"TROUBLE {trouble}")
        self._cluster.extend_fault_period(self._cluster.clock.now + trouble.duration_s)
        for machine in chosen:
            self._strike_machine(trouble, machine)

    def _strike_machine(self, trouble: Trouble, machine: Machine) -> None:
        cluster, until = self._cluster, self._cluster.clock.now + trouble.duration_s
        if trouble.kind in ("kill", "power", "wipe"):
            self._end(trouble, machine)
        elif trouble.kind == "terminate":
            cluster.terminate(machine, restart_s=trouble.duration_s)
        elif trouble.kind == "freeze":
            machine.frozen_until = max(machine.frozen_until, until)
        elif trouble.kind in ("cut", "cut_pair"):
            others = [name for name in cluster.machines if name != machine.address]
            for other in others[:1] if trouble.kind == "cut_pair" else others:
                cluster.links.partition(machine.address, other, trouble.duration_s)
        elif trouble.kind == "stall":
            machine.disk.stalled_until = until
        elif trouble.kind == "slow":
            machine.disk.slow_until = until
        else:
            machine.disk.full_until = until

    def _end(self, trouble: Trouble, machine: Machine) -> None:
        """End a process. One disk a day may be lost, as `tolerance` allows; its settings then say `bootstrap=false`."""
        wipe = trouble.kind == "wipe" and not self._wiped
        self._wiped = self._wiped or wipe
        self._cluster.end(
            machine,
            power=trouble.kind != "kill",
            wipe=wipe,
            restart_s=trouble.duration_s,
            bootstrap=trouble.bootstrap and not wipe,
        )


def run(seed: int, troubles: Sequence[Trouble] | None = None) -> Cluster:
    """Run the founding of a seed, with all its troubles or with the given ones.

    Raises RuleViolationError if a rule is broken; its notes hold the newest log lines.
    """
    day = draw(seed)
    cluster = Cluster(seed, day.machines, slow=day.slow)
    cluster.rules.may_grow = True
    strikes = _Troubles(cluster)
    for trouble in day.troubles if troubles is None else troubles:
        cluster.clock.at(trouble.at, partial(strikes.strike, trouble))
    try:
        _run_to_the_end(cluster)
    except RuleViolationError as violation:
        violation.add_note("\n".join([*cluster.log[-LOG_LINES:], f"{cluster.clock.now:8.3f} broken"]))
        raise
    return cluster


def _run_to_the_end(cluster: Cluster) -> None:
    cluster.clock.run(LAST_TROUBLE_S)
    while cluster.clock.now < cluster.fault_free_since:
        cluster.clock.run(cluster.clock.now + 0.1)
    remembering = [name for name in cluster.seeds if cluster.machines[name].disk.stored().view is not None]
    cluster.clock.run(cluster.clock.now + ACKNOWLEDGE_S)
    if len(remembering) <= len(cluster.seeds) // 2:
        _check_refused(cluster)
        return
    if cluster.leader() is None:
        raise RuleViolationError(f"no leader {ACKNOWLEDGE_S} s after the last trouble; {remembering} have their disks")
    cluster.clock.run(cluster.clock.now + COMPLETE_S)
    finish(cluster)
    leader = cluster.leader()
    voters = leader.node.view.voters if leader is not None and leader.node is not None and leader.node.view else {}
    zones = {name: cluster.machines[name].zone for name in cluster.machines}
    if dict(voters) != zones:
        raise RuleViolationError(f"the voters are {voters} instead of {zones}")


def _check_refused(cluster: Cluster) -> None:
    """Check that nobody founded the system while a majority of the seeds had lost its disk."""
    if cluster.leader() is not None:
        raise RuleViolationError("the system was founded although a majority of the seeds had lost its disk")
