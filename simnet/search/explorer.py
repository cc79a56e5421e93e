"""The search itself: all states within some steps of a starting point, nearest first.

Three voters and two changes, at most one kill, one cut, one loss of a disk, and a few passings of time; a fourth
machine waits for a vote where a membership change is searched. States that have been met are not gone on from.
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
    """A search's end: states met, the depth that was complete, and the steps to a broken rule, if any."""

    states: int
    depth: int
    steps: tuple[Step, ...] | None
    why: str


class Reached(NamedTuple):
    """A state that is to be gone on from, and how it was reached."""

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
    """Go through all states within `depth` steps after a starting point; `go_on` is asked before each."""
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
