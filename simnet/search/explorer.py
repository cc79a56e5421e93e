"""The search: a breadth-first traversal of all states within a number of steps from a starting point.

The world has three voters, two changes, and at most one kill, one cut, one loss of a disk and a few steps of time. In a
search of a membership change a fourth machine is to become a voter. A state that was reached before is not expanded
again.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import NamedTuple

from simnet.errors import RuleViolationError
from simnet.search.starting_points import STARTING_POINTS
from simnet.search.steps import LIMITED_KINDS, Budget, Step, StepKind
from simnet.search.world import SmallWorld


class SearchResult(NamedTuple):
    """The result of a search: number of states, depth that was completed, and the steps to a violation, if any."""

    states: int
    depth: int
    steps: tuple[Step, ...] | None
    why: str


class Reached(NamedTuple):
    """A state to expand, and the steps that lead to it."""

    world: SmallWorld
    steps: tuple[Step, ...]


def _always() -> bool:
    return True


def search(
    depth: int,
    budget: Budget | None = None,
    beginning: str = "calm",
    go_on: Callable[[], bool] = _always,
) -> SearchResult:
    """Search all states within `depth` steps from the starting point `beginning`.

    `go_on` is called before each state is expanded; the search stops when it returns False.
    """
    budget = budget or Budget()
    first = STARTING_POINTS[beginning]()
    first.counts = dict.fromkeys(LIMITED_KINDS, 0)
    first.counts[StepKind.CHANGE] = first.acknowledged
    met = {first.fingerprint()}
    level = [Reached(first, ())]
    for complete in range(depth):
        following: list[Reached] = []
        for reached in level:
            if not go_on():
                return SearchResult(len(met), complete, None, "")
            for choice in list(reached.world.choices(budget)):
                world = copy.deepcopy(reached.world)
                steps = (*reached.steps, choice)
                try:
                    world.step(choice)
                except RuleViolationError as violation:
                    return SearchResult(len(met), complete, steps, str(violation))
                fingerprint = world.fingerprint()
                if fingerprint not in met:
                    met.add(fingerprint)
                    following.append(Reached(world, steps))
        level = following
    return SearchResult(len(met), depth, None, "")
