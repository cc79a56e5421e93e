"""Measure the cost of persisting and restoring state in one process, by the number of customers.

    python -m benchmarks.state --members 1000 100000

For each sync policy, prints the time for which one batch of 150 changed customers blocks the event loop (median and
99.9th percentile), the seconds until all customers are committed, the seconds until a restarted ingress is ready with
all of them, and the size of the folder in megabytes.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path
from typing import Literal, NamedTuple

from tests.quota.world import World
from tests.quota.world import settings as world_settings
from thistleusher.state.options import StateOptions
from thistleusher.state.snapshotter import BATCH_SIZE, Snapshotter

Sync = Literal["off", "normal", "full"]
SYNC_MODES: tuple[Sync, ...] = ("off", "normal", "full")

START_TIME = 5000.0
RETENTION_S = 1e9  # Retention period of idle customers; long enough that none is evicted during a run.
FLUSH_S = 600.0  # Time limit in seconds for a flush of the writer.


class NoTimer:
    """A timer that never fires, as the benchmark submits each batch itself."""

    def call_later(self, delay: float, callback: object) -> NoTimer:
        """Ignore the callback."""
        return self

    def cancel(self) -> None:
        """Do nothing."""


class Costs(NamedTuple):
    """The cost of persisting the state of a number of customers."""

    pauses: list[float]  # Seconds for which each batch blocked the event loop, in ascending order.
    committed_s: float
    ready_s: float
    folder_mb: float

    def pause_ms(self, quantile: float) -> float:
        """Return a quantile of the pauses in milliseconds; `quantile` is between 0 and 1."""
        return 1000 * self.pauses[int(quantile * (len(self.pauses) - 1))]


def write_customers(folder: str, sync: Sync, customers: int) -> tuple[list[float], float]:
    """Commit the state of a number of customers.

    Returns the pauses of the batches in ascending order, and the seconds until everything is committed.
    """
    world = World(1, 2)
    snapshotter = Snapshotter(StateOptions(folder, sync), "n0", world_settings(0), RETENTION_S)
    gateway = world.gateways[0]
    snapshotter.start(gateway, lambda: START_TIME, NoTimer())
    plan = gateway.replication.customers.plans["plus"]
    for customer in range(customers):
        gateway.replication.admit(world.now, gateway.replication.customers.see(world.now, customer, plan), 2.0)
    assert snapshotter.writer is not None
    began = time.perf_counter()
    pauses: list[float] = []
    while True:
        at = time.perf_counter()
        if not snapshotter.submit_changes(BATCH_SIZE):
            break
        pauses.append(time.perf_counter() - at)
        if snapshotter.writer.capacity() < 2 * BATCH_SIZE:
            snapshotter.writer.flush(FLUSH_S)  # A running ingress delays the next batch instead.
    snapshotter.writer.flush(FLUSH_S)
    committed_s = time.perf_counter() - began
    snapshotter.close()
    return sorted(pauses), committed_s


def read_customers(folder: str, sync: Sync, customers: int) -> float:
    """Start an ingress with the stored state of a number of customers; return the seconds until it is ready."""
    began = time.perf_counter()
    snapshotter = Snapshotter(StateOptions(folder, sync), "n0", world_settings(0), RETENTION_S)
    _, recovered = snapshotter.start(World(2, 2).gateways[0], lambda: START_TIME, NoTimer())
    ready_s = time.perf_counter() - began
    assert len(recovered.members) == customers
    snapshotter.close()
    return ready_s


def measure(customers: int, sync: Sync) -> Costs:
    """Measure one number of customers under one sync policy."""
    with tempfile.TemporaryDirectory(prefix="state-") as folder:
        pauses, committed_s = write_customers(folder, sync, customers)
        ready_s = read_customers(folder, sync, customers)
        folder_mb = sum(path.stat().st_size for path in Path(folder).iterdir()) / 1e6
    return Costs(pauses, committed_s, ready_s, folder_mb)


def main() -> None:
    """Print a row for each number of customers and sync policy."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", type=int, nargs="+", default=[1000, 100_000])
    print("| customers | sync | batch, median ms | 99.9% ms | all committed, s | ready after restart, s | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for customers in parser.parse_args().members:
        for sync in SYNC_MODES:
            costs = measure(customers, sync)
            print(
                f"| {customers} | {sync} | {costs.pause_ms(0.5):.2f} | {costs.pause_ms(0.999):.2f} |"
                f" {costs.committed_s:.2f} | {costs.ready_s:.2f} | {costs.folder_mb:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
