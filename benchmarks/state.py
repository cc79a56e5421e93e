"""What keeping state costs and saves, by number of members, in one process.

    python -m benchmarks.state --members 1000 100000

Pause of the loop for one portion of 150 changed members (median, 99.9th percentile), seconds for all of them to be
committed under each sync policy, seconds to be ready again with all of them, and megabytes of the folder.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from tests.quota.world import World
from tests.quota.world import settings as told
from thistleusher.state.options import StateOptions
from thistleusher.state.snapshotter import PORTION, Snapshotter
from thistleusher.state.store import SYNCS


class Never:
    """No timer: portions are taken by hand."""

    def call_later(self, delay: float, callback: object) -> Never:
        return self

    def cancel(self) -> None: ...


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", type=int, nargs="+", default=[1000, 100_000])
    print("| members | sync | portion, median ms | 99.9% ms | all committed, s | ready again, s | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for members in parser.parse_args().members:
        for sync in SYNCS:
            with tempfile.TemporaryDirectory(prefix="state-") as folder:
                w = World(1, 2)
                keeper = Snapshotter(StateOptions(folder, sync), "n0", told(0), 1e9)
                gateway = w.gateways[0]
                keeper.begin(gateway, lambda: 5000.0, Never())
                customers = gateway.replication.customers
                for m in range(members):
                    gateway.replication.admit(w.now, customers.see(w.now, m, customers.plans["plus"]), 2.0)
                began, pauses = time.perf_counter(), list[float]()
                while True:
                    at = time.perf_counter()
                    if not keeper.hand_over(PORTION):
                        break
                    pauses.append(time.perf_counter() - at)
                    if keeper.writer is not None and keeper.writer.room() < 2 * PORTION:
                        keeper.writer.flush(600.0)  # in service the next portion waits
                assert keeper.writer is not None
                keeper.writer.flush(600.0)
                committed = time.perf_counter() - began
                keeper.close()
                pauses.sort()
                at = time.perf_counter()
                again = Snapshotter(StateOptions(folder, sync), "n0", told(0), 1e9)
                _, found = again.begin(World(2, 2).gateways[0], lambda: 5000.0, Never())
                ready = time.perf_counter() - at
                assert len(found.members) == members
                again.close()
                size = sum(p.stat().st_size for p in Path(folder).iterdir()) / 1e6
            middle, worst = (1000 * pauses[int(share * (len(pauses) - 1))] for share in (0.5, 0.999))
            print(
                f"| {members} | {sync} | {middle:.2f} | {worst:.2f} | {committed:.2f} | {ready:.2f} | {size:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
