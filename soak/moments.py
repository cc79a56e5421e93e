"""Runs the project's tests at random times of day: no result may depend on the wall-clock time.

The window of the longest plan in the tests is 8,000 s, and an epoch is twice as long. The clock offset is drawn within
one day; `moved/sitecustomize.py` applies it to the wall clock of the test process and of all its children.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

from soak.case import Case, Outcome

MAX_OFFSET_S = 86_400.0
SITECUSTOMIZE_FOLDER = Path(__file__).parent / "moved"
# Cases of kind `suite` run these tests with varied counts and seeds; the tests pass all times explicitly.
EXCLUDED = {
    "tests/quota/test_escrow.py",
    "tests/quota/test_failures.py",
    "tests/quota/test_bootstrap.py",
    "tests/soak/test_soak.py",
}


def test_files() -> list[str]:
    """Return the test files to run, sorted."""
    return sorted({p.as_posix() for p in Path("tests").rglob("test_*.py")} - EXCLUDED)


def draw(seed: int) -> Case:
    """Draw a test file and a clock offset."""
    rng = random.Random(seed)
    return Case("moment", seed, {"test": rng.choice(test_files()), "moved": round(rng.uniform(0.0, MAX_OFFSET_S), 3)})


def run(case: Case) -> Outcome:
    """Run pytest on the test file with the shifted clock."""
    path = os.pathsep.join(filter(None, (str(SITECUSTOMIZE_FOLDER), os.environ.get("PYTHONPATH"))))
    env = {**os.environ, "PYTHONPATH": path, "MOVED_CLOCK_S": str(float(case.size["moved"]))}
    try:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(case.size["test"])],
            capture_output=True,
            text=True,
            env=env,
            timeout=600,
        )
    except subprocess.TimeoutExpired:
        return Outcome("the tests did not end within 600 s", "ends")
    if done.returncode:
        return Outcome(done.stdout[-1500:] + done.stderr[-500:], str(case.size["test"]))
    return Outcome()


def smaller_cases(case: Case) -> list[Case]:
    """Return the case without a clock offset, which shows whether the time of day matters."""
    return [case.with_size(moved=0.0)] if case.size["moved"] else []
