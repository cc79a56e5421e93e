"""Finds what fixed seeds do not: fresh seeds, random fault scripts on real fleets, and bytes from outside, in parallel.

`python -m soak` promises a seed and a file for every failure, cut down to few faults and a small fleet, that `--replay`
plays again; what it has found stands in `tests/regressions/`.
"""
