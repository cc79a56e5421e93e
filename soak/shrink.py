"""Cuts a failing case down: the smallest of it that still fails by the same part, within a number of tries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from soak.case import Case, Outcome


def shrink(
    case: Case,
    outcome: Outcome,
    smaller: Callable[[Case], Sequence[Case]],
    run: Callable[[Case], Outcome],
    tries: int = 40,
) -> tuple[Case, Outcome]:
    """Greedy: the first smaller case that still fails takes its place, until none does or the tries are used up."""
    best, found = case, outcome
    while tries > 0:
        for other in smaller(best):
            tries -= 1
            again = run(other)
            if again.why and again.part == found.part:
                best, found = other, again
                break
            if tries <= 0:
                return best, found
        else:
            return best, found
    return best, found
