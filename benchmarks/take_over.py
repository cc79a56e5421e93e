"""Seconds from a loss to the next acknowledged change, and from a replacement to full tolerance, on the simulated core.

python -m benchmarks.take_over [--days 200]

An operator sends a change at the very moment of the loss and goes on as the users' page says: another machine after a
failure or a second of silence. Full tolerance after a replacement: the successor has its predecessor's vote, and what
was acknowledged is on the disks of as many voters as the leader's view names, in two zones. One line a kind and size.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable
from typing import NamedTuple

from simnet.core.cluster import Cluster
from simnet.core.faults.fault import Fault
from simnet.core.faults.injector import FaultInjector
from simnet.core.machine import Machine

MOST_S = 20.0  # counted for what has not come to be by then
LOOK_S = 0.01
SUCCESSOR_S = 1.0  # from an unplanned loss to its successor's start
STARTED_S = 0.2  # from a planned successor's start until the old machine is terminated


class Loss(NamedTuple):
    """A kind of loss: as the table names it, and as the simulation does."""

    name: str
    kind: str
    how: tuple[str, ...] = ()
    for_s: float = 3.0


LOSSES = (
    Loss("leader terminated", "roll_term", (), 0.3),
    Loss("leader killed", "node_kill", ("leader",)),
    Loss("leader without power", "node_kill", ("leader", "power")),
    Loss("leader's disk lost", "after_ack_wipe", ("leader",)),
    Loss("leader's disk hangs", "disk_stall", ("leader",)),
    Loss("leader cut off", "core_cut", ("leader",)),
    Loss("leader frozen", "node_freeze", ("leader",)),
    Loss("replica without power", "node_kill", ("replica", "power")),
    Loss("all killed", "kill_all", (), 0.8),
    Loss("all without power", "power_off_all", (), 0.8),
)


def founded(seed: int, machines: int) -> Cluster:
    """Return a core in calm, with one configuration, at a moment that the seed draws."""
    core = Cluster(seed, machines)
    core.version = 1
    core.clock.at(2.5, lambda: core.operators.put(1, "c1"))
    core.clock.run(4.0 + 2.0 * core.rng.random())
    return core


def wait_until(core: Cluster, so: Callable[[], bool]) -> float:
    """Let time pass until something is so, `MOST_S` at most; return the seconds that it took."""
    begin = core.clock.now
    while not so() and core.clock.now < begin + MOST_S:
        core.clock.run(core.clock.now + LOOK_S)
    return core.clock.now - begin


def after_loss(seed: int, loss: Loss, machines: int) -> float:
    """Play one loss; return the seconds until a change that is sent at its moment is acknowledged."""
    core = founded(seed, machines)
    leader = core.leader()
    assert leader is not None
    if loss.kind == "roll_term":
        core.terminate(leader)
    elif loss.kind == "after_ack_wipe":
        core.end(leader, power=True, wipe=True, restart_s=loss.for_s)
    else:
        FaultInjector(core, strict=False).inject(Fault(core.clock.now, loss.kind, loss.for_s, loss.how))
    core.version = 2
    core.operators.put(2, "c2")
    return wait_until(core, lambda: core.history.acknowledged == 2)


def tolerates_all_losses(core: Cluster, old: Machine) -> bool:
    """Return whether the core bears as many losses as ever."""
    leader = core.lease_holder()
    if leader is None or leader.node is None or leader.node.view is None:
        return False
    view = leader.node.view
    machines = [core.machines[a] for a in view.voters]
    holders = [core.machines[a] for a in view.replica_set]
    return (
        old.address not in view.voters
        and all(m.node is not None for m in machines)
        and len(holders) > core.tolerance
        and all((m.disk.item("config") or {"v": -1})["v"] >= core.history.acknowledged for m in holders)
        and len({m.zone for m in holders}) > 1
    )


def after_replacement(seed: int, role: str, planned: bool, machines: int) -> float:
    """Play one exchange of a machine; return the seconds from its successor's start to full tolerance."""
    core = founded(seed, machines)
    leader = core.leader()
    assert leader is not None and leader.node is not None and leader.node.view is not None
    view = leader.node.view
    witness = next(a for a in view.voters if a not in view.replica_set)
    old = {"leader": leader, "replica": core.machines[view.replicas[0]], "witness": core.machines[witness]}[role]
    if not planned:
        core.remove(old)
        core.clock.run(core.clock.now + SUCCESSOR_S)
    core.add(old.zone)
    started = core.clock.now
    if planned:
        core.clock.run(started + STARTED_S)
        old.removed = True
        core.terminate(old, restart_s=None)
    wait_until(core, lambda: tolerates_all_losses(core, old))
    return core.clock.now - started


def show(name: str, machines: int, times: list[float]) -> None:
    """Print one line."""
    print(f"{name:34} {machines:8}  {statistics.median(times):6.2f} {max(times):6.2f}", flush=True)


def main() -> None:
    """Print a line a kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=200)
    options = parser.parse_args()
    seeds = range(options.days)
    print(f"{'loss, or exchange':34} machines  median  worst (s)")
    for machines in (3, 5):
        for loss in LOSSES:
            show(loss.name, machines, [after_loss(seed, loss, machines) for seed in seeds])
        for planned in (True, False):
            for role in ("leader", "replica", "witness"):
                name = f"{'planned' if planned else 'unplanned'} exchange of a {role}"
                show(name, machines, [after_replacement(seed, role, planned, machines) for seed in seeds])


if __name__ == "__main__":
    main()
