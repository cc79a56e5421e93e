"""Seconds from the loss of the primary to the next change that is acknowledged, on the simulated core.

python -m benchmarks.take_over [--days 200]

An operator sends a change at the very moment of the loss and goes on as the users' page says: another machine after a
failure or a second of silence. One line a kind of loss and size of the core.
"""

from __future__ import annotations

import argparse
import statistics

from simnet.core import Core, Fault

KINDS = ("leader term", "leader kill", "leader power", "leader wipe", "leader stall", "leader cut", "kill all",
         "power all")


def once(seed: int, kind: str, machines: int) -> float:
    """One loss; the seconds until the change that was sent at its moment is acknowledged (20 where it never was)."""
    core = Core(seed, machines)
    core.version = 1
    core.clock.at(2.5, lambda: core.put(1, "c1"))
    core.clock.run(4.0 + 2.0 * core.rng.random())
    at = core.clock.now
    core.strike(Fault(at, kind, (0,), 3.0 if kind.startswith("leader") else 0.8))
    core.version = 2
    core.put(2, "c2")
    while core.acked < 2 and core.clock.now < at + 20.0:
        core.clock.run(core.clock.now + 0.01)
    return core.clock.now - at


def main() -> None:
    """A line a kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=200)
    options = parser.parse_args()
    print("loss            machines  median  worst (s)")
    for machines in (3, 5):
        for kind in KINDS:
            times = sorted(once(seed, kind, machines) for seed in range(options.days))
            print(f"{kind:15} {machines:8}  {statistics.median(times):6.2f} {times[-1]:6.2f}", flush=True)


if __name__ == "__main__":
    main()
