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
    violation: str


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
    should_continue: Callable[[], bool] = _always,
) -> SearchResult:
    """Search all states within `depth` steps from the starting point `beginning`.

    `should_continue` is called before each state is expanded; the search stops when it returns False.
    """
    budget = budget or Budget()
    first = STARTING_POINTS[beginning]()
    first.counts = dict.fromkeys(LIMITED_KINDS, 0)
    first.counts[StepKind.CHANGE] = first.acknowledged
    visited = {first.fingerprint()}
    level = [Reached(first, ())]
    for complete in range(depth):
        following: list[Reached] = []
        for reached in level:
            if not should_continue():
                return SearchResult(len(visited), complete, None, "")
            for choice in list(reached.world.choices(budget)):
                world = copy.deepcopy(reached.world)
                steps = (*reached.steps, choice)
                try:
                    world.step(choice)
                except RuleViolationError as violation:
                    return SearchResult(len(visited), complete, steps, str(violation))
                fingerprint = world.fingerprint()
                if fingerprint not in visited:
                    visited.add(fingerprint)
                    following.append(Reached(world, steps))
        level = following
    return SearchResult(len(visited), depth, None, "")
