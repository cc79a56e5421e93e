"""Runs the project's randomized and stateful tests with fresh seeds and higher counts than in CI."""

from __future__ import annotations

import os
import random
import re
import subprocess
import sys

from soak.case import Case, Outcome

TESTS = (
    "tests/quota/test_escrow.py",
    "tests/quota/test_failures.py::test_random_interleavings_of_all_failures_keep_the_bound",
    "tests/quota/test_bootstrap.py::test_random_restarts_keep_the_bound",
)
PASSED = re.compile(r"(\d+) passed")


def draw(seed: int, count_factor: float = 1.0) -> Case:
    """Draw one of the tests. `count_factor`: factor on the default counts."""
    test = random.Random(seed).choice(TESTS)
    return Case(
        "suite", seed, {"test": test, "examples": int(1200 * count_factor), "schedules": int(120 * count_factor)}
    )


def run(case: Case) -> Outcome:
    """Run the test with pytest in a new process."""
    env = {
        **os.environ,
        "SOAK_SEED": str(case.seed),
        "LEDGER_EXAMPLES": str(case.size["examples"]),
        "LEDGER_SCHEDULES": str(case.size["schedules"]),
    }
    try:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(case.size["test"])],
            capture_output=True,
            text=True,
            env=env,
            timeout=1800,
        )
    except subprocess.TimeoutExpired:
        return Outcome("the tests did not end within half an hour", "ends")
    passed = PASSED.search(done.stdout)
    count = int(case.size["examples"]) if "escrow" in str(case.size["test"]) else int(case.size["schedules"])
    if done.returncode:
        return Outcome(done.stdout[-1500:] + done.stderr[-500:], str(case.size["test"]), count)
    return Outcome(count=count if passed else 0)


def smaller_cases(case: Case) -> list[Case]:
    """Return the case with half the counts; the tests themselves shrink their inputs."""
    if case.size["schedules"] < 8:
        return []
    return [case.with_size(examples=case.size["examples"] // 2, schedules=case.size["schedules"] // 2)]
