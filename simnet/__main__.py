"""`python -m simnet`: run new seeds for some minutes, replay one seed, or search all orders of events."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from simnet.core import runs as core_runs
from simnet.errors import RuleViolationError
from simnet.search.explorer import search
from simnet.search.starting_points import STARTING_POINTS
from simnet.system import days as system_days


class World(NamedTuple):
    """The functions of a world: one runs the day of a seed, one returns a minimal subset of its faults.

    `run` raises RuleViolationError if a rule is broken.
    """

    run: Callable[[int], Any]
    shrink: Callable[[int], list[Any]]


WORLDS = {
    "core": World(core_runs.run, core_runs.shrink),
    "system": World(system_days.run, system_days.shrink),
}


def main() -> int:
    """Run the command line; return exit code 1 if a rule was broken, otherwise 0."""
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
    parser.add_argument("--minutes", type=float, default=1.0, help="minutes for which to run new seeds (1)")
    parser.add_argument("--first", type=int, default=None, help="the first seed (derived from the time of day)")
    parser.add_argument("--seed", type=int, default=None, help="run only this seed, and print its log")
    parser.add_argument(
        "--world",
        choices=["core", "system"],
        default="core",
        help="the control state alone, or the whole system with clients and backends (core)",
    )
    parser.add_argument("--stop", action="store_true", help="stop at the first broken rule")
    parser.add_argument(
        "--search",
        type=int,
        metavar="DEPTH",
        default=None,
        help="search all orders of events in the smallest world, to this depth or for --minutes",
    )
    parser.add_argument(
        "--beginning", choices=[*STARTING_POINTS, "all"], default="all", help="starting point of the search (all)"
    )
    return parser.parse_args()


def _search(depth: int, beginning: str, minutes: float) -> int:
    """Search from one starting point, or from each for an equal part of the time, until a rule is broken."""
    names = list(STARTING_POINTS) if beginning == "all" else [beginning]
    for name in names:
        until = time.monotonic() + minutes * 60 / len(names)
        result = search(depth, beginning=name, should_continue=lambda until=until: time.monotonic() < until)  # type: ignore[misc]
        print(
            f"{name}: {result.states} states, all within {result.depth} steps: {result.violation or 'no rule broken'}"
        )
        for step in result.steps or ():
            print(f"  {step}")
        if result.steps is not None:
            return 1
    return 0


def _replay(world: World, seed: int) -> int:
    """Run one seed and print its log."""
    try:
        result = world.run(seed)
    except RuleViolationError as violation:
        print("\n".join(getattr(violation, "__notes__", [])))
        print(f"seed {seed}: {violation}")
        for fault in world.shrink(seed):
            print(f"  {fault}")
        return 1
    print("\n".join(result.log))
    return 0


def _draw(world: World, first: int, minutes: float, stop: bool) -> int:
    """Run new seeds until the time is over."""
    end = time.monotonic() + minutes * 60
    seed = first
    broken_days = 0
    while time.monotonic() < end:
        try:
            world.run(seed)
        except RuleViolationError as violation:
            broken_days += 1
            if stop:
                print(f"found by day {seed - first + 1}: {violation}")
                return 1
            print(f"seed {seed}: {violation}; the fewest faults: {world.shrink(seed)}", flush=True)
        seed += 1
    print(f"{seed - first} days from seed {first}, {broken_days} with a broken rule")
    return 1 if broken_days else 0


if __name__ == "__main__":
    sys.exit(main())
