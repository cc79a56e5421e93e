"""`python -m simnet`: fresh seeds for some minutes, one seed again, or a search through all orders of events."""

from __future__ import annotations

import argparse
import sys
import time
from typing import Any

from simnet import core, system
from simnet.search import search


def main() -> int:
    """Exit code 1 where a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m simnet", description=__doc__)
    parser.add_argument("--minutes", type=float, default=1.0, help="for how long to draw seeds (1)")
    parser.add_argument("--first", type=int, default=None, help="the first seed; else the time of day")
    parser.add_argument("--seed", type=int, default=None, help="play this one only, and print what happened")
    parser.add_argument("--world", choices=["core", "system"], default="core",
                        help="the control state alone, or the whole system with clients and backends (core)")
    parser.add_argument("--stop", action="store_true", help="stop at the first finding")
    parser.add_argument("--search", type=int, metavar="DEPTH", default=None,
                        help="all orders of events in the smallest world, to this depth or for --minutes")
    options = parser.parse_args()
    if options.search is not None:
        until = time.monotonic() + options.minutes * 60
        found = search(options.search, go_on=lambda: time.monotonic() < until)
        print(f"{found.states} states, all within {found.depth} steps: {found.why or 'no rule broken'}")
        for step in found.steps or ():
            print(f"  {' '.join(step)}")
        return 1 if found.steps else 0
    world: Any = core if options.world == "core" else system
    if options.seed is not None:
        try:
            done = world.run(options.seed)
        except core.Broken as broken:
            print("\n".join(getattr(broken, "__notes__", [])))
            print(f"seed {options.seed}: {broken}")
            for fault in world.shrink(options.seed):
                print(f"  {fault}")
            return 1
        print("\n".join(done.log))
        return 0
    first = options.first if options.first is not None else time.time_ns() % 1_000_000_000
    end, seed, broken_days = time.monotonic() + options.minutes * 60, first, 0
    while time.monotonic() < end:
        try:
            world.run(seed)
        except core.Broken as broken:
            broken_days += 1
            if options.stop:
                print(f"found by day {seed - first + 1}: {broken}")
                return 1
            print(f"seed {seed}: {broken}; the fewest faults: {world.shrink(seed)}", flush=True)
        seed += 1
    print(f"{seed - first} days from seed {first}, {broken_days} with a broken rule")
    return 1 if broken_days else 0


if __name__ == "__main__":
    sys.exit(main())
