"""`python -m simnet`: fresh seeds for some minutes, one seed again, or a search through all orders of events."""

from __future__ import annotations

import argparse
import sys
import time
from types import ModuleType

from simnet.core import runs as core_runs
from simnet.errors import RuleViolationError
from simnet.search.search import BEGINNINGS, search
from simnet.system import days as system_days

WORLDS = {"core": core_runs, "system": system_days}


def main() -> int:
    """Exit code 1 where a rule was broken."""
    options = _options()
    if options.search is not None:
        return _search(options.search, options.beginning, options.minutes)
    world = WORLDS[options.world]
    if options.seed is not None:
        return _replay(world, options.seed)
    first = options.first if options.first is not None else time.time_ns() % 1_000_000_000
    return _draw(world, first, options.minutes, options.stop)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m simnet", description=__doc__)
    parser.add_argument("--minutes", type=float, default=1.0, help="for how long to draw seeds (1)")
    parser.add_argument("--first", type=int, default=None, help="the first seed; else the time of day")
    parser.add_argument("--seed", type=int, default=None, help="play this one only, and print what happened")
    parser.add_argument(
        "--world",
        choices=["core", "system"],
        default="core",
        help="the control state alone, or the whole system with clients and backends (core)",
    )
    parser.add_argument("--stop", action="store_true", help="stop at the first finding")
    parser.add_argument(
        "--search",
        type=int,
        metavar="DEPTH",
        default=None,
        help="all orders of events in the smallest world, to this depth or for --minutes",
    )
    parser.add_argument("--beginning", choices=[*BEGINNINGS, "all"], default="all", help="of the search (all)")
    return parser.parse_args()


def _search(depth: int, beginning: str, minutes: float) -> int:
    """Search from one beginning, or from each for its part of the time."""
    beginnings = list(BEGINNINGS) if beginning == "all" else [beginning]
    broken = 0
    for name in beginnings:
        until = time.monotonic() + minutes * 60 / len(beginnings)
        found = search(depth, beginning=name, go_on=lambda until=until: time.monotonic() < until)  # type: ignore[misc]
        print(f"{name}: {found.states} states, all within {found.depth} steps: {found.why or 'no rule broken'}")
        for step in found.steps or ():
            print(f"  {' '.join(step)}")
        broken += found.steps is not None
        if broken:
            break
    return 1 if broken else 0


def _replay(world: ModuleType, seed: int) -> int:
    """Play one seed and print what happened."""
    try:
        done = world.run(seed)
    except RuleViolationError as broken:
        print("\n".join(getattr(broken, "__notes__", [])))
        print(f"seed {seed}: {broken}")
        for fault in world.shrink(seed):
            print(f"  {fault}")
        return 1
    print("\n".join(done.log))
    return 0


def _draw(world: ModuleType, first: int, minutes: float, stop: bool) -> int:
    """Play fresh seeds."""
    end, seed, broken_days = time.monotonic() + minutes * 60, first, 0
    while time.monotonic() < end:
        try:
            world.run(seed)
        except RuleViolationError as broken:
            broken_days += 1
            if stop:
                print(f"found by day {seed - first + 1}: {broken}")
                return 1
            print(f"seed {seed}: {broken}; the fewest faults: {world.shrink(seed)}", flush=True)
        seed += 1
    print(f"{seed - first} days from seed {first}, {broken_days} with a broken rule")
    return 1 if broken_days else 0


if __name__ == "__main__":
    sys.exit(main())
