"""Minimizes a failing case: searches for smaller cases that fail in the same check, within a number of tries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from soak.case import Case, Outcome


def shrink(
    case: Case,
    outcome: Outcome,
    smaller_cases: Callable[[Case], Sequence[Case]],
    run: Callable[[Case], Outcome],
    tries: int = 40,
) -> tuple[Case, Outcome]:
    """Replace the case greedily by the first smaller one that still fails, until none does or `tries` are used up."""
    best, found = case, outcome
    while tries > 0:
        for other in smaller_cases(best):
            tries -= 1
            again = run(other)
            if again.failure and again.check == found.check:
                best, found = other, again
                break
            if tries <= 0:
                return best, found
        else:
            return best, found
    return best, found
