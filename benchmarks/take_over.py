"""Measure fail-over and replacement times of the simulated core.

python -m benchmarks.take_over [--days 200]

Prints one line per kind of loss or replacement and number of machines. For a loss, the time runs until the next change
is acknowledged: an operator sends the change at the moment of the loss and tries another machine after a failure or
after one second without an answer. For a replacement, the time runs from the start of the new machine until the core
has its full fault tolerance again: the new machine has the vote of the old one, and all acknowledged changes are on the
disks of as many voters as the leader's view names, in at least two zones.
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

MAX_WAIT_S = 20.0  # Time limit of a run; the value that is counted for a run that does not finish by then.
POLL_INTERVAL_S = 0.01  # Interval of simulated time at which a condition is checked.
REPLACEMENT_DELAY_S = 1.0  # Time from an unplanned loss to the start of the replacement.
TERMINATION_DELAY_S = 0.2  # Time from the start of a planned replacement to the termination of the old machine.


class Loss(NamedTuple):
    """A kind of loss: its name in the table, and the kind, options and duration of the simulated fault."""

    name: str
    kind: str
    options: tuple[str, ...] = ()
    duration_s: float = 3.0


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


def running_core(seed: int, machines: int) -> Cluster:
    """Return a core without faults and with one configuration, at a moment that depends on the seed."""
    cluster = Cluster(seed, machines)
    cluster.version = 1
    cluster.clock.at(2.5, lambda: cluster.operators.put(1, "c1"))
    cluster.clock.run(4.0 + 2.0 * cluster.rng.random())
    return cluster


def wait_until(cluster: Cluster, condition: Callable[[], bool]) -> float:
    """Run the simulation until a condition holds, for at most `MAX_WAIT_S`; return the simulated seconds."""
    begin = cluster.clock.now
    while not condition() and cluster.clock.now < begin + MAX_WAIT_S:
        cluster.clock.run(cluster.clock.now + POLL_INTERVAL_S)
    return cluster.clock.now - begin


def recovery_time(seed: int, loss: Loss, machines: int) -> float:
    """Simulate one loss; return the seconds until a change that is sent at the same moment is acknowledged."""
    cluster = running_core(seed, machines)
    leader = cluster.leader()
    assert leader is not None
    if loss.kind == "roll_term":
        cluster.terminate(leader)
    elif loss.kind == "after_ack_wipe":
        cluster.end(leader, power=True, wipe=True, restart_s=loss.duration_s)
    else:
        FaultInjector(cluster, strict=False).inject(Fault(cluster.clock.now, loss.kind, loss.duration_s, loss.options))
    cluster.version = 2
    cluster.operators.put(2, "c2")
    return wait_until(cluster, lambda: cluster.history.acknowledged == 2)


def has_full_tolerance(cluster: Cluster, old: Machine) -> bool:
    """Return whether the core has its full fault tolerance again after the replacement of `old`."""
    leader = cluster.lease_holder()
    if leader is None or leader.node is None or leader.node.view is None:
        return False
    view = leader.node.view
    machines = [cluster.machines[a] for a in view.voters]
    holders = [cluster.machines[a] for a in view.replica_set]
    return (
        old.address not in view.voters
        and all(m.node is not None for m in machines)
        and len(holders) > cluster.tolerance
        and all((m.disk.item("config") or {"v": -1})["v"] >= cluster.history.acknowledged for m in holders)
        and len({m.zone for m in holders}) > 1
    )


def replacement_time(seed: int, role: str, planned: bool, machines: int) -> float:
    """Simulate one replacement; return the seconds from the start of the new machine to full fault tolerance."""
    cluster = running_core(seed, machines)
    leader = cluster.leader()
    assert leader is not None and leader.node is not None and leader.node.view is not None
    view = leader.node.view
    witness = next(a for a in view.voters if a not in view.replica_set)
    old = {"leader": leader, "replica": cluster.machines[view.replicas[0]], "witness": cluster.machines[witness]}[role]
    if not planned:
        cluster.remove(old)
        cluster.clock.run(cluster.clock.now + REPLACEMENT_DELAY_S)
    cluster.add(old.zone)
    started = cluster.clock.now
    if planned:
        cluster.clock.run(started + TERMINATION_DELAY_S)
        old.removed = True
        cluster.terminate(old, restart_s=None)
    wait_until(cluster, lambda: has_full_tolerance(cluster, old))
    return cluster.clock.now - started


def print_times(name: str, machines: int, times: list[float]) -> None:
    """Print the median and the maximum of the times in seconds."""
    print(f"{name:34} {machines:8}  {statistics.median(times):6.2f} {max(times):6.2f}", flush=True)


def main() -> None:
    """Print a line per kind of loss or replacement and number of machines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=200)
    options = parser.parse_args()
    seeds = range(options.days)
    print(f"{'loss or replacement':34} machines  median  worst (s)")
    for machines in (3, 5):
        for loss in LOSSES:
            print_times(loss.name, machines, [recovery_time(seed, loss, machines) for seed in seeds])
        for planned in (True, False):
            for role in ("leader", "replica", "witness"):
                name = f"{'planned' if planned else 'unplanned'} replacement: {role}"
                print_times(name, machines, [replacement_time(seed, role, planned, machines) for seed in seeds])


if __name__ == "__main__":
    main()
