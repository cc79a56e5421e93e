"""Random testing with fresh seeds: fault scripts on real fleets, mutated input bytes and randomized tests, in parallel.

For each failure, `python -m soak` prints a seed and writes a file with a minimized case, which `--replay` runs again.
Failures found earlier are kept in `tests/regressions/`.
"""
